//! An instance of the tier in virtual time: the decision packages, and what a daemon keeps for them.

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

/// An instance.
pub(super) struct Instance {
    pub(super) zone: u32,
    pub(super) admission: Admission,
    pub(super) searcher: Searcher,
    pub(super) dispatcher: Dispatcher,
    /// What was offered to the dispatcher and has not ended.
    pub(super) subs: BTreeMap<SubRequestId, Sub>,
    /// Connections that are open and free, by the slot of the upstream's key.
    pub(super) idle: Vec<u32>,
    pub(super) searcher_wake_us: u64,
    pub(super) dispatcher_wake_us: u64,
    /// Divides the slots of the catalogue, where every instance dispatches to every upstream.
    divisor: u32,
}

/// A sub-request at its dispatcher.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sub {
    pub(super) job: Job,
    pub(super) offered_us: u64,
    pub(super) dispatched_us: u64,
}

/// What decides when a sub-request goes to its upstream.
pub(super) enum Dispatcher {
    Limiter(Box<Limiter>),
    Aimd(Aimd),
}

impl Instance {
    /// Makes the instance number `index` of `total`.
    pub(super) fn new(
        index: usize,
        zone: u32,
        total: usize,
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
            subs: BTreeMap::new(),
            idle: Vec::new(),
            searcher_wake_us: u64::MAX,
            dispatcher_wake_us: u64::MAX,
            divisor: match policy {
                Policy::SplitLimits => total as u32,
                _ => 1,
            },
        }
    }

    /// Puts a catalogue in force, except at the dispatcher.
    pub(super) fn configure_entry(&mut self, now: Time, catalog: &Arc<Catalog>) {
        self.idle.resize(catalog.upstreams.iter().count(), 0);
        self.admission.configure(now, catalog);
        let mut out = Vec::new();
        self.searcher.configure(now, Arc::clone(catalog), &mut out);
        assert!(out.is_empty(), "a searcher has nothing to do at once");
    }

    /// Returns the catalogue as the dispatcher of this instance is to see it.
    pub(super) fn dispatcher_catalog(&self, catalog: &Catalog) -> Catalog {
        let mut catalog = catalog.clone();
        let keys: Vec<UpstreamKey> = catalog.upstreams.iter().map(|(key, _)| key).collect();
        for key in keys {
            let upstream = catalog.upstreams.get_mut(key).expect("the key was listed");
            upstream.slots = (upstream.slots / self.divisor).max(1);
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

    pub(super) fn hold(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
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
