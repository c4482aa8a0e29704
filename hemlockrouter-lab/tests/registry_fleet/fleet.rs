//! A fleet that follows a registry in virtual time, while instances are killed, frozen, cut off and turned
//! away.
//!
//! What is driven is the product's own: who reads and whom the others follow, the ways to the registry,
//! and the registrars. Calls take time, and several are under way at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hemlockrouter_member::Call;
use hemlockrouter_member::Failed;
use hemlockrouter_member::Registrar;
use hemlockrouter_member::Sources;
use hemlockrouter_member::Step;
use hemlockrouter_member::Timing;
use hemlockrouter_member::JOIN_EVERY_MS;
use hemlockrouter_member::LEASE_MS;
use hemlockrouter_route::direct::Instances;
use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::InstanceEntry;
use hemlockrouter_types::routing::Reading;
use rand::rngs::StdRng;
use rand::RngExt;

/// The interval at which the fleet is looked at, in milliseconds. A call takes one at least.
const TICK_MS: u64 = 20;

/// How long a connection to a machine without power may take, in milliseconds.
const CONNECT_MS: u64 = 150;

/// How long an instance may take until it works, in milliseconds.
const START_MAX_MS: u64 = 2_000;

/// The window of the bound on repeats, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// How much all parts of the bound may add up to: instances hand out half of it.
const PARTS_MAX: f64 = 2.0;

/// How many instances the message of a failed check tells of.
const STORY_MAX: usize = 20;

/// How soon after an outage an instance knows what the registry holds, in milliseconds.
const CATCH_UP_MS: u64 = 5_000;

/// How long nothing must have been done to an instance, or to the registry, for the bound to hold there.
const CALM_MS: u64 = 5_000;

/// The registry: the list, its history, and leases.
#[derive(Default)]
pub(crate) struct Registry {
    pub(crate) list: BTreeMap<String, (InstanceEntry, u64)>,
    history: Vec<(String, Option<InstanceEntry>)>,
    leases: BTreeMap<u64, Time>,
    pub(crate) is_down: bool,
    pub(crate) calls: u64,
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

/// How the registry turns an instance away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// Calls fail at once.
    Reset,
    /// Calls are never answered.
    Silent,
}

/// A call that is under way.
#[derive(Clone, Copy)]
struct Pending {
    call: Call,
    began_at: Time,
    /// What the instance had heard when it began.
    heard_at: Option<Time>,
}

impl Pending {
    fn took_ms(&self, now: Time) -> u64 {
        now.since(self.began_at)
    }
}

/// One instance.
pub(crate) struct Node {
    pub(crate) entry: InstanceEntry,
    zone: usize,
    down_until: Option<Time>,
    pub(crate) frozen_until: Time,
    /// Until when the registry turns it away, and how.
    pub(crate) refused: Option<(Refusal, Time)>,
    pub(crate) instances: Instances,
    /// The revision that it knows, and when the registry was in that state at least.
    pub(crate) known: Option<(usize, Time)>,
    /// The instances through which that came.
    path: Vec<String>,
    sources: Sources,
    calls: Vec<Pending>,
    registrar: Registrar,
    look_at: Time,
    /// When something was done to it last.
    disturbed_at: Time,
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
    fn new(number: usize, shape: Shape) -> Node {
        let port = u16::try_from(number).expect("the fleet is small");
        let zone = number % shape.zones;
        let entry = InstanceEntry {
            name: format!("instance-{number}"),
            zone: format!("zone-{zone}"),
            relay: Some(SocketAddr::from(([127, 0, 0, 1], port))),
            cpu_permille: if number < 2 * shape.zones { 500 } else { 120 },
            registered_by: None,
        };
        let spread = xxhash_rust::xxh3::xxh3_64(entry.name.as_bytes());
        Node {
            registrar: Registrar::new(entry.clone()),
            zone,
            down_until: None,
            frozen_until: Time::ZERO,
            refused: None,
            instances: Instances::default(),
            known: None,
            path: Vec::new(),
            sources: Sources::new(&entry.name, shape.timing(), spread, Time::ZERO),
            calls: Vec::new(),
            look_at: Time::ZERO,
            disturbed_at: Time::ZERO,
            join_at: Time::ZERO,
            refusals: 0,
            starts: 0,
            handed_out: Vec::new(),
            entry,
        }
    }

    /// Returns an instance that begins to work some time after `now`, as a slow machine does.
    fn starting(number: usize, now: Time, shape: Shape) -> Node {
        let mut node = Node::new(number, shape);
        let hash = xxhash_rust::xxh3::xxh3_64(node.entry.name.as_bytes());
        node.look_at = now + hash % START_MAX_MS;
        node.join_at = node.look_at;
        node.disturbed_at = node.look_at;
        node.sources = Sources::new(&node.entry.name, shape.timing(), hash, node.look_at);
        node
    }

    /// Starts again, and knows nothing.
    fn restart(&mut self, now: Time, number: usize, shape: Shape) {
        let handed_out = std::mem::take(&mut self.handed_out);
        let starts = self.starts + 1;
        *self = Node::starting(number, now, shape);
        self.handed_out = handed_out;
        self.starts = starts;
    }

    pub(crate) fn runs(&self, now: Time) -> bool {
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

/// How large a fleet is, and the bound that holds in it.
#[derive(Clone, Copy)]
pub(crate) struct Shape {
    pub(crate) zones: usize,
    pub(crate) each: usize,
    /// How soon a change must be in force, in milliseconds.
    pub(crate) bound_ms: u64,
}

impl Shape {
    fn timing(self) -> Timing {
        Timing::new(self.bound_ms, CATCH_UP_MS)
    }

    pub(crate) fn instances(self) -> usize {
        self.zones * self.each
    }
}

pub(crate) struct Fleet {
    pub(crate) shape: Shape,
    pub(crate) now: Time,
    pub(crate) registry: Registry,
    pub(crate) nodes: Vec<Node>,
    seeds: Vec<SocketAddr>,
    /// The availability zone that is cut off, and until when.
    pub(crate) zone_cut: Option<(usize, Time)>,
    /// When the registry or a way between availability zones was out of order last.
    disturbed_at: Time,
    last_lease: u64,
}

impl Fleet {
    pub(crate) fn new(shape: Shape) -> Fleet {
        let nodes: Vec<Node> = (0..shape.instances())
            .map(|number| Node::starting(number, Time::ZERO, shape))
            .collect();
        let third = shape.instances() / 3;
        let seeds = [third, 2 * third + 1, third / 2].map(|at: usize| nodes[at].entry.relay);
        Fleet {
            shape,
            now: Time::from_ms(1_000),
            registry: Registry::default(),
            seeds: seeds.into_iter().flatten().collect(),
            nodes,
            zone_cut: None,
            disturbed_at: Time::ZERO,
            last_lease: 0,
        }
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK_MS;
        let now = self.now;
        if self.registry.is_down || self.zone_cut.is_some() {
            self.disturbed_at = now;
        }
        if !self.registry.is_down {
            self.registry.expire(now);
        }
        self.zone_cut = self.zone_cut.filter(|(_, until)| now < *until);
        for at in 0..self.nodes.len() {
            if self.nodes[at].down_until.is_some_and(|until| now >= until) {
                self.nodes[at].restart(now, at, self.shape);
            }
            if !self.nodes[at].runs(now) {
                self.nodes[at].disturbed_at = now;
            } else {
                self.follow(at);
                self.join(at);
                self.register(at);
            }
        }
        self.check_parts();
        self.check_ages();
    }

    fn is_zone_cut(&self, at: usize) -> bool {
        self.zone_cut
            .is_some_and(|(zone, _)| zone == self.nodes[at].zone)
    }

    fn reaches_registry(&self, at: usize) -> bool {
        let is_cut = self.refusal(at).is_some() || self.is_zone_cut(at);
        !self.registry.is_down && !is_cut
    }

    fn refusal(&self, at: usize) -> Option<Refusal> {
        let refused = self.nodes[at].refused;
        let refused = refused.filter(|(_, until)| self.now < *until);
        refused.map(|(refusal, _)| refusal)
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

    /// Ends the calls of an instance that are over, and begins those that are due.
    fn follow(&mut self, at: usize) {
        let now = self.now;
        if now < self.nodes[at].disturbed_at {
            return;
        }
        if self.nodes[at].known.is_none() {
            return self.read_first(at);
        }
        let pending = std::mem::take(&mut self.nodes[at].calls);
        let before = pending.len();
        for pending in pending {
            if !self.end_if_over(at, &pending) {
                self.nodes[at].calls.push(pending);
            }
        }
        let has_ended = self.nodes[at].calls.len() < before;
        if has_ended || now >= self.nodes[at].look_at {
            let reading = self.reading(at);
            let calls = self.nodes[at].sources.poll(now, &reading);
            calls.into_iter().for_each(|call| self.begin(at, call));
            self.nodes[at].look_at = self.nodes[at].sources.wake_at();
        }
    }

    /// Reads from the registry, or from whoever is known to have read. A first read costs a tenth for
    /// each of few pages.
    fn read_first(&mut self, at: usize) {
        if self.reaches_registry(at) {
            let revision = self.registry.revision();
            return self.learn(at, revision, self.now, Vec::new());
        }
        let relays = self.reading(at).relays;
        let reached: Vec<usize> = relays
            .into_iter()
            .filter_map(|relay| self.reached(at, relay))
            .collect();
        let knowing = reached
            .into_iter()
            .find(|other| self.nodes[*other].known.is_some());
        if let Some(other) = knowing {
            let (revision, heard_at) = self.nodes[other].known.expect("it was asked");
            self.learn(at, revision, heard_at, self.path_of(other));
        }
    }

    /// Returns through whom news come from an instance.
    fn path_of(&self, at: usize) -> Vec<String> {
        let node = &self.nodes[at];
        let path = node.path.iter().chain([&node.entry.name]);
        path.cloned().collect()
    }

    fn begin(&mut self, at: usize, call: Call) {
        if let Call::Offer { relay } = call {
            if let (Some(other), Some(me)) = (self.reached(at, relay), self.nodes[at].entry.relay) {
                let now = self.now;
                self.nodes[other].sources.offered(now, me);
                self.nodes[other].look_at = now;
            }
            return;
        }
        self.registry.calls += u64::from(matches!(call, Call::Watch { .. }));
        let heard_at = self.nodes[at].known.map(|(_, heard_at)| heard_at);
        self.nodes[at].calls.push(Pending {
            call,
            began_at: self.now,
            heard_at,
        });
    }

    /// Ends a call if its answer is there or its time is over.
    fn end_if_over(&mut self, at: usize, pending: &Pending) -> bool {
        let took_ms = pending.took_ms(self.now);
        match pending.call {
            Call::Watch { wait_ms, limit_ms } => self.end_watch(at, took_ms, wait_ms, limit_ms),
            Call::Ask {
                relay,
                wait_ms,
                limit_ms,
            } => self.end_ask(at, relay, pending, wait_ms, limit_ms),
            Call::Offer { .. } => true,
        }
    }

    fn end_watch(&mut self, at: usize, took_ms: u64, wait_ms: u64, limit_ms: u64) -> bool {
        let now = self.now;
        if self.reaches_registry(at) {
            let revision = self.registry.revision();
            let known = self.nodes[at].known.map_or(0, |(known, _)| known);
            if took_ms < wait_ms && known == revision {
                return false;
            }
            let pace_ms = self.shape.timing().pace_ms();
            self.learn(at, revision, now, Vec::new());
            let offers = self.nodes[at].sources.registry_answered(now, pace_ms);
            offers.into_iter().for_each(|call| self.begin(at, call));
            return true;
        }
        let fails_at_once = self.refusal(at) == Some(Refusal::Reset);
        if took_ms < limit_ms && !fails_at_once {
            return false;
        }
        let reading = self.reading(at);
        self.nodes[at].sources.registry_failed(now, &reading);
        true
    }

    fn end_ask(
        &mut self,
        at: usize,
        relay: SocketAddr,
        pending: &Pending,
        wait_ms: u64,
        limit_ms: u64,
    ) -> bool {
        let now = self.now;
        let took_ms = pending.took_ms(now);
        let Some(other) = self.reached(at, relay) else {
            let is_off = self.nodes[usize::from(relay.port())].down_until.is_some();
            if took_ms < limit_ms && !(is_off && took_ms >= CONNECT_MS) {
                return false;
            }
            self.nodes[at].sources.relay_failed(now, relay);
            return true;
        };
        let Some((revision, heard_at)) = self.nodes[other].known else {
            self.nodes[at].sources.relay_failed(now, relay);
            return true;
        };
        let known = self.nodes[at].known.map_or(0, |(known, _)| known);
        let has_news = known < revision || Some(heard_at) > pending.heard_at.map(|at| at + 100);
        if took_ms < wait_ms && !has_news {
            return false;
        }
        let path = self.path_of(other);
        self.learn(at, revision, heard_at, path.clone());
        let sources = &mut self.nodes[at].sources;
        sources.relay_answered(now, relay, now.since(heard_at), &path);
        true
    }

    /// Takes over what has changed up to a revision.
    fn learn(&mut self, at: usize, revision: usize, heard_at: Time, path: Vec<String>) {
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
        if heard_at >= known_at {
            node.path = path;
        }
        node.known = Some((known.max(revision), known_at.max(heard_at)));
        node.sources.heard(heard_at);
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

    /// Checks that nobody knows the registry only as it was longer ago than the bound, as long as the
    /// registry answers anyone.
    fn check_ages(&mut self) {
        let now = self.now;
        let answers_any =
            (0..self.nodes.len()).any(|at| self.nodes[at].runs(now) && self.reaches_registry(at));
        if !answers_any {
            self.disturbed_at = now;
        }
        if now.since(self.disturbed_at) < CALM_MS {
            return;
        }
        for node in self.running() {
            if now.since(node.disturbed_at) < CALM_MS {
                continue;
            }
            let (_, heard_at) = node.known.expect("it has read");
            let age_ms = now.since(heard_at);
            let name = &node.entry.name;
            assert!(
                age_ms <= self.shape.bound_ms,
                "{now}: {name}: {age_ms} ms\n{}",
                self.story()
            );
        }
    }

    /// Tells what each instance knows, and what it is doing.
    fn story(&self) -> String {
        let mut story = String::new();
        for (at, node) in self.nodes.iter().enumerate().take(STORY_MAX) {
            let calls: Vec<Call> = node.calls.iter().map(|pending| pending.call).collect();
            let known = node.known.map(|(_, heard_at)| self.now.since(heard_at));
            let refusal = self.refusal(at);
            let name = &node.entry.name;
            let path = node.path.join(" ");
            let reads = self.reading(at).reads;
            let line = format!(
                "{name} {known:?} ms [{path}] reads {reads} refused {refusal:?} {calls:?}\n"
            );
            story.push_str(&line);
        }
        story
    }

    fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.runs(self.now))
    }

    pub(crate) fn check_in_touch(&self, age_max_ms: u64) {
        for node in self.running() {
            let (_, heard_at) = node.known.expect("it has read");
            let age_ms = self.now.since(heard_at);
            assert!(age_ms <= age_max_ms, "{}: {age_ms} ms", node.entry.name);
        }
    }

    pub(crate) fn check_list(&self) {
        let listed: Vec<&String> = self.registry.list.keys().collect();
        let mut running: Vec<&String> = self.running().map(|node| &node.entry.name).collect();
        running.sort();
        assert_eq!(listed, running);
    }

    pub(crate) fn kill(&mut self, at: usize, ms: u64) {
        self.nodes[at].down_until = Some(self.now + ms);
    }

    /// Returns who reads for a zone.
    pub(crate) fn reader(&self, zone: usize) -> usize {
        let of_zone = (0..self.nodes.len()).filter(|at| self.nodes[*at].zone == zone);
        let mut running = of_zone.filter(|at| self.nodes[*at].runs(self.now));
        let reader = running.clone().find(|at| self.reading(*at).reads);
        reader.or_else(|| running.next()).unwrap_or(zone)
    }

    /// Has the registry turn some instances away, but never all that run.
    pub(crate) fn turn_away(&mut self, rng: &mut StdRng, ms: u64) {
        let refusal = match rng.random_bool(0.5) {
            true => Refusal::Reset,
            false => Refusal::Silent,
        };
        let share = rng.random_range(0.2..1.0);
        let served = rng.random_range(0..self.nodes.len());
        for at in 0..self.nodes.len() {
            if at != served && rng.random_bool(share) {
                self.nodes[at].refused = Some((refusal, self.now + ms));
            }
        }
        self.nodes[served].refused = None;
    }
}
