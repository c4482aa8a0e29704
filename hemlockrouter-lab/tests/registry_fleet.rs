//! A fleet that follows a registry in virtual time, while instances are killed, frozen and cut off.
//!
//! What is driven is the product's own: who reads and whom the others follow, the ways to the registry,
//! and the registrars. The oracle checks that parts of a shared bound never add up to more than the
//! bound leaves room for, how soon all views agree again, and how many calls the registry gets.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlockrouter_member::Failed;
use hemlockrouter_member::Registrar;
use hemlockrouter_member::Source;
use hemlockrouter_member::Sources;
use hemlockrouter_member::Step;
use hemlockrouter_member::JOIN_EVERY_MS;
use hemlockrouter_member::LEASE_MS;
use hemlockrouter_route::direct::Instances;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::Reading;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

const ZONES: usize = 6;
const EACH: usize = 50;
const TICK_MS: u64 = 100;

/// How long a watch of a reader waits, and how long any instance pauses between two calls.
const WATCH_MS: u64 = 1_800;
const PACE_MS: u64 = 500;

/// How long an instance may take until it works, in milliseconds.
const START_MAX_MS: u64 = 2_000;

/// The window of the bound on repeats, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// How much all parts of the bound may add up to: instances hand out half of it.
const PARTS_MAX: f64 = 2.0;

/// How soon after the last fault all instances are in touch, and how soon the list is right.
const IN_TOUCH_MS: u64 = 6_000;
const LISTED_MS: u64 = 45_000;

/// The most calls for each instance when all start at once, and for each zone and second in a calm.
const START_CALLS_MAX: u64 = 2;
const CALM_CALLS_MAX: u64 = 2;

/// The age of the registry's word with which an instance counts as in touch, in milliseconds.
const AGE_MAX_MS: u64 = 4_500;

/// How many random series of faults are played, unless the environment says otherwise.
const SEEDS: u64 = 3;

/// The registry: the list, its history, and leases.
#[derive(Default)]
struct Registry {
    list: BTreeMap<String, (InstanceEntry, u64)>,
    history: Vec<(String, Option<InstanceEntry>)>,
    leases: BTreeMap<u64, Time>,
    is_down: bool,
    calls: u64,
}

impl Registry {
    fn revision(&self) -> usize {
        self.history.len()
    }

    fn put(&mut self, entry: &InstanceEntry, lease: u64) {
        let name = entry.name.clone();
        self.history.push((name.clone(), Some(entry.clone())));
        self.list.insert(name, (entry.clone(), lease));
    }

    fn remove(&mut self, name: &str) {
        if self.list.remove(name).is_some() {
            self.history.push((String::from(name), None));
        }
    }

    fn expire(&mut self, now: Time) {
        self.leases.retain(|_, ends| *ends > now);
        let list = self.list.iter();
        let lapsed = list.filter(|(_, (_, lease))| !self.leases.contains_key(lease));
        let lapsed: Vec<String> = lapsed.map(|(name, _)| name.clone()).collect();
        for name in lapsed {
            self.remove(&name);
        }
    }

    /// Carries out what a registrar wants; an error says that the lease is gone.
    fn carry_out(&mut self, now: Time, step: &Step, lease_for_new: u64) -> Result<(), Failed> {
        match step {
            Step::Wait => {}
            Step::Grant => {
                self.leases.insert(lease_for_new, now + LEASE_MS);
            }
            Step::Renew { lease } => {
                let ends = self.leases.get_mut(lease).ok_or(Failed::LeaseGone)?;
                *ends = now + LEASE_MS;
            }
            Step::Write {
                lease,
                puts,
                removes,
            } => {
                if !puts.is_empty() && !self.leases.contains_key(lease) {
                    return Err(Failed::LeaseGone);
                }
                puts.iter().for_each(|entry| self.put(entry, *lease));
                removes.iter().for_each(|name| self.remove(name));
            }
        }
        Ok(())
    }
}

/// One instance.
struct Node {
    entry: InstanceEntry,
    zone: usize,
    down_until: Option<Time>,
    frozen_until: Time,
    cut_until: Time,
    instances: Instances,
    /// The revision that it knows, and when the registry was in that state at least.
    known: Option<(usize, Time)>,
    sources: Sources,
    registrar: Registrar,
    follow_at: Time,
    join_at: Time,
    refusals: usize,
    /// How often it has started.
    starts: u32,
    /// The parts of the bound that it had in the last window.
    handed_out: Vec<HandedOut>,
}

/// A part of the bound that an instance had for some time.
struct HandedOut {
    start: u32,
    part: f64,
    last_at: Time,
}

impl Node {
    fn new(number: usize) -> Node {
        let port = u16::try_from(number).expect("the fleet is small");
        let zone = number % ZONES;
        let entry = InstanceEntry {
            name: format!("instance-{number}"),
            zone: format!("zone-{zone}"),
            relay: Some(SocketAddr::from(([127, 0, 0, 1], port))),
            cpu_permille: if number < 2 * ZONES { 500 } else { 120 },
            registered_by: None,
        };
        let spread = xxhash_rust::xxh3::xxh3_64(entry.name.as_bytes());
        Node {
            registrar: Registrar::new(entry.clone()),
            zone,
            down_until: None,
            frozen_until: Time::ZERO,
            cut_until: Time::ZERO,
            instances: Instances::default(),
            known: None,
            sources: Sources::new(spread),
            follow_at: Time::ZERO,
            join_at: Time::ZERO,
            refusals: 0,
            starts: 0,
            handed_out: Vec::new(),
            entry,
        }
    }

    /// Returns an instance that begins to work some time after `now`, as a slow machine does.
    fn starting(number: usize, now: Time) -> Node {
        let mut node = Node::new(number);
        let hash = xxhash_rust::xxh3::xxh3_64(node.entry.name.as_bytes());
        node.follow_at = now + hash % START_MAX_MS;
        node.join_at = node.follow_at;
        node
    }

    /// Starts again, and knows nothing.
    fn restart(&mut self, now: Time, number: usize) {
        let handed_out = std::mem::take(&mut self.handed_out);
        let starts = self.starts + 1;
        *self = Node::starting(number, now);
        self.handed_out = handed_out;
        self.starts = starts;
    }

    fn runs(&self, now: Time) -> bool {
        self.down_until.is_none() && now >= self.frozen_until
    }

    /// Notes which part of the bound it may hand out now.
    fn hand_out(&mut self, now: Time) {
        let Some(sharing) = self.instances.sharing(now) else {
            return;
        };
        let part = 1.0 / f64::from(sharing);
        match self.handed_out.last_mut() {
            Some(last) if last.start == self.starts && last.part == part => last.last_at = now,
            _ => self.handed_out.push(HandedOut {
                start: self.starts,
                part,
                last_at: now,
            }),
        }
    }

    /// Returns what all of its starts may have spent of the bound in the window.
    fn spent(&mut self, now: Time) -> f64 {
        self.handed_out
            .retain(|handed| now.since(handed.last_at) <= WINDOW_MS);
        let mut of_start: BTreeMap<u32, f64> = BTreeMap::new();
        for handed in &self.handed_out {
            let most = of_start.entry(handed.start).or_default();
            *most = most.max(handed.part);
        }
        of_start.values().sum()
    }
}

struct Fleet {
    now: Time,
    registry: Registry,
    nodes: Vec<Node>,
    seeds: Vec<SocketAddr>,
    /// The availability zone that is cut off, and until when.
    zone_cut: Option<(usize, Time)>,
    last_lease: u64,
}

impl Fleet {
    fn new() -> Fleet {
        let nodes: Vec<Node> = (0..ZONES * EACH)
            .map(|number| Node::starting(number, Time::ZERO))
            .collect();
        let seeds = [100, 201, 152].map(|at: usize| nodes[at].entry.relay);
        Fleet {
            now: Time::from_ms(1_000),
            registry: Registry::default(),
            seeds: seeds.into_iter().flatten().collect(),
            nodes,
            zone_cut: None,
            last_lease: 0,
        }
    }

    fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK_MS;
        let now = self.now;
        if !self.registry.is_down {
            self.registry.expire(now);
        }
        self.zone_cut = self.zone_cut.filter(|(_, until)| now < *until);
        for at in 0..self.nodes.len() {
            if self.nodes[at].down_until.is_some_and(|until| now >= until) {
                self.nodes[at].restart(now, at);
            }
            if self.nodes[at].runs(now) {
                self.follow(at);
                self.join(at);
                self.register(at);
            }
        }
        self.check_parts();
    }

    fn is_zone_cut(&self, at: usize) -> bool {
        self.zone_cut
            .is_some_and(|(zone, _)| zone == self.nodes[at].zone)
    }

    fn reaches_registry(&self, at: usize) -> bool {
        let is_cut = self.now < self.nodes[at].cut_until || self.is_zone_cut(at);
        !self.registry.is_down && !is_cut
    }

    /// Returns the instance behind a relay, if it answers this one.
    fn reached(&self, at: usize, relay: SocketAddr) -> Option<usize> {
        let other = usize::from(relay.port());
        let same_zone = self.nodes[other].zone == self.nodes[at].zone;
        let is_cut = self.is_zone_cut(at) || self.is_zone_cut(other);
        let answers = self.nodes[other].runs(self.now) && (same_zone || !is_cut);
        answers.then_some(other)
    }

    fn reading(&self, at: usize) -> Reading {
        let node = &self.nodes[at];
        node.instances.reading(self.now, &node.entry, &self.seeds)
    }

    fn follow(&mut self, at: usize) {
        let now = self.now;
        if now < self.nodes[at].follow_at {
            return;
        }
        let mut reading = self.reading(at);
        let is_first = self.nodes[at].known.is_none();
        // The first read costs a tenth for each of few pages, and is asked of the registry.
        reading.reads |= is_first;
        let wait_ms = match self.nodes[at].sources.next(now, &reading) {
            Source::Nowhere { wait_ms } => wait_ms,
            Source::Registry if self.reaches_registry(at) => {
                self.registry.calls += u64::from(!is_first);
                self.nodes[at].sources.registry_answered(now);
                let revision = self.registry.revision();
                let has_news = self.nodes[at]
                    .known
                    .is_none_or(|(known, _)| known < revision);
                self.learn(at, revision, now);
                PACE_MS + if has_news { 0 } else { WATCH_MS }
            }
            Source::Registry => {
                self.registry.calls += u64::from(!is_first);
                self.nodes[at].sources.registry_failed(now, &reading);
                TICK_MS
            }
            Source::Relay(relay) => {
                let other = self.reached(at, relay);
                match other.and_then(|other| self.nodes[other].known) {
                    Some((revision, heard_at)) => {
                        let age_ms = now.since(heard_at);
                        self.nodes[at]
                            .sources
                            .relay_answered(now, relay, age_ms, false);
                        self.learn(at, revision, heard_at);
                        PACE_MS
                    }
                    None => {
                        self.nodes[at].sources.relay_failed(now, relay);
                        TICK_MS
                    }
                }
            }
        };
        self.nodes[at].follow_at = now + wait_ms;
    }

    /// Takes over what has changed up to a revision.
    fn learn(&mut self, at: usize, revision: usize, heard_at: Time) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let (known, known_at) = node.known.unwrap_or((0, Time::ZERO));
        let changes = self.registry.history.get(known..revision);
        for (name, entry) in changes.unwrap_or_default() {
            match entry {
                Some(entry) => {
                    node.instances.joined(now, entry.clone());
                }
                None => node.instances.left(now, name),
            }
        }
        if node.known.is_none() {
            let me = node.entry.name.clone();
            node.instances.first_read(&me);
        }
        node.known = Some((known.max(revision), known_at.max(heard_at)));
    }

    fn join(&mut self, at: usize) {
        let now = self.now;
        if now < self.nodes[at].join_at {
            return;
        }
        let reading = self.reading(at);
        let refusals = self.nodes[at].refusals;
        let relays = &reading.relays;
        let registers_itself = reading.reads || relays.is_empty() || refusals >= 3;
        let registrar = if registers_itself {
            None
        } else {
            self.reached(at, relays[refusals % relays.len()])
        };
        if !registers_itself && registrar.is_none() {
            self.nodes[at].refusals += 1;
            return;
        }
        if let Some(registrar) = registrar {
            let entry = self.nodes[at].entry.clone();
            self.nodes[registrar].registrar.join(now, entry);
        }
        let node = &mut self.nodes[at];
        node.registrar.register_itself(now, registers_itself);
        node.refusals = 0;
        node.join_at = now + JOIN_EVERY_MS;
    }

    fn register(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let instances = &node.instances;
        node.registrar
            .compare(now, |name| instances.registrar_of(name));
        let step = node.registrar.step(now);
        if step == Step::Wait {
            return;
        }
        self.registry.calls += 1;
        self.last_lease += 1;
        let lease = self.last_lease;
        let done = if self.reaches_registry(at) {
            self.registry.carry_out(now, &step, lease)
        } else {
            Err(Failed::NotDone)
        };
        let registrar = &mut self.nodes[at].registrar;
        match (done, &step) {
            (Err(why), _) => registrar.failed(now, why),
            (Ok(()), Step::Grant) => registrar.granted(now, lease),
            (Ok(()), Step::Renew { .. }) => registrar.renewed(now),
            (Ok(()), Step::Write { puts, removes, .. }) => registrar.written(now, puts, removes),
            (Ok(()), Step::Wait) => {}
        }
    }

    /// Checks what all instances together may hand out in a window, also those that were killed in it.
    fn check_parts(&mut self) {
        let now = self.now;
        let mut sum = 0.0;
        for node in &mut self.nodes {
            if node.runs(now) {
                node.hand_out(now);
            }
            sum += node.spent(now);
        }
        assert!(sum <= PARTS_MAX + 1e-9, "{now}: {sum} parts");
    }

    fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.runs(self.now))
    }

    fn check_in_touch(&self) {
        for node in self.running() {
            let (_, heard_at) = node.known.expect("it has read");
            let age_ms = self.now.since(heard_at);
            assert!(age_ms <= AGE_MAX_MS, "{}: {age_ms} ms", node.entry.name);
        }
    }

    fn check_list(&self) {
        let listed: Vec<&String> = self.registry.list.keys().collect();
        let mut running: Vec<&String> = self.running().map(|node| &node.entry.name).collect();
        running.sort();
        assert_eq!(listed, running);
    }

    fn kill(&mut self, at: usize, ms: u64) {
        self.nodes[at].down_until = Some(self.now + ms);
    }

    /// Returns who reads for a zone.
    fn reader(&self, zone: usize) -> usize {
        let of_zone = (0..self.nodes.len()).filter(|at| self.nodes[*at].zone == zone);
        let mut running = of_zone.filter(|at| self.nodes[*at].runs(self.now));
        let reader = running.clone().find(|at| self.reading(*at).reads);
        reader.or_else(|| running.next()).unwrap_or(zone)
    }

    fn fault(&mut self, rng: &mut StdRng) {
        let now = self.now;
        let zone = rng.random_range(0..ZONES);
        let ms = rng.random_range(500..9_000);
        match rng.random_range(0..6) {
            0 => {
                let at = self.reader(zone);
                self.kill(at, ms);
            }
            1 => {
                let at = self.reader(zone);
                self.nodes[at].frozen_until = now + ms;
            }
            2 => {
                for at in 0..self.nodes.len() {
                    if rng.random_range(0..3) == 0 {
                        self.nodes[at].cut_until = now + ms;
                    }
                }
            }
            3 => self.zone_cut = Some((zone, now + ms)),
            4 => {
                self.registry.is_down = true;
                self.run(ms);
                self.registry.is_down = false;
            }
            _ => {
                for _ in 0..20 {
                    let at = rng.random_range(0..self.nodes.len());
                    self.kill(at, ms);
                }
            }
        }
    }
}

#[test]
fn few_calls_are_made_when_all_start_at_once_and_in_a_calm() {
    let mut fleet = Fleet::new();
    fleet.run(20_000);
    let instances = (ZONES * EACH) as u64;
    let calls = fleet.registry.calls;
    assert!(calls <= START_CALLS_MAX * instances, "{calls} calls");
    fleet.check_in_touch();
    fleet.check_list();
    for node in &fleet.nodes {
        assert_eq!(node.instances.sharing(fleet.now), Some(instances as u32));
    }
    let before = fleet.registry.calls;
    fleet.run(20_000);
    let calls = fleet.registry.calls - before;
    assert!(calls <= CALM_CALLS_MAX * ZONES as u64 * 20, "{calls} calls");
}

#[test]
fn all_are_in_touch_soon_after_all_were_killed() {
    let mut fleet = Fleet::new();
    fleet.run(20_000);
    let before = fleet.registry.calls;
    for at in 0..fleet.nodes.len() {
        fleet.kill(at, 1_000);
    }
    fleet.run(1_000 + IN_TOUCH_MS);
    fleet.check_in_touch();
    fleet.check_list();
    let calls = fleet.registry.calls - before;
    let instances = fleet.nodes.len() as u64;
    assert!(calls <= START_CALLS_MAX * instances, "{calls} calls");
}

#[test]
fn a_zone_that_is_cut_off_for_long_is_counted_until_it_is_off_the_list() {
    let mut fleet = Fleet::new();
    fleet.run(20_000);
    fleet.zone_cut = Some((2, fleet.now + 90_000));
    fleet.run(90_000);
    fleet.run(IN_TOUCH_MS);
    fleet.check_in_touch();
    fleet.run(LISTED_MS);
    fleet.check_list();
}

#[test]
fn parts_of_a_bound_hold_and_views_agree_again_after_any_faults() {
    let seeds = std::env::var("HEMLOCK_FLEET_SEEDS");
    let seeds = seeds.ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        println!("seed {seed}");
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        fleet.run(20_000);
        for _ in 0..8 {
            fleet.fault(&mut rng);
            let pause_ms = rng.random_range(0..6_000);
            fleet.run(pause_ms);
        }
        // All faults last for 9 s at most.
        fleet.run(9_000 + IN_TOUCH_MS);
        fleet.check_in_touch();
        fleet.run(LISTED_MS);
        fleet.check_list();
    }
}
