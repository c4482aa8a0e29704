//! A router instance in virtual time: the decision code, and the state that a daemon keeps for it.

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockrouter_limit::Admission;
use hemlockrouter_limit::Command;
use hemlockrouter_limit::Config as LimitConfig;
use hemlockrouter_limit::DispatchOutcome;
use hemlockrouter_limit::Limiter;
use hemlockrouter_limit::SubRequest;
use hemlockrouter_route::Searcher;
use hemlockrouter_route::SearcherConfig;
use hemlockrouter_types::prelude::*;

use super::aimd::Aimd;
use super::fake::Job;
use super::layout;
use super::Policy;

/// A simulated router instance.
pub(super) struct Instance {
    pub(super) zone: u32,
    pub(super) admission: Admission,
    pub(super) searcher: Searcher,
    pub(super) dispatcher: Dispatcher,
    /// Sub-requests that were offered to the dispatcher and have not ended.
    pub(super) sub_requests: BTreeMap<SubRequestId, PendingSubRequest>,
    /// Number of idle connections to each upstream, indexed by the slot of the upstream's key.
    pub(super) idle_connections: Vec<u32>,
    pub(super) searcher_wake_us: u64,
    pub(super) dispatcher_wake_us: u64,
    /// Divisor of the catalogue's slots: the number of instances for [`Policy::SplitLimits`], else 1.
    slot_divisor: u32,
}

/// A sub-request that is queued or in flight at its dispatcher.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingSubRequest {
    pub(super) job: Job,
    pub(super) offered_us: u64,
    pub(super) dispatched_us: u64,
}

/// The component that decides when a sub-request is dispatched to its upstream.
pub(super) enum Dispatcher {
    Limiter(Box<Limiter>),
    Aimd(Aimd),
}

impl Instance {
    /// Creates the instance number `index` of `instance_count` instances.
    pub(super) fn new(
        index: usize,
        zone: u32,
        instance_count: usize,
        policy: Policy,
        seed: u64,
    ) -> Instance {
        let mut config = SearcherConfig::new().zone(&layout::zone_name(zone));
        if policy == Policy::NoHedging {
            config = config.max_hedge_share(0.0);
        }
        let origin = InstanceId(index as u64);
        let dispatcher = match policy {
            Policy::Aimd => Dispatcher::Aimd(Aimd::default()),
            _ => Dispatcher::Limiter(Box::new(Limiter::new(LimitConfig::new()))),
        };
        Instance {
            zone,
            admission: Admission::new(),
            searcher: Searcher::new(config, origin, seed.wrapping_add(index as u64)),
            dispatcher,
            sub_requests: BTreeMap::new(),
            idle_connections: Vec::new(),
            searcher_wake_us: u64::MAX,
            dispatcher_wake_us: u64::MAX,
            slot_divisor: match policy {
                Policy::SplitLimits => instance_count as u32,
                _ => 1,
            },
        }
    }

    /// Applies a catalogue to the admission control and the searcher, but not to the dispatcher.
    pub(super) fn configure_entry(&mut self, now: Time, catalog: &Arc<Catalog>) {
        self.idle_connections
            .resize(catalog.upstreams.iter().count(), 0);
        self.admission.configure(now, catalog);
        let mut out = Vec::new();
        self.searcher.configure(now, Arc::clone(catalog), &mut out);
        assert!(
            out.is_empty(),
            "configuring a new searcher yields no commands"
        );
    }

    /// Returns the catalogue for the dispatcher of this instance, with its slots divided by `slot_divisor`.
    pub(super) fn dispatcher_catalog(&self, catalog: &Catalog) -> Catalog {
        let mut catalog = catalog.clone();
        let keys: Vec<UpstreamKey> = catalog.upstreams.iter().map(|(key, _)| key).collect();
        for key in keys {
            let upstream = catalog.upstreams.get_mut(key).expect("the key was listed");
            upstream.slots = (upstream.slots / self.slot_divisor).max(1);
        }
        catalog
    }
}

impl Dispatcher {
    pub(super) fn configure(&mut self, now: Time, catalog: &Catalog, out: &mut Vec<Command>) {
        match self {
            Dispatcher::Limiter(limiter) => limiter.configure(now, catalog, out),
            Dispatcher::Aimd(aimd) => aimd.configure(catalog),
        }
    }

    pub(super) fn grant_lease(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        if let Dispatcher::Limiter(limiter) = self {
            limiter.record_lease(now, upstream, Time::MAX, out);
        }
    }

    pub(super) fn offer(&mut self, now: Time, work: SubRequest, out: &mut Vec<Command>) {
        match self {
            Dispatcher::Limiter(limiter) => limiter.offer(now, work, out),
            Dispatcher::Aimd(aimd) => aimd.offer(now, work, out),
        }
    }

    pub(super) fn cancel(&mut self, now: Time, id: SubRequestId, out: &mut Vec<Command>) {
        match self {
            Dispatcher::Limiter(limiter) => limiter.cancel(now, id, out),
            Dispatcher::Aimd(aimd) => aimd.cancel(id, out),
        }
    }

    pub(super) fn finish(
        &mut self,
        now: Time,
        id: SubRequestId,
        ended: DispatchOutcome,
        out: &mut Vec<Command>,
    ) {
        match self {
            Dispatcher::Limiter(limiter) => limiter.finish(now, id, ended, out),
            Dispatcher::Aimd(aimd) => aimd.finish(now, id, ended, out),
        }
    }

    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        if let Dispatcher::Limiter(limiter) = self {
            limiter.tick(now, out);
        }
    }

    pub(super) fn next_wake(&self) -> Option<Time> {
        match self {
            Dispatcher::Limiter(limiter) => limiter.next_wake(),
            Dispatcher::Aimd(_) => None,
        }
    }
}
