//! The event queue in virtual time, and the simulation of callers and entry instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockrouter_route::Query;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_route::Searcher;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubRequestReply;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use super::fake::FakeUpstream;
use super::fake::Job;
use super::fake::JobOutcome;
use super::fault::ScenarioFault;
use super::instance::Instance;
use super::layout::Layout;
use super::layout::QueryKind;
use super::layout::CALLER_DELAY_US;
use super::record;
use super::record::ExperimentReport;
use super::record::MeasuredInterval;
use super::record::QueryOutcome;
use super::record::QueryRecord;
use super::ExperimentOptions;
use super::Policy;
use super::Scenario;

/// Deadline of each query, in milliseconds.
const DEADLINE_MS: u64 = 500;

/// Time before the measured time, in which the instances learn of the upstreams, in microseconds.
const WARM_UP_US: u64 = 6_000_000;

/// Time after the measured time, in which all queries end, in microseconds.
const DRAIN_US: u64 = 10_000_000;

/// Share of the slots that queries ask for in a calm and under overload.
const CALM_LOAD_SHARE: f64 = 0.3;
const OVERLOAD_SHARE: f64 = 1.5;

/// Interval at which health endpoints are read, in microseconds.
const HEALTH_READ_INTERVAL_US: u64 = 1_000_000;

/// Number of readings that health endpoints lag behind.
const HEALTH_LAG_READINGS: usize = 2;

/// A simulated event.
pub(super) enum Event {
    /// A caller sends a query of this kind.
    SendQuery(usize),
    /// A query reaches its entry instance.
    QueryReachesEntry(usize),
    /// A sub-request reaches its dispatcher.
    Offer {
        job: Job,
        remaining_ms: u64,
    },
    /// A cancellation reaches the dispatcher.
    Cancel(usize, SubRequestId),
    /// A sub-request reaches its upstream.
    ReachUpstream(Job),
    /// A cancellation reaches the upstream.
    CancelAtUpstream(UpstreamKey, SubRequestId),
    /// The service time of a sub-request at its upstream has elapsed.
    ServiceElapsed(UpstreamKey, SubRequestId),
    /// The end of a sub-request reaches its dispatcher.
    SubRequestEnded(Job, JobOutcome),
    /// The end of a sub-request reaches the entry instance.
    Reply(SubRequestReply),
    /// The outcome of a query reaches its caller.
    QueryEnded(usize, QueryOutcome),
    WakeSearcher(usize),
    WakeDispatcher(usize),
    Configure(usize, Arc<Catalog>),
    ReadHealth,
    InjectFault(ScenarioFault),
}

/// A running experiment.
pub(super) struct Simulation {
    pub(super) options: ExperimentOptions,
    layout: Layout,
    pub(super) catalog: Arc<Catalog>,
    pub(super) window: MeasuredInterval,
    pub(super) rng: StdRng,
    /// Random numbers for the arrival of queries only, so that all policies get the same queries.
    arrivals: StdRng,
    pub(super) now_us: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    pub(super) instances: Vec<Instance>,
    pub(super) fakes: Vec<FakeUpstream>,
    /// Owner of each upstream, indexed by the slot of the upstream's key.
    owners: Vec<usize>,
    /// Instances to which the balancer sends queries.
    pub(super) balancer_targets: Vec<usize>,
    pub(super) records: Vec<QueryRecord>,
    /// Loads that health endpoints reported, the latest last.
    reported_loads: Vec<Vec<f64>>,
    /// Replicas to which each shard of a query was sent; used by [`Policy::LeastLoaded`] only.
    tried_replicas: BTreeMap<(usize, ShardNo), Vec<UpstreamKey>>,
    /// Zone that must not get sub-requests.
    pub(super) zone_without_work: Option<u32>,
    pub(super) late_work: u64,
}

impl Simulation {
    pub(super) fn new(options: ExperimentOptions) -> Simulation {
        let layout = Layout::new(options.deployment);
        let total = layout.instances.len();
        let instances = layout.instances.iter().enumerate();
        let instances = instances
            .map(|(index, &zone)| Instance::new(index, zone, total, options.policy, options.seed));
        let fakes = layout
            .upstreams
            .iter()
            .map(|sizes| FakeUpstream::new(*sizes));
        let length_us = options.seconds * 1_000_000;
        Simulation {
            options,
            catalog: Arc::new(layout.catalog.clone()),
            window: MeasuredInterval {
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
            owners: assign_owners(&layout),
            balancer_targets: (0..total).collect(),
            records: Vec::new(),
            reported_loads: Vec::new(),
            tried_replicas: BTreeMap::new(),
            zone_without_work: None,
            late_work: 0,
            layout,
        }
    }

    /// Runs the experiment to its end and returns its report.
    pub(super) fn run(mut self) -> ExperimentReport {
        for index in 0..self.instances.len() {
            self.configure(index, Arc::clone(&self.catalog));
            self.grant_leases(index);
        }
        for kind in 0..self.layout.kinds.len() {
            self.schedule_arrival(kind);
        }
        self.schedule(0, Event::ReadHealth);
        let length_us = self.window.until_us - self.window.from_us;
        self.schedule_faults(self.window.from_us, length_us);
        let end_us = self.window.until_us + DRAIN_US;
        while let Some(((at_us, _), event)) = self.events.pop_first() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle_event(event);
        }
        record::build_report(
            self.options,
            &self.layout,
            self.window,
            &self.records,
            &self.fakes,
            self.late_work,
        )
    }

    pub(super) fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_us, self.next_event), event);
    }

    pub(super) fn now(&self) -> Time {
        Time::from_ms(self.now_us / 1_000)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::SendQuery(kind) => self.send_query(kind),
            Event::QueryReachesEntry(query) => self.start_query(query),
            Event::Offer { job, remaining_ms } => self.offer(job, remaining_ms),
            Event::Cancel(index, id) => {
                self.drive_dispatcher(index, |dispatcher, now, out| {
                    dispatcher.cancel(now, id, out);
                });
            }
            Event::ReachUpstream(job) => self.reach_upstream(job),
            Event::CancelAtUpstream(upstream, id) => {
                self.drive_upstream(upstream, |fake, now_us, share, rng, out| {
                    fake.cancel(now_us, id, share, rng, out);
                })
            }
            Event::ServiceElapsed(upstream, id) => {
                self.drive_upstream(upstream, |fake, now_us, share, rng, out| {
                    fake.complete(now_us, id, share, rng, out);
                })
            }
            Event::SubRequestEnded(job, end) => self.finish_job(job, end),
            Event::Reply(reply) => {
                let entry = reply.id.origin.0 as usize;
                self.drive_searcher(entry, |searcher, now, out| searcher.reply(now, reply, out));
            }
            Event::QueryEnded(query, end) => {
                self.records[query].outcome = Some(end);
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
            Event::ReadHealth => self.read_health(),
            Event::InjectFault(fault) => self.inject_fault(fault),
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
    fn grant_leases(&mut self, index: usize) {
        let direct = self.options.policy.is_direct();
        for slot in 0..self.owners.len() {
            if direct || self.owners[slot] == index {
                let upstream = UpstreamKey::from_raw(slot as u32);
                self.drive_dispatcher(index, |dispatcher, now, out| {
                    dispatcher.grant_lease(now, upstream, out);
                });
            }
        }
    }

    fn schedule_arrival(&mut self, kind: usize) {
        let overload = self.options.scenario == Scenario::Overload;
        let load = match overload && self.now_us >= self.window.from_us {
            true => OVERLOAD_SHARE,
            false => CALM_LOAD_SHARE,
        };
        let rate = self.layout.fan_out_rate(load) * self.layout.kinds[kind].queries_per_fan_out;
        let uniform: f64 = self.arrivals.random_range(f64::EPSILON..1.0);
        let gap_us = (-uniform.ln() * 1_000_000.0 / rate) as u64;
        let at_us = self.now_us + gap_us;
        if at_us < self.window.until_us {
            self.schedule(at_us, Event::SendQuery(kind));
        }
    }

    fn send_query(&mut self, kind: usize) {
        let query = self.records.len();
        self.records.push(QueryRecord {
            kind,
            entry: self.balancer_targets[query % self.balancer_targets.len()],
            sent_us: self.now_us,
            ended_us: 0,
            outcome: None,
            start_counts: vec![0; self.layout.kinds[kind].shards as usize],
            completed_us: vec![None; self.layout.kinds[kind].shards as usize],
        });
        self.schedule(
            self.now_us + CALLER_DELAY_US,
            Event::QueryReachesEntry(query),
        );
        self.schedule_arrival(kind);
    }

    pub(super) fn kind(&self, query: usize) -> QueryKind {
        self.layout.kinds[self.records[query].kind]
    }

    fn start_query(&mut self, query: usize) {
        let now = self.now();
        let kind = self.kind(query);
        let entry = self.records[query].entry;
        let admitted = self.instances[entry].admission.admit(now, kind.customer);
        if let Err(refusal) = admitted {
            self.send_outcome_to_caller(query, QueryOutcome::Refused(refusal.reason));
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
            self.schedule(wake_us.max(self.now_us), Event::WakeSearcher(index));
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
                let at_us = self.now_us + self.instance_delay_us(index, to);
                self.schedule(at_us, Event::Cancel(to, id));
            }
            SearchCommand::Answer { query, answer } => {
                let shards = answer.shards.iter().map(|shard| shard.shard);
                let shards = shards.collect();
                self.finish_query(index, query, QueryOutcome::Answered { shards });
            }
            SearchCommand::Refuse { query, refusal } => {
                self.finish_query(index, query, QueryOutcome::Refused(refusal.reason));
            }
            SearchCommand::Decision(_) => (),
        }
    }

    fn finish_query(&mut self, index: usize, query: QueryId, end: QueryOutcome) {
        let query = query.seq as usize;
        let customer = self.kind(query).customer;
        self.instances[index].admission.finish(customer);
        self.send_outcome_to_caller(query, end);
    }

    fn send_outcome_to_caller(&mut self, query: usize, end: QueryOutcome) {
        self.schedule(self.now_us + CALLER_DELAY_US, Event::QueryEnded(query, end));
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
        let id = SubRequestId {
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
            opens_connection: false,
        };
        let remaining_ms = deadline.remaining_ms(self.now());
        let at_us = self.now_us + self.instance_delay_us(index, dispatcher);
        self.schedule(at_us, Event::Offer { job, remaining_ms });
    }

    /// Returns the replica with the least reported load, among the replicas that this shard of the
    /// query was not sent to before.
    fn least_loaded(&mut self, query: usize, shard: ShardNo, chosen: UpstreamKey) -> UpstreamKey {
        let Some(loads) = self.reported_loads.iter().rev().nth(HEALTH_LAG_READINGS) else {
            return chosen;
        };
        let search = self.catalog.searches.get(self.kind(query).search);
        let replicas = &search.expect("queries name searches").shards[usize::from(shard.0)];
        let tried_replicas = self.tried_replicas.entry((query, shard)).or_default();
        let is_untried =
            |key: &&UpstreamKey| self.catalog.is_in_service(**key) && !tried_replicas.contains(key);
        let mut best_replicas = Vec::new();
        let mut least_load = f64::MAX;
        for &key in replicas.upstreams.iter().filter(is_untried) {
            let load = loads[key.slot()];
            if load < least_load {
                least_load = load;
                best_replicas.clear();
            }
            if load <= least_load {
                best_replicas.push(key);
            }
        }
        let key = match best_replicas.len() {
            0 => chosen,
            count => best_replicas[self.rng.random_range(0..count)],
        };
        tried_replicas.push(key);
        key
    }

    fn read_health(&mut self) {
        self.reported_loads
            .push(self.fakes.iter().map(FakeUpstream::load).collect());
        if self.now_us < self.window.until_us {
            self.schedule(self.now_us + HEALTH_READ_INTERVAL_US, Event::ReadHealth);
        }
    }

    /// Returns the instance that dispatches the sub-requests of instance `index` to `upstream`.
    fn dispatcher_of(&self, index: usize, upstream: UpstreamKey) -> usize {
        match self.options.policy.is_direct() {
            true => index,
            false => self.owners[upstream.slot()],
        }
    }

    pub(super) fn instance_delay_us(&self, from: usize, to: usize) -> u64 {
        match from == to {
            true => 0,
            false => Layout::zone_delay_us(self.instances[from].zone, self.instances[to].zone),
        }
    }

    pub(super) fn upstream_delay_us(&self, instance: usize, upstream: UpstreamKey) -> u64 {
        let zone = self.instances[instance].zone;
        Layout::zone_delay_us(zone, self.fakes[upstream.slot()].sizes.zone)
    }
}

/// Returns the owner of each upstream: the instance that rendezvous hashing ranks first in the
/// upstream's zone.
fn assign_owners(layout: &Layout) -> Vec<usize> {
    let owner = |upstream: usize, zone: u32| {
        let instances = layout.instances.iter().enumerate();
        let of_zone = instances.filter(|(_, other)| **other == zone);
        let first_ranked =
            of_zone.max_by_key(|(index, _)| hash_pair(upstream as u64, *index as u64));
        first_ranked.expect("each zone has instances").0
    };
    let upstreams = layout.upstreams.iter().enumerate();
    upstreams
        .map(|(upstream, sizes)| owner(upstream, sizes.zone))
        .collect()
}

/// Hashes an upstream and an instance with the finalizer of SplitMix64.
fn hash_pair(upstream: u64, instance: u64) -> u64 {
    let mut hash = (upstream << 32 | instance).wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ hash >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ hash >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ hash >> 31
}
