//! The event queue in virtual time, and the simulation of callers and entry instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockrouter_route::Query;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_route::Searcher;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubReply;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use super::fake::End;
use super::fake::Fake;
use super::fake::Job;
use super::fault::Fault;
use super::instance::Instance;
use super::layout::Kind;
use super::layout::Layout;
use super::layout::CLIENT_US;
use super::record;
use super::record::Final;
use super::record::Record;
use super::record::Report;
use super::record::Window;
use super::Options;
use super::Policy;
use super::Scenario;

/// Deadline of each query, in milliseconds.
const DEADLINE_MS: u64 = 500;

/// Time before the measured time, in which the instances learn of the upstreams, in microseconds.
const WARM_UP_US: u64 = 6_000_000;

/// Time after the measured time, in which all queries end, in microseconds.
const DRAIN_US: u64 = 10_000_000;

/// Share of the slots that queries ask for in a calm and under overload.
const CALM_LOAD: f64 = 0.3;
const OVERLOAD: f64 = 1.5;

/// Interval at which health endpoints are read, in microseconds.
const HEALTH_EVERY_US: u64 = 1_000_000;

/// Number of readings that health endpoints lag behind.
const HEALTH_LAG: usize = 2;

/// A simulated event.
pub(super) enum Event {
    /// A caller sends a query of this kind.
    Arrive(usize),
    /// A query reaches its entry instance.
    Query(usize),
    /// A sub-request reaches its dispatcher.
    Offer {
        job: Job,
        left_ms: u64,
    },
    /// A cancellation reaches the dispatcher.
    Cancel(usize, SubId),
    /// A sub-request reaches its upstream.
    Reach(Job),
    /// A cancellation reaches the upstream.
    CancelAt(UpstreamKey, SubId),
    /// The service time of a sub-request at its upstream has elapsed.
    Done(UpstreamKey, SubId),
    /// The end of a sub-request reaches its dispatcher.
    Ended(Job, End),
    /// The end of a sub-request reaches the entry instance.
    Reply(SubReply),
    /// The outcome of a query reaches its caller.
    Told(usize, Final),
    WakeSearcher(usize),
    WakeDispatcher(usize),
    Configure(usize, Arc<Catalog>),
    Health,
    Fault(Fault),
}

/// A running experiment.
pub(super) struct Sim {
    pub(super) options: Options,
    layout: Layout,
    pub(super) catalog: Arc<Catalog>,
    pub(super) window: Window,
    pub(super) rng: StdRng,
    /// Random numbers for the arrival of queries only, so that all policies get the same queries.
    arrivals: StdRng,
    pub(super) now_us: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    pub(super) instances: Vec<Instance>,
    pub(super) fakes: Vec<Fake>,
    /// Owner of each upstream, indexed by the slot of the upstream's key.
    owners: Vec<usize>,
    /// Instances to which the balancer sends queries.
    pub(super) balancer: Vec<usize>,
    pub(super) records: Vec<Record>,
    /// Loads that health endpoints reported, the latest last.
    health: Vec<Vec<f64>>,
    /// Replicas to which each shard of a query was sent; used by [`Policy::LeastLoaded`] only.
    asked: BTreeMap<(usize, ShardNo), Vec<UpstreamKey>>,
    /// Zone that must not get sub-requests.
    pub(super) closed_zone: Option<u32>,
    pub(super) late_work: u64,
}

impl Sim {
    pub(super) fn new(options: Options) -> Sim {
        let layout = Layout::new(options.deployment);
        let total = layout.instances.len();
        let instances = layout.instances.iter().enumerate();
        let instances = instances
            .map(|(index, &zone)| Instance::new(index, zone, total, options.policy, options.seed));
        let fakes = layout.upstreams.iter().map(|sizes| Fake::new(*sizes));
        let length_us = options.seconds * 1_000_000;
        Sim {
            options,
            catalog: Arc::new(layout.catalog.clone()),
            window: Window {
                from_us: WARM_UP_US,
                until_us: WARM_UP_US + length_us,
            },
            rng: StdRng::seed_from_u64(options.seed),
            arrivals: StdRng::seed_from_u64(!options.seed),
            now_us: 0,
            events: BTreeMap::new(),
            next_event: 0,
            instances: instances.collect(),
            fakes: fakes.collect(),
            owners: owners(&layout),
            balancer: (0..total).collect(),
            records: Vec::new(),
            health: Vec::new(),
            asked: BTreeMap::new(),
            closed_zone: None,
            late_work: 0,
            layout,
        }
    }

    /// Runs the experiment to its end and returns its report.
    pub(super) fn run(mut self) -> Report {
        for index in 0..self.instances.len() {
            self.configure(index, Arc::clone(&self.catalog));
            self.hold(index);
        }
        for kind in 0..self.layout.kinds.len() {
            self.plan_arrival(kind);
        }
        self.at(0, Event::Health);
        let length_us = self.window.until_us - self.window.from_us;
        self.plan_faults(self.window.from_us, length_us);
        let end_us = self.window.until_us + DRAIN_US;
        while let Some(((at_us, _), event)) = self.events.pop_first() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.take(event);
        }
        record::report(
            self.options,
            &self.layout,
            self.window,
            &self.records,
            &self.fakes,
            self.late_work,
        )
    }

    pub(super) fn at(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_us, self.next_event), event);
    }

    pub(super) fn now(&self) -> Time {
        Time::from_ms(self.now_us / 1_000)
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(kind) => self.arrive(kind),
            Event::Query(query) => self.start(query),
            Event::Offer { job, left_ms } => self.offer(job, left_ms),
            Event::Cancel(index, id) => {
                self.drive_dispatcher(index, |dispatcher, now, out| {
                    dispatcher.cancel(now, id, out);
                });
            }
            Event::Reach(job) => self.reach(job),
            Event::CancelAt(upstream, id) => {
                self.drive_fake(upstream, |fake, now_us, share, rng, out| {
                    fake.cancel(now_us, id, share, rng, out);
                })
            }
            Event::Done(upstream, id) => {
                self.drive_fake(upstream, |fake, now_us, share, rng, out| {
                    fake.done(now_us, id, share, rng, out);
                })
            }
            Event::Ended(job, end) => self.ended(job, end),
            Event::Reply(reply) => {
                let entry = reply.id.origin.0 as usize;
                self.drive_searcher(entry, |searcher, now, out| searcher.reply(now, reply, out));
            }
            Event::Told(query, end) => {
                self.records[query].end = Some(end);
                self.records[query].ended_us = self.now_us;
            }
            Event::WakeSearcher(index) => {
                self.instances[index].searcher_wake_us = u64::MAX;
                self.drive_searcher(index, |searcher, now, out| searcher.tick(now, out));
            }
            Event::WakeDispatcher(index) => {
                self.instances[index].dispatcher_wake_us = u64::MAX;
                self.drive_dispatcher(index, |dispatcher, now, out| dispatcher.tick(now, out));
            }
            Event::Configure(index, catalog) => self.configure(index, catalog),
            Event::Health => self.read_health(),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn configure(&mut self, index: usize, catalog: Arc<Catalog>) {
        let now = self.now();
        self.instances[index].configure_entry(now, &catalog);
        let catalog = self.instances[index].dispatcher_catalog(&catalog);
        self.drive_dispatcher(index, |dispatcher, now, out| {
            dispatcher.configure(now, &catalog, out);
        });
    }

    /// Grants an instance the leases on the upstreams that it owns, or on all upstreams if the policy
    /// dispatches directly.
    fn hold(&mut self, index: usize) {
        let direct = self.options.policy.is_direct();
        for slot in 0..self.owners.len() {
            if direct || self.owners[slot] == index {
                let upstream = UpstreamKey::from_raw(slot as u32);
                self.drive_dispatcher(index, |dispatcher, now, out| {
                    dispatcher.hold(now, upstream, out);
                });
            }
        }
    }

    fn plan_arrival(&mut self, kind: usize) {
        let overload = self.options.scenario == Scenario::Overload;
        let load = match overload && self.now_us >= self.window.from_us {
            true => OVERLOAD,
            false => CALM_LOAD,
        };
        let rate = self.layout.rate(load) * self.layout.kinds[kind].share;
        let drawn: f64 = self.arrivals.random_range(f64::EPSILON..1.0);
        let gap_us = (-drawn.ln() * 1_000_000.0 / rate) as u64;
        let at_us = self.now_us + gap_us;
        if at_us < self.window.until_us {
            self.at(at_us, Event::Arrive(kind));
        }
    }

    fn arrive(&mut self, kind: usize) {
        let query = self.records.len();
        self.records.push(Record {
            kind,
            entry: self.balancer[query % self.balancer.len()],
            sent_us: self.now_us,
            ended_us: 0,
            end: None,
            begun: vec![0; self.layout.kinds[kind].shards as usize],
            served_us: vec![None; self.layout.kinds[kind].shards as usize],
        });
        self.at(self.now_us + CLIENT_US, Event::Query(query));
        self.plan_arrival(kind);
    }

    pub(super) fn kind(&self, query: usize) -> Kind {
        self.layout.kinds[self.records[query].kind]
    }

    fn start(&mut self, query: usize) {
        let now = self.now();
        let kind = self.kind(query);
        let entry = self.records[query].entry;
        let admitted = self.instances[entry].admission.admit(now, kind.customer);
        if let Err(refusal) = admitted {
            self.tell(query, Final::Refused(refusal.reason));
            return;
        }
        let query = Query {
            id: QueryId {
                origin: InstanceId(entry as u64),
                seq: query as u64,
            },
            customer: kind.customer,
            search: kind.search,
            deadline: now + DEADLINE_MS,
            min_coverage: None,
        };
        self.drive_searcher(entry, |searcher, now, out| searcher.start(now, query, out));
    }

    fn drive_searcher<F>(&mut self, index: usize, action: F)
    where
        F: FnOnce(&mut Searcher, Time, &mut Vec<SearchCommand>),
    {
        let now = self.now();
        let mut out = Vec::new();
        action(&mut self.instances[index].searcher, now, &mut out);
        for command in out {
            self.execute_search(index, command);
        }
        let instance = &mut self.instances[index];
        let wake = instance.searcher.next_wake();
        let wake_us = wake.map_or(u64::MAX, |wake| wake.as_ms() * 1_000);
        if wake_us < instance.searcher_wake_us {
            instance.searcher_wake_us = wake_us;
            self.at(wake_us.max(self.now_us), Event::WakeSearcher(index));
        }
    }

    fn execute_search(&mut self, index: usize, command: SearchCommand) {
        match command {
            SearchCommand::Send {
                query,
                seq,
                upstream,
                shard,
                deadline,
                ..
            } => self.send(index, query.seq as usize, seq, upstream, shard, deadline),
            SearchCommand::Cancel { id, upstream } => {
                let to = self.dispatcher_of(index, upstream);
                let at_us = self.now_us + self.instance_hop_us(index, to);
                self.at(at_us, Event::Cancel(to, id));
            }
            SearchCommand::Answer { query, answer } => {
                let shards = answer.shards.iter().map(|shard| shard.shard);
                let shards = shards.collect();
                self.finish_query(index, query, Final::Answered { shards });
            }
            SearchCommand::Refuse { query, refusal } => {
                self.finish_query(index, query, Final::Refused(refusal.reason));
            }
            SearchCommand::Decision(_) => (),
        }
    }

    fn finish_query(&mut self, index: usize, query: QueryId, end: Final) {
        let query = query.seq as usize;
        let customer = self.kind(query).customer;
        self.instances[index].admission.done(customer);
        self.tell(query, end);
    }

    fn tell(&mut self, query: usize, end: Final) {
        self.at(self.now_us + CLIENT_US, Event::Told(query, end));
    }

    fn send(
        &mut self,
        index: usize,
        query: usize,
        seq: u64,
        upstream: UpstreamKey,
        shard: ShardNo,
        deadline: Time,
    ) {
        let upstream = match self.options.policy {
            Policy::LeastLoaded => self.least_loaded(query, shard, upstream),
            _ => upstream,
        };
        let dispatcher = self.dispatcher_of(index, upstream);
        let id = SubId {
            origin: InstanceId(index as u64),
            seq,
        };
        let job = Job {
            id,
            dispatcher,
            upstream,
            query,
            shard,
            serve_us: self.kind(query).serve_us,
            deadline_us: 0,
            connects: false,
        };
        let left_ms = deadline.left(self.now());
        let at_us = self.now_us + self.instance_hop_us(index, dispatcher);
        self.at(at_us, Event::Offer { job, left_ms });
    }

    /// Returns the replica with the least reported load, among the replicas that this shard of the
    /// query was not sent to before.
    fn least_loaded(&mut self, query: usize, shard: ShardNo, chosen: UpstreamKey) -> UpstreamKey {
        let Some(loads) = self.health.iter().rev().nth(HEALTH_LAG) else {
            return chosen;
        };
        let search = self.catalog.searches.get(self.kind(query).search);
        let replicas = &search.expect("queries name searches").shards[usize::from(shard.0)];
        let asked = self.asked.entry((query, shard)).or_default();
        let fresh = |key: &&UpstreamKey| self.catalog.in_service(**key) && !asked.contains(key);
        let mut best = Vec::new();
        let mut least = f64::MAX;
        for &key in replicas.upstreams.iter().filter(fresh) {
            let load = loads[key.slot()];
            if load < least {
                least = load;
                best.clear();
            }
            if load <= least {
                best.push(key);
            }
        }
        let key = match best.len() {
            0 => chosen,
            count => best[self.rng.random_range(0..count)],
        };
        asked.push(key);
        key
    }

    fn read_health(&mut self) {
        self.health
            .push(self.fakes.iter().map(Fake::load).collect());
        if self.now_us < self.window.until_us {
            self.at(self.now_us + HEALTH_EVERY_US, Event::Health);
        }
    }

    /// Returns the instance that dispatches the sub-requests of instance `index` to `upstream`.
    fn dispatcher_of(&self, index: usize, upstream: UpstreamKey) -> usize {
        match self.options.policy.is_direct() {
            true => index,
            false => self.owners[upstream.slot()],
        }
    }

    pub(super) fn instance_hop_us(&self, from: usize, to: usize) -> u64 {
        match from == to {
            true => 0,
            false => Layout::hop_us(self.instances[from].zone, self.instances[to].zone),
        }
    }

    pub(super) fn upstream_hop_us(&self, instance: usize, upstream: UpstreamKey) -> u64 {
        let zone = self.instances[instance].zone;
        Layout::hop_us(zone, self.fakes[upstream.slot()].sizes.zone)
    }
}

/// Returns the owner of each upstream: the instance that rendezvous hashing ranks first in the
/// upstream's zone.
fn owners(layout: &Layout) -> Vec<usize> {
    let owner = |upstream: usize, zone: u32| {
        let instances = layout.instances.iter().enumerate();
        let of_zone = instances.filter(|(_, other)| **other == zone);
        let best = of_zone.max_by_key(|(index, _)| mix(upstream as u64, *index as u64));
        best.expect("each zone has instances").0
    };
    let upstreams = layout.upstreams.iter().enumerate();
    upstreams
        .map(|(upstream, sizes)| owner(upstream, sizes.zone))
        .collect()
}

/// Hashes an upstream and an instance with the finalizer of SplitMix64.
fn mix(upstream: u64, instance: u64) -> u64 {
    let mut hash = (upstream << 32 | instance).wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ hash >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ hash >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ hash >> 31
}
