//! Which replica a sub-request goes to.
//!
//! A replica of the own zone is taken unless it is slow: crossing zones costs a delay and, where
//! zones lie in several regions, much of the deadline. Among replicas that are equally near, two
//! are drawn at random and the better is taken ("The Power of Two Choices in Randomized Load
//! Balancing"), since instances that all took the best one by their own lagging view would
//! overload it together. Nothing here reads the upstreams' own health reports: they lag and may
//! mislead. What counts is how they answered this instance.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubReply;
use rand::rngs::StdRng;
use rand::RngExt;

use crate::latency::Latency;
use crate::round_trip::RoundTrip;

/// The latency that is assumed of an upstream that has not answered yet, in milliseconds.
const UNKNOWN_MS: u64 = 10;

/// An upstream of another zone must be better than one of the own zone by this factor.
const FAR_FACTOR: f64 = 1.5;

/// An upstream that was not asked for this long loses half of what counts against it.
const FORGET_MS: u64 = 5_000;

/// An upstream whose last answer lies back by this many medians while it works is held for slow.
const SILENT_MEDIANS: u64 = 4;

/// An upstream that loses this many hedged sub-requests in a row is left alone like one that failed.
const MAX_LOSSES: u32 = 3;

/// How long an upstream that failed is passed over at first, in milliseconds.
const FAILED_BACKOFF_MS: u64 = 50;

/// How long an upstream that failed is passed over at most, in milliseconds.
const FAILED_BACKOFF_MAX_MS: u64 = 2_000;

/// What this instance knows of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct State {
    key: UpstreamKey,
    zone: ZoneKey,
    slots: u32,
    in_service: bool,
    in_flight: u32,
    latency: Latency,
    round_trip: RoundTrip,
    busy_since: Time,
    asked_at: Time,
    /// Until when nothing is sent to it.
    barred_until: Time,
    /// Until when each customer that it refused sends nothing to it.
    refused_until: Vec<(CustomerKey, Time)>,
    /// Until when others are preferred to it.
    suspect_until: Time,
    troubles: u32,
    /// How many sub-requests in a row were given up for slow, without an answer between them.
    losses: u32,
    serves: Option<SnapshotRange>,
}

/// Why a replica can't be taken now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Barred {
    /// It is not in the catalogue, or operators took it or its zone out of service.
    OutOfService,
    /// It refused or can't be reached, and is to be left alone until then.
    Backoff(Time),
}

/// All upstreams of the catalogue.
#[derive(Clone, Debug)]
pub(crate) struct Upstreams {
    own_zone: Option<ZoneKey>,
    high_quantile: f64,
    states: Vec<Option<State>>,
    serves_changes: u64,
}

impl Upstreams {
    /// Makes an empty table whose records work out `high_quantile` of the latencies.
    pub(crate) fn new(high_quantile: f64) -> Upstreams {
        Upstreams {
            own_zone: None,
            high_quantile,
            states: Vec::new(),
            serves_changes: 0,
        }
    }

    /// Takes over the upstreams of `catalog` and keeps what is known of those that stay.
    pub(crate) fn configure(&mut self, catalog: &Catalog, own_zone: &str) {
        self.own_zone = catalog.find_zone(own_zone);
        let mut old = std::mem::take(&mut self.states);
        for (key, upstream) in catalog.upstreams.iter() {
            let slot = key.slot();
            let known = old.get_mut(slot).and_then(Option::take);
            let mut state = known
                .filter(|state| state.key == key)
                .unwrap_or_else(|| State::new(key, upstream.zone, self.high_quantile));
            state.zone = upstream.zone;
            state.slots = upstream.slots.max(1);
            state.in_service = catalog.in_service(key);
            if self.states.len() <= slot {
                self.states.resize_with(slot + 1, || None);
            }
            self.states[slot] = Some(state);
        }
        self.serves_changes += 1;
    }

    /// Returns what is known of `key`.
    pub(crate) fn get(&self, key: UpstreamKey) -> Option<&State> {
        let state = self.states.get(key.slot())?.as_ref()?;
        (state.key == key).then_some(state)
    }

    fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut State> {
        let state = self.states.get_mut(key.slot())?.as_mut()?;
        (state.key == key).then_some(state)
    }

    /// Counts the changes of what upstreams can serve.
    pub(crate) fn serves_changes(&self) -> u64 {
        self.serves_changes
    }

    /// Returns the snapshots that `key` is known to serve.
    pub(crate) fn serves(&self, key: UpstreamKey) -> Option<SnapshotRange> {
        self.get(key)?.serves
    }

    /// Notes what `key` can serve.
    pub(crate) fn learn_serves(&mut self, key: UpstreamKey, serves: SnapshotRange) {
        let Some(state) = self.get_mut(key) else {
            return;
        };
        if state.serves == Some(serves) {
            return;
        }
        state.serves = Some(serves);
        self.serves_changes += 1;
    }

    /// Notes that a sub-request goes to `key`.
    pub(crate) fn sent(&mut self, now: Time, key: UpstreamKey) {
        if let Some(state) = self.get_mut(key) {
            if state.in_flight == 0 {
                state.busy_since = now;
            }
            state.in_flight += 1;
            state.asked_at = now;
        }
    }

    /// Notes that `key` answered a sub-request that was sent at `sent_at`.
    pub(crate) fn answered(&mut self, now: Time, key: UpstreamKey, sent_at: Time) {
        if let Some(state) = self.get_mut(key) {
            state.end(now);
            state.latency.record(now, now.since(sent_at));
            state.troubles = 0;
            state.losses = 0;
            state.suspect_until = now;
        }
    }

    /// Learns the way to the owner of `key` and back from `reply` to what was sent at `sent_at`.
    pub(crate) fn learn_round_trip(
        &mut self,
        now: Time,
        key: UpstreamKey,
        sent_at: Time,
        reply: &SubReply,
    ) {
        // What the upstream did not serve may have been refused on the way, by this instance even.
        if reply.served_ms == 0 {
            return;
        }
        let there_ms = u64::from(reply.queued_ms) + u64::from(reply.served_ms);
        let way_ms = now.since(sent_at).saturating_sub(there_ms);
        if let Some(state) = self.get_mut(key) {
            state.round_trip.record(now, way_ms);
        }
    }

    /// Returns the deadline to send to the owner of `key` for an answer that must be back at
    /// `back_at`. The owner counts what is left from when it receives it, so the way there is taken
    /// off as well as the way back. At least 1 ms of work is left.
    pub(crate) fn deadline_at_owner(&self, now: Time, key: UpstreamKey, back_at: Time) -> Time {
        let way_ms = self.get(key).map_or(0, |state| state.round_trip.least_ms());
        let most_ms = back_at.left(now).saturating_sub(1);
        back_at.before(way_ms.min(most_ms))
    }

    /// Notes that a sub-request to `key` was cancelled. It took at least as long as it was waited
    /// for, which must count: else an upstream that always loses against hedges looks fast.
    pub(crate) fn cancelled(&mut self, now: Time, key: UpstreamKey, sent_at: Time) {
        if let Some(state) = self.get_mut(key) {
            let busy_since = state.busy_since;
            state.end(now);
            state.busy_since = busy_since;
            state.lose(now, now.since(sent_at));
        }
    }

    /// Notes that `key` did not run a sub-request for a reason that says nothing about its load.
    pub(crate) fn declined(&mut self, now: Time, key: UpstreamKey) {
        if let Some(state) = self.get_mut(key) {
            state.end(now);
        }
    }

    /// Notes that a sub-request of `customer` to `key` did not run.
    pub(crate) fn not_run(
        &mut self,
        now: Time,
        customer: CustomerKey,
        key: UpstreamKey,
        refusal: Refusal,
    ) {
        let Some(state) = self.get_mut(key) else {
            return;
        };
        state.end(now);
        let until = now + u64::from(refusal.retry_after_ms.max(1));
        match refusal.reason {
            Reason::Unreachable | Reason::NotOwner => {
                let backoff_ms = state.next_backoff_ms();
                state.barred_until = state.barred_until.max(now + backoff_ms);
            }
            Reason::Leaving | Reason::NotReady | Reason::NotConfigured => {
                state.barred_until = state.barred_until.max(until);
            }
            // The owner refuses by what this customer asks for, which must not keep others away.
            Reason::CustomerLimit
            | Reason::Overloaded
            | Reason::Deadline
            | Reason::Shed
            | Reason::StoreDown
            | Reason::Cancelled
            | Reason::Coverage => state.refuse(now, customer, until),
        }
    }

    /// Notes that a sub-request to `key` failed. It may be the request's own fault, so others are
    /// preferred to `key` for a time, but it is asked where there is none.
    pub(crate) fn failed(&mut self, now: Time, key: UpstreamKey) {
        if let Some(state) = self.get_mut(key) {
            state.end(now);
            state.suspect(now);
        }
    }

    /// Returns whether `key` may receive new work by the catalogue.
    pub(crate) fn in_service(&self, key: UpstreamKey) -> bool {
        self.get(key).is_some_and(|state| state.in_service)
    }

    /// Returns whether others are preferred to `key` for now.
    pub(crate) fn is_suspect(&self, now: Time, key: UpstreamKey) -> bool {
        self.get(key).is_some_and(|state| state.suspect_until > now)
    }

    /// Returns why `customer` can't send to `key` now, or `None` if it can.
    pub(crate) fn barred(
        &self,
        now: Time,
        customer: CustomerKey,
        key: UpstreamKey,
    ) -> Option<Barred> {
        let Some(state) = self.get(key).filter(|state| state.in_service) else {
            return Some(Barred::OutOfService);
        };
        let until = state.barred_until.max(state.refused_until(customer));
        (until > now).then_some(Barred::Backoff(until))
    }

    /// Chooses among `replicas`, of which `allowed` tells which may be taken by their position. The
    /// caller has ruled out those that are barred.
    pub(crate) fn choose<F>(
        &self,
        now: Time,
        replicas: &[UpstreamKey],
        rng: &mut StdRng,
        allowed: F,
    ) -> Option<usize>
    where
        F: Fn(usize) -> bool,
    {
        let mut near = Pair::default();
        let mut far = Pair::default();
        for (index, key) in replicas.iter().enumerate() {
            if !allowed(index) {
                continue;
            }
            let pair = match self.is_near(*key) {
                true => &mut near,
                false => &mut far,
            };
            pair.draw(index, rng);
        }
        let near = near.better(|index| self.weighted_cost(now, replicas[index]));
        let far = far.better(|index| self.weighted_cost(now, replicas[index]));
        match (near, far) {
            (Some(near), Some(far)) if far.cost < near.cost => Some(far.index),
            (Some(near), _) => Some(near.index),
            (None, far) => far.map(|far| far.index),
        }
    }

    /// Returns whether `key` lies in the own zone.
    pub(crate) fn is_near(&self, key: UpstreamKey) -> bool {
        let zone = self.get(key).map(|state| state.zone);
        zone.is_some() && zone == self.own_zone
    }

    /// Returns the expected latency of a further sub-request to `key`, in milliseconds.
    pub(crate) fn cost(&self, now: Time, key: UpstreamKey) -> f64 {
        self.get(key).map_or(f64::MAX, |state| state.cost(now))
    }

    /// Returns the cost of `key`, weighed by whether it lies in the own zone.
    pub(crate) fn weighted_cost(&self, now: Time, key: UpstreamKey) -> f64 {
        let cost = self.cost(now, key);
        match self.is_near(key) {
            true => cost,
            false => cost * FAR_FACTOR,
        }
    }

    /// Returns the high quantile of the latencies of `key` in milliseconds, if it rests on at least
    /// `samples` of them.
    pub(crate) fn high_ms(&self, key: UpstreamKey, samples: u32) -> Option<u64> {
        let latency = &self.get(key)?.latency;
        (latency.samples() >= samples).then(|| latency.high_ms())?
    }

    /// Returns the median of the latencies of `key` in milliseconds, if it answered.
    pub(crate) fn median_ms(&self, key: UpstreamKey) -> Option<u64> {
        self.get(key)?.latency.median_ms()
    }

    /// Returns how many sub-requests of this instance are at `key`.
    pub(crate) fn in_flight(&self, key: UpstreamKey) -> u32 {
        self.get(key).map_or(0, |state| state.in_flight)
    }
}

impl State {
    fn new(key: UpstreamKey, zone: ZoneKey, high_quantile: f64) -> State {
        State {
            key,
            zone,
            slots: 1,
            in_service: false,
            in_flight: 0,
            latency: Latency::new(high_quantile),
            round_trip: RoundTrip::default(),
            busy_since: Time::ZERO,
            asked_at: Time::ZERO,
            barred_until: Time::ZERO,
            refused_until: Vec::new(),
            suspect_until: Time::ZERO,
            troubles: 0,
            losses: 0,
            serves: None,
        }
    }

    fn end(&mut self, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.busy_since = now;
    }

    /// Counts a sub-request that was given up after `waited_ms`.
    fn lose(&mut self, now: Time, waited_ms: u64) {
        if self.latency.high_ms().is_some_and(|ms| waited_ms >= ms) {
            self.losses += 1;
        }
        if self.latency.median_ms().is_none_or(|ms| waited_ms > ms) {
            self.latency.record(now, waited_ms);
        }
        if self.losses >= MAX_LOSSES {
            self.suspect(now);
        }
    }

    /// Lets others be preferred, longer each time.
    fn suspect(&mut self, now: Time) {
        let until = now + self.next_backoff_ms();
        self.suspect_until = self.suspect_until.max(until);
    }

    fn next_backoff_ms(&mut self) -> u64 {
        let backoff_ms = FAILED_BACKOFF_MS << self.troubles.min(10);
        self.troubles += 1;
        backoff_ms.min(FAILED_BACKOFF_MAX_MS)
    }

    /// Notes that `customer` was refused and sends nothing until then.
    fn refuse(&mut self, now: Time, customer: CustomerKey, until: Time) {
        let until = until.max(self.refused_until(customer));
        self.refused_until
            .retain(|(other, at)| *other != customer && *at > now);
        self.refused_until.push((customer, until));
    }

    fn refused_until(&self, customer: CustomerKey) -> Time {
        let mut refused = self.refused_until.iter();
        let found = refused.find(|(refused, _)| *refused == customer);
        found.map_or(Time::ZERO, |(_, until)| *until)
    }

    fn cost(&self, now: Time) -> f64 {
        let mut latency_ms = self.latency.median_ms().unwrap_or(UNKNOWN_MS).max(1);
        if self.in_flight > 0 {
            let silent_ms = now.since(self.busy_since);
            if silent_ms > SILENT_MEDIANS * latency_ms {
                latency_ms = silent_ms;
            }
        }
        // Without this an upstream that was slow once would never be asked again.
        let halvings = (now.since(self.asked_at) / FORGET_MS).min(10);
        let latency_ms = (latency_ms >> halvings).max(1);
        let load = 1.0 + f64::from(self.in_flight) / f64::from(self.slots);
        latency_ms as f64 * load
    }
}

/// Two replicas that were drawn at random.
#[derive(Default)]
struct Pair {
    seen: usize,
    drawn: [Option<usize>; 2],
}

/// A replica and what it is expected to cost.
struct Costed {
    index: usize,
    cost: f64,
}

impl Pair {
    fn draw(&mut self, index: usize, rng: &mut StdRng) {
        let place = match self.seen {
            0 | 1 => self.seen,
            _ => rng.random_range(0..=self.seen),
        };
        if let Some(drawn) = self.drawn.get_mut(place) {
            *drawn = Some(index);
        }
        self.seen += 1;
    }

    fn better<F>(&self, cost: F) -> Option<Costed>
    where
        F: Fn(usize) -> f64,
    {
        let costed = |index| Costed {
            index,
            cost: cost(index),
        };
        let first = costed(self.drawn[0]?);
        let Some(second) = self.drawn[1].map(costed) else {
            return Some(first);
        };
        match second.cost < first.cost {
            true => Some(second),
            false => Some(first),
        }
    }
}
