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
use hemlockrouter_wire::SubRequestReply;
use rand::rngs::StdRng;
use rand::RngExt;

use crate::latency::LatencyHistogram;
use crate::round_trip::RoundTrip;

/// Latency that is assumed for an upstream that has not answered yet, in milliseconds.
const ASSUMED_LATENCY_MS: u64 = 10;

/// Factor by which the cost of an upstream in another zone is multiplied.
const OTHER_ZONE_COST_FACTOR: f64 = 1.5;

/// Time without a request after which the expected latency of an upstream is halved, in
/// milliseconds.
const IDLE_HALF_LIFE_MS: u64 = 5_000;

/// Number of median latencies without a reply after which a busy upstream counts as slow.
const MAX_SILENCE_MEDIANS: u64 = 4;

/// Number of consecutive sub-requests lost to hedges after which an upstream becomes suspect, as
/// after a failure.
const MAX_CONSECUTIVE_LOSSES: u32 = 3;

/// Backoff after the first failure of an upstream, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 50;

/// Maximum backoff after repeated failures of an upstream, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;

/// State of one upstream as this instance has observed it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    key: UpstreamKey,
    zone: ZoneKey,
    slots: u32,
    in_service: bool,
    in_flight: u32,
    latency: LatencyHistogram,
    round_trip: RoundTrip,
    last_progress_at: Time,
    last_sent_at: Time,
    /// The time until which no customer sends to this upstream.
    backoff_until: Time,
    /// For each customer that this upstream refused, the time until which that customer sends
    /// nothing.
    customer_backoffs: Vec<(CustomerKey, Time)>,
    /// The time until which other upstreams are preferred to this one.
    suspect_until: Time,
    consecutive_failures: u32,
    /// Number of consecutive sub-requests that were cancelled as slow, reset by any answer.
    consecutive_losses: u32,
    served_snapshots: Option<SnapshotRange>,
}

/// Reason why a replica can't be selected now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Unavailability {
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
    states: Vec<Option<UpstreamState>>,
    served_snapshot_changes: u64,
}

impl Upstreams {
    /// Creates an empty table. Each upstream's latency histogram tracks the median and
    /// `high_quantile`.
    pub(crate) fn new(high_quantile: f64) -> Upstreams {
        Upstreams {
            own_zone: None,
            high_quantile,
            states: Vec::new(),
            served_snapshot_changes: 0,
        }
    }

    /// Applies a new catalogue and keeps the state of upstreams that are in both catalogues.
    pub(crate) fn configure(&mut self, catalog: &Catalog, own_zone: &str) {
        self.own_zone = catalog.find_zone(own_zone);
        let mut old_states = std::mem::take(&mut self.states);
        for (key, upstream) in catalog.upstreams.iter() {
            let slot = key.slot();
            let known_state = old_states.get_mut(slot).and_then(Option::take);
            let mut state = known_state
                .filter(|state| state.key == key)
                .unwrap_or_else(|| UpstreamState::new(key, upstream.zone, self.high_quantile));
            state.zone = upstream.zone;
            state.slots = upstream.slots.max(1);
            state.in_service = catalog.is_in_service(key);
            if self.states.len() <= slot {
                self.states.resize_with(slot + 1, || None);
            }
            self.states[slot] = Some(state);
        }
        self.served_snapshot_changes += 1;
    }

    /// Returns the state of `key`, or `None` if the upstream is not in the catalogue.
    pub(crate) fn get(&self, key: UpstreamKey) -> Option<&UpstreamState> {
        let state = self.states.get(key.slot())?.as_ref()?;
        (state.key == key).then_some(state)
    }

    fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut UpstreamState> {
        let state = self.states.get_mut(key.slot())?.as_mut()?;
        (state.key == key).then_some(state)
    }

    /// Returns a counter that increases whenever the set of snapshots served by any upstream may
    /// have changed.
    pub(crate) fn served_snapshot_changes(&self) -> u64 {
        self.served_snapshot_changes
    }

    /// Returns the range of snapshots that `key` last reported, or `None` before its first report.
    pub(crate) fn served_snapshots(&self, key: UpstreamKey) -> Option<SnapshotRange> {
        self.get(key)?.served_snapshots
    }

    /// Records the range of snapshots that `key` can serve.
    pub(crate) fn record_served_snapshots(&mut self, key: UpstreamKey, snapshots: SnapshotRange) {
        let Some(state) = self.get_mut(key) else {
            return;
        };
        if state.served_snapshots == Some(snapshots) {
            return;
        }
        state.served_snapshots = Some(snapshots);
        self.served_snapshot_changes += 1;
    }

    /// Records that a sub-request is sent to `key`.
    pub(crate) fn record_sent(&mut self, now: Time, key: UpstreamKey) {
        if let Some(state) = self.get_mut(key) {
            if state.in_flight == 0 {
                state.last_progress_at = now;
            }
            state.in_flight += 1;
            state.last_sent_at = now;
        }
    }

    /// Records that `key` answered a sub-request that was sent at `sent_at`.
    pub(crate) fn record_answer(&mut self, now: Time, key: UpstreamKey, sent_at: Time) {
        if let Some(state) = self.get_mut(key) {
            state.end_sub_request(now);
            state.latency.record(now, now.ms_since(sent_at));
            state.consecutive_failures = 0;
            state.consecutive_losses = 0;
            state.suspect_until = now;
        }
    }

    /// Records the network round trip to the owner of `key`: the time since `sent_at` minus the
    /// queueing and service times in `reply`.
    pub(crate) fn record_round_trip(
        &mut self,
        now: Time,
        key: UpstreamKey,
        sent_at: Time,
        reply: &SubRequestReply,
    ) {
        // A reply without service time may be a refusal made before the owner, even by this
        // instance itself.
        if reply.served_ms == 0 {
            return;
        }
        let at_owner_ms = u64::from(reply.queued_ms) + u64::from(reply.served_ms);
        let round_trip_ms = now.ms_since(sent_at).saturating_sub(at_owner_ms);
        if let Some(state) = self.get_mut(key) {
            state.round_trip.record(now, round_trip_ms);
        }
    }

    /// Returns the deadline to send to the owner of `key` so that the answer is back at `due_at`.
    ///
    /// The owner counts the remaining time from when it receives the request, so a full round trip
    /// is subtracted and not only the return path. At least 1 ms is left for the work.
    pub(crate) fn owner_deadline(&self, now: Time, key: UpstreamKey, due_at: Time) -> Time {
        let round_trip_ms = self.get(key).map_or(0, |state| state.round_trip.min_ms());
        let max_round_trip_ms = due_at.remaining_ms(now).saturating_sub(1);
        due_at.minus_ms(round_trip_ms.min(max_round_trip_ms))
    }

    /// Records that a sub-request to `key` was cancelled.
    ///
    /// The time waited so far is a lower bound of the latency, and is recorded if it exceeds the
    /// median. Otherwise an upstream that always loses against hedges would look fast.
    pub(crate) fn record_cancellation(&mut self, now: Time, key: UpstreamKey, sent_at: Time) {
        if let Some(state) = self.get_mut(key) {
            let last_progress_at = state.last_progress_at;
            state.end_sub_request(now);
            state.last_progress_at = last_progress_at;
            state.record_loss(now, now.ms_since(sent_at));
        }
    }

    /// Records that `key` did not run a sub-request for a reason that does not indicate load.
    pub(crate) fn record_decline(&mut self, now: Time, key: UpstreamKey) {
        if let Some(state) = self.get_mut(key) {
            state.end_sub_request(now);
        }
    }

    /// Records that `key` refused a sub-request of `customer`, and applies the backoff for the
    /// given reason.
    pub(crate) fn record_refusal(
        &mut self,
        now: Time,
        customer: CustomerKey,
        key: UpstreamKey,
        refusal: Refusal,
    ) {
        let Some(state) = self.get_mut(key) else {
            return;
        };
        state.end_sub_request(now);
        let until = now + u64::from(refusal.retry_after_ms.max(1));
        match refusal.reason {
            RefusalReason::Unreachable | RefusalReason::NotOwner => {
                let backoff_ms = state.next_backoff_ms();
                state.backoff_until = state.backoff_until.max(now + backoff_ms);
            }
            RefusalReason::Leaving | RefusalReason::NotReady | RefusalReason::NotConfigured => {
                state.backoff_until = state.backoff_until.max(until);
            }
            // These refusals depend on the load of this customer, so only this customer backs off.
            RefusalReason::CustomerLimit
            | RefusalReason::Overloaded
            | RefusalReason::Deadline
            | RefusalReason::Shed
            | RefusalReason::StoreDown
            | RefusalReason::Cancelled
            | RefusalReason::Coverage => state.back_off_customer(now, customer, until),
        }
    }

    /// Records that a sub-request to `key` failed.
    ///
    /// The request itself may have caused the failure. So other upstreams are preferred to `key`
    /// for a time, but `key` is still used where it is the only choice.
    pub(crate) fn record_failure(&mut self, now: Time, key: UpstreamKey) {
        if let Some(state) = self.get_mut(key) {
            state.end_sub_request(now);
            state.mark_suspect(now);
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
    pub(crate) fn unavailability(
        &self,
        now: Time,
        customer: CustomerKey,
        key: UpstreamKey,
    ) -> Option<Unavailability> {
        let Some(state) = self.get(key).filter(|state| state.in_service) else {
            return Some(Unavailability::OutOfService);
        };
        let until = state
            .backoff_until
            .max(state.customer_backoff_until(customer));
        (until > now).then_some(Unavailability::Backoff(until))
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
        let mut own_zone = RandomPair::default();
        let mut other_zones = RandomPair::default();
        for (index, key) in replicas.iter().enumerate() {
            if !allowed(index) {
                continue;
            }
            let sampled = match self.is_in_own_zone(*key) {
                true => &mut own_zone,
                false => &mut other_zones,
            };
            sampled.sample(index, rng);
        }
        let own_zone = own_zone.lower_cost(|index| self.weighted_cost(now, replicas[index]));
        let other_zones = other_zones.lower_cost(|index| self.weighted_cost(now, replicas[index]));
        match (own_zone, other_zones) {
            (Some(own_zone), Some(other_zones)) if other_zones.cost < own_zone.cost => {
                Some(other_zones.index)
            }
            (Some(own_zone), _) => Some(own_zone.index),
            (None, other_zones) => other_zones.map(|other_zones| other_zones.index),
        }
    }

    /// Returns whether `key` is in the instance's own zone.
    pub(crate) fn is_in_own_zone(&self, key: UpstreamKey) -> bool {
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
        match self.is_in_own_zone(key) {
            true => cost,
            false => cost * OTHER_ZONE_COST_FACTOR,
        }
    }

    /// Returns the high quantile of the latencies of `key` in milliseconds, or `None` with fewer
    /// than `min_samples` latencies.
    pub(crate) fn high_quantile_ms(&self, key: UpstreamKey, min_samples: u32) -> Option<u64> {
        let latency = &self.get(key)?.latency;
        (latency.sample_count() >= min_samples).then(|| latency.high_quantile_ms())?
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

impl UpstreamState {
    fn new(key: UpstreamKey, zone: ZoneKey, high_quantile: f64) -> UpstreamState {
        UpstreamState {
            key,
            zone,
            slots: 1,
            in_service: false,
            in_flight: 0,
            latency: LatencyHistogram::new(high_quantile),
            round_trip: RoundTrip::default(),
            last_progress_at: Time::ZERO,
            last_sent_at: Time::ZERO,
            backoff_until: Time::ZERO,
            customer_backoffs: Vec::new(),
            suspect_until: Time::ZERO,
            consecutive_failures: 0,
            consecutive_losses: 0,
            served_snapshots: None,
        }
    }

    fn end_sub_request(&mut self, now: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_progress_at = now;
    }

    /// Records a sub-request that was cancelled after `waited_ms`, and marks the upstream as
    /// suspect after too many of them in a row.
    fn record_loss(&mut self, now: Time, waited_ms: u64) {
        if self
            .latency
            .high_quantile_ms()
            .is_some_and(|ms| waited_ms >= ms)
        {
            self.consecutive_losses += 1;
        }
        if self.latency.median_ms().is_none_or(|ms| waited_ms > ms) {
            self.latency.record(now, waited_ms);
        }
        if self.consecutive_losses >= MAX_CONSECUTIVE_LOSSES {
            self.mark_suspect(now);
        }
    }

    /// Marks the upstream as suspect. The duration doubles with each consecutive failure.
    fn mark_suspect(&mut self, now: Time) {
        let until = now + self.next_backoff_ms();
        self.suspect_until = self.suspect_until.max(until);
    }

    fn next_backoff_ms(&mut self) -> u64 {
        let backoff_ms = INITIAL_BACKOFF_MS << self.consecutive_failures.min(10);
        self.consecutive_failures += 1;
        backoff_ms.min(MAX_BACKOFF_MS)
    }

    /// Stops `customer` from sending to this upstream until the given time.
    fn back_off_customer(&mut self, now: Time, customer: CustomerKey, until: Time) {
        let until = until.max(self.customer_backoff_until(customer));
        self.customer_backoffs
            .retain(|(other, at)| *other != customer && *at > now);
        self.customer_backoffs.push((customer, until));
    }

    fn customer_backoff_until(&self, customer: CustomerKey) -> Time {
        let mut backoffs = self.customer_backoffs.iter();
        let customer_backoff = backoffs.find(|(refused, _)| *refused == customer);
        customer_backoff.map_or(Time::ZERO, |(_, until)| *until)
    }

    fn cost(&self, now: Time) -> f64 {
        let mut latency_ms = self
            .latency
            .median_ms()
            .unwrap_or(ASSUMED_LATENCY_MS)
            .max(1);
        if self.in_flight > 0 {
            let silent_ms = now.ms_since(self.last_progress_at);
            if silent_ms > MAX_SILENCE_MEDIANS * latency_ms {
                latency_ms = silent_ms;
            }
        }
        // Without this decay, an upstream that was slow once would never be used again.
        let halving_count = (now.ms_since(self.last_sent_at) / IDLE_HALF_LIFE_MS).min(10);
        let latency_ms = (latency_ms >> halving_count).max(1);
        let load_factor = 1.0 + f64::from(self.in_flight) / f64::from(self.slots);
        latency_ms as f64 * load_factor
    }
}

/// Random sample of up to two replicas.
#[derive(Default)]
struct RandomPair {
    candidate_count: usize,
    sampled_indexes: [Option<usize>; 2],
}

/// A replica with its expected cost.
struct CostedReplica {
    index: usize,
    cost: f64,
}

impl RandomPair {
    fn sample(&mut self, index: usize, rng: &mut StdRng) {
        let position = match self.candidate_count {
            0 | 1 => self.candidate_count,
            _ => rng.random_range(0..=self.candidate_count),
        };
        if let Some(sampled_index) = self.sampled_indexes.get_mut(position) {
            *sampled_index = Some(index);
        }
        self.candidate_count += 1;
    }

    fn lower_cost<F>(&self, cost: F) -> Option<CostedReplica>
    where
        F: Fn(usize) -> f64,
    {
        let costed = |index| CostedReplica {
            index,
            cost: cost(index),
        };
        let first = costed(self.sampled_indexes[0]?);
        let Some(second) = self.sampled_indexes[1].map(costed) else {
            return Some(first);
        };
        match second.cost < first.cost {
            true => Some(second),
            false => Some(first),
        }
    }
}
