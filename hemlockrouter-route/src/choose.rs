//! Selects the replica that a sub-request is sent to.
//!
//! A replica in the instance's own zone is preferred unless that replica is slow. Crossing zones
//! costs a delay and, where zones lie in several regions, a large part of the deadline. Among
//! replicas that are equally near, two are drawn at random and the one with the lower expected cost
//! is used ("The Power of Two Choices in Randomized Load Balancing"). If all instances chose the
//! best replica by their own stale measurements, they would overload that replica together.
//! Selection ignores the health reports of upstreams, because these reports lag and may be wrong.
//! Selection uses only the latencies and failures that this instance observed.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubReply;
use rand::rngs::StdRng;
use rand::RngExt;

use crate::latency::Latency;
use crate::round_trip::RoundTrip;

/// Latency that is assumed for an upstream that has not answered yet, in milliseconds.
const UNKNOWN_MS: u64 = 10;

/// Factor by which the cost of an upstream in another zone is multiplied.
const FAR_FACTOR: f64 = 1.5;

/// Time without a request after which the expected latency of an upstream is halved, in
/// milliseconds.
const FORGET_MS: u64 = 5_000;

/// Number of median latencies without a reply after which a busy upstream counts as slow.
const SILENT_MEDIANS: u64 = 4;

/// Number of consecutive sub-requests lost to hedges after which an upstream becomes suspect, as
/// after a failure.
const MAX_LOSSES: u32 = 3;

/// Backoff after the first failure of an upstream, in milliseconds.
const FAILED_BACKOFF_MS: u64 = 50;

/// Maximum backoff after repeated failures of an upstream, in milliseconds.
const FAILED_BACKOFF_MAX_MS: u64 = 2_000;

/// State of one upstream as this instance has observed it.
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
    /// The time until which no customer sends to this upstream.
    barred_until: Time,
    /// For each customer that this upstream refused, the time until which that customer sends
    /// nothing.
    refused_until: Vec<(CustomerKey, Time)>,
    /// The time until which other upstreams are preferred to this one.
    suspect_until: Time,
    troubles: u32,
    /// Number of consecutive sub-requests that were cancelled as slow, reset by any answer.
    losses: u32,
    serves: Option<SnapshotRange>,
}

/// Reason why a replica can't be selected now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Barred {
    /// The upstream is not in the catalogue, or operators took the upstream or its zone out of
    /// service.
    OutOfService,
    /// The upstream refused or can't be reached, and receives nothing until the given time.
    Backoff(Time),
}

/// Table of the state of all upstreams in the catalogue.
#[derive(Clone, Debug)]
pub(crate) struct Upstreams {
    own_zone: Option<ZoneKey>,
    high_quantile: f64,
    states: Vec<Option<State>>,
    serves_changes: u64,
}

impl Upstreams {
    /// Creates an empty table. Each upstream's latency histogram tracks the median and
    /// `high_quantile`.
    pub(crate) fn new(high_quantile: f64) -> Upstreams {
        Upstreams {
            own_zone: None,
            high_quantile,
            states: Vec::new(),
            serves_changes: 0,
        }
    }

    /// Applies a new catalogue and keeps the state of upstreams that are in both catalogues.
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

    /// Returns the state of `key`, or `None` if the upstream is not in the catalogue.
    pub(crate) fn get(&self, key: UpstreamKey) -> Option<&State> {
        let state = self.states.get(key.slot())?.as_ref()?;
        (state.key == key).then_some(state)
    }

    fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut State> {
        let state = self.states.get_mut(key.slot())?.as_mut()?;
        (state.key == key).then_some(state)
    }

    /// Returns a counter that increases whenever the set of snapshots served by any upstream may
    /// have changed.
    pub(crate) fn serves_changes(&self) -> u64 {
        self.serves_changes
    }

    /// Returns the range of snapshots that `key` last reported, or `None` before its first report.
    pub(crate) fn serves(&self, key: UpstreamKey) -> Option<SnapshotRange> {
        self.get(key)?.serves
    }

    /// Records the range of snapshots that `key` can serve.
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

    /// Records that a sub-request is sent to `key`.
    pub(crate) fn sent(&mut self, now: Time, key: UpstreamKey) {
        if let Some(state) = self.get_mut(key) {
            if state.in_flight == 0 {
                state.busy_since = now;
            }
            state.in_flight += 1;
            state.asked_at = now;
        }
    }

    /// Records that `key` answered a sub-request that was sent at `sent_at`.
    pub(crate) fn answered(&mut self, now: Time, key: UpstreamKey, sent_at: Time) {
        if let Some(state) = self.get_mut(key) {
            state.end(now);
            state.latency.record(now, now.since(sent_at));
            state.troubles = 0;
            state.losses = 0;
            state.suspect_until = now;
        }
    }

    /// Records the network round trip to the owner of `key`: the time since `sent_at` minus the
    /// queueing and service times in `reply`.
    pub(crate) fn learn_round_trip(
        &mut self,
        now: Time,
        key: UpstreamKey,
        sent_at: Time,
        reply: &SubReply,
    ) {
        // A reply without service time may be a refusal made before the owner, even by this
        // instance itself.
        if reply.served_ms == 0 {
            return;
        }
        let there_ms = u64::from(reply.queued_ms) + u64::from(reply.served_ms);
        let way_ms = now.since(sent_at).saturating_sub(there_ms);
        if let Some(state) = self.get_mut(key) {
            state.round_trip.record(now, way_ms);
        }
    }

    /// Returns the deadline to send to the owner of `key` so that the answer is back at `back_at`.
    ///
    /// The owner counts the remaining time from when it receives the request, so a full round trip
    /// is subtracted and not only the return path. At least 1 ms is left for the work.
    pub(crate) fn deadline_at_owner(&self, now: Time, key: UpstreamKey, back_at: Time) -> Time {
        let way_ms = self.get(key).map_or(0, |state| state.round_trip.least_ms());
        let most_ms = back_at.left(now).saturating_sub(1);
        back_at.before(way_ms.min(most_ms))
    }

    /// Records that a sub-request to `key` was cancelled.
    ///
    /// The time waited so far counts as a latency. Otherwise an upstream that always loses against
    /// hedges would look fast.
    pub(crate) fn cancelled(&mut self, now: Time, key: UpstreamKey, sent_at: Time) {
        if let Some(state) = self.get_mut(key) {
            let busy_since = state.busy_since;
            state.end(now);
            state.busy_since = busy_since;
            state.lose(now, now.since(sent_at));
        }
    }

    /// Records that `key` did not run a sub-request for a reason that does not indicate load.
    pub(crate) fn declined(&mut self, now: Time, key: UpstreamKey) {
        if let Some(state) = self.get_mut(key) {
            state.end(now);
        }
    }

    /// Records that `key` refused a sub-request of `customer`, and applies the backoff for the
    /// given reason.
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
            // These refusals depend on the load of this customer, so only this customer backs off.
            Reason::CustomerLimit
            | Reason::Overloaded
            | Reason::Deadline
            | Reason::Shed
            | Reason::StoreDown
            | Reason::Cancelled
            | Reason::Coverage => state.refuse(now, customer, until),
        }
    }

    /// Records that a sub-request to `key` failed.
    ///
    /// The request itself may have caused the failure. So other upstreams are preferred to `key`
    /// for a time, but `key` is still used where it is the only choice.
    pub(crate) fn failed(&mut self, now: Time, key: UpstreamKey) {
        if let Some(state) = self.get_mut(key) {
            state.end(now);
            state.suspect(now);
        }
    }

    /// Returns whether the catalogue allows new work on `key`.
    pub(crate) fn in_service(&self, key: UpstreamKey) -> bool {
        self.get(key).is_some_and(|state| state.in_service)
    }

    /// Returns whether other upstreams are currently preferred to `key`.
    pub(crate) fn is_suspect(&self, now: Time, key: UpstreamKey) -> bool {
        self.get(key).is_some_and(|state| state.suspect_until > now)
    }

    /// Returns the reason why `customer` can't send to `key` now, or `None` if it can.
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

    /// Selects one of `replicas` by weighted cost and returns its position, or `None` if none is
    /// allowed.
    ///
    /// `allowed` returns whether the replica at a position may be selected. The caller has already
    /// excluded unavailable replicas.
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

    /// Returns whether `key` is in the instance's own zone.
    pub(crate) fn is_near(&self, key: UpstreamKey) -> bool {
        let zone = self.get(key).map(|state| state.zone);
        zone.is_some() && zone == self.own_zone
    }

    /// Returns the expected latency of one more sub-request to `key`, in milliseconds.
    pub(crate) fn cost(&self, now: Time, key: UpstreamKey) -> f64 {
        self.get(key).map_or(f64::MAX, |state| state.cost(now))
    }

    /// Returns the expected latency of one more sub-request to `key`, in milliseconds, multiplied
    /// by a penalty for upstreams of other zones.
    pub(crate) fn weighted_cost(&self, now: Time, key: UpstreamKey) -> f64 {
        let cost = self.cost(now, key);
        match self.is_near(key) {
            true => cost,
            false => cost * FAR_FACTOR,
        }
    }

    /// Returns the high quantile of the latencies of `key` in milliseconds, or `None` with fewer
    /// than `samples` latencies.
    pub(crate) fn high_ms(&self, key: UpstreamKey, samples: u32) -> Option<u64> {
        let latency = &self.get(key)?.latency;
        (latency.samples() >= samples).then(|| latency.high_ms())?
    }

    /// Returns the median latency of `key` in milliseconds, or `None` if no latency was recorded.
    pub(crate) fn median_ms(&self, key: UpstreamKey) -> Option<u64> {
        self.get(key)?.latency.median_ms()
    }

    /// Returns the number of sub-requests of this instance in flight at `key`.
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

    /// Records a sub-request that was cancelled after `waited_ms`, and marks the upstream as
    /// suspect after too many of them in a row.
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

    /// Marks the upstream as suspect. The duration doubles with each consecutive failure.
    fn suspect(&mut self, now: Time) {
        let until = now + self.next_backoff_ms();
        self.suspect_until = self.suspect_until.max(until);
    }

    fn next_backoff_ms(&mut self) -> u64 {
        let backoff_ms = FAILED_BACKOFF_MS << self.troubles.min(10);
        self.troubles += 1;
        backoff_ms.min(FAILED_BACKOFF_MAX_MS)
    }

    /// Stops `customer` from sending to this upstream until the given time.
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
        // Without this decay, an upstream that was slow once would never be used again.
        let halvings = (now.since(self.asked_at) / FORGET_MS).min(10);
        let latency_ms = (latency_ms >> halvings).max(1);
        let load = 1.0 + f64::from(self.in_flight) / f64::from(self.slots);
        latency_ms as f64 * load
    }
}

/// Random sample of up to two replicas.
#[derive(Default)]
struct Pair {
    seen: usize,
    drawn: [Option<usize>; 2],
}

/// A replica with its expected cost.
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
