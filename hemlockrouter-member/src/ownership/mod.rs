//! Ownership leases, which make one instance alone dispatch to an upstream.
//!
//! The highest-ranked living member of an upstream's zone asks for the grants of a majority of the
//! upstream's three guards, the members that vote on its lease ([`rank`]). A guard promises the
//! upstream to one instance at a time, for `lease_ms` from when it received the request. The holder
//! counts `lease_ms - holder_margin_ms` from when it *sent* the request, on its own monotonic
//! clock. Any two majorities share a guard, so two instances never hold the lease at once, whatever
//! condition either of them assumes of the other. Membership decides only which instance asks.

mod hand_over;
mod lease_state;
mod promises;
pub(crate) mod rank;

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::lease::LeaseMessage;
use hemlockrouter_wire::Message;

use crate::command::Command;
use crate::command::Destination;
use crate::config::Config;
use crate::ownership::lease_state::LeaseState;
use crate::ownership::promises::Promises;
use crate::ownership::rank::Candidate;
use crate::ownership::rank::Quorums;

/// How long ended promises are remembered, as a multiple of the lease time, so that late requests
/// can be distinguished from new ones.
const PROMISE_RETENTION_LEASES: u64 = 20;

/// Members of the own zone and the rights of this instance in it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneView {
    /// Whether this instance counts in quorums and may own upstreams.
    pub(crate) is_established: bool,
    /// Whether this instance may grant leases to others.
    pub(crate) may_grant: bool,
    /// Whether this instance is shutting down.
    pub(crate) is_leaving: bool,
    /// Members of the zone, this instance included.
    pub(crate) candidates: Vec<Candidate>,
}

impl ZoneView {
    fn is_established(&self, id: InstanceId) -> bool {
        self.candidates
            .iter()
            .any(|candidate| candidate.id == id && candidate.is_established)
    }

    fn contains(&self, id: InstanceId) -> bool {
        self.candidates.iter().any(|candidate| candidate.id == id)
    }
}

/// Ownership of the upstreams in the own zone.
#[derive(Debug)]
pub(crate) struct Ownership {
    config: Config,
    own_id: InstanceId,
    zone: String,
    view: ZoneView,
    catalog: Arc<Catalog>,
    leases: BTreeMap<UpstreamKey, LeaseState>,
    promises: Promises,
    next_renewal_at: Time,
    /// When renewals that were not answered are sent again.
    renewal_retry_at: Time,
    queued_requests: BTreeMap<InstanceId, Vec<UpstreamKey>>,
    queued_releases: BTreeMap<InstanceId, Vec<UpstreamKey>>,
}

impl Ownership {
    pub(crate) fn new(config: Config, own_id: InstanceId, zone: String, now: Time) -> Ownership {
        Ownership {
            config,
            own_id,
            zone,
            view: ZoneView::default(),
            catalog: Arc::new(Catalog::default()),
            leases: BTreeMap::new(),
            promises: Promises::default(),
            next_renewal_at: now,
            renewal_retry_at: now,
            queued_requests: BTreeMap::new(),
            queued_releases: BTreeMap::new(),
        }
    }

    /// Returns how long the holder may rely on a grant after it sent the request, in milliseconds.
    fn holder_lease_ms(&self) -> u64 {
        self.config.lease_ms - self.config.holder_margin_ms
    }

    pub(crate) fn lease_until(&self, upstream: UpstreamKey) -> Option<Time> {
        self.leases.get(&upstream)?.held_until
    }

    /// Returns whether this instance holds no lease.
    pub(crate) fn holds_nothing(&self) -> bool {
        self.leases.values().all(|lease| lease.held_until.is_none())
    }

    /// Applies a new catalogue: gives up upstreams that are no longer in this zone and adds new
    /// ones.
    pub(crate) fn configure(&mut self, now: Time, catalog: Arc<Catalog>, out: &mut Vec<Command>) {
        self.catalog = catalog;
        let zone = self.catalog.find_zone(&self.zone);
        let own_zone_upstreams: Vec<UpstreamKey> = self
            .catalog
            .upstreams
            .iter()
            .filter(|(_, upstream)| Some(upstream.zone) == zone)
            .map(|(key, _)| key)
            .collect();
        let removed_upstreams: Vec<UpstreamKey> = self
            .leases
            .keys()
            .filter(|key| own_zone_upstreams.binary_search(key).is_err())
            .copied()
            .collect();
        for upstream in removed_upstreams {
            self.give_up(now, upstream, "withdrawn", out);
            self.leases.remove(&upstream);
        }
        for upstream in own_zone_upstreams {
            self.leases.entry(upstream).or_default();
        }
        self.update_ranks(now, out);
        self.send_queued(now, out);
    }

    /// Applies a new view of the zone. If this instance is no longer established, it gives up all
    /// leases.
    pub(crate) fn apply_view(&mut self, now: Time, view: ZoneView, out: &mut Vec<Command>) {
        let was_established = self.view.is_established;
        self.view = view;
        self.update_ranks(now, out);
        if was_established && !self.view.is_established {
            self.give_up_all(now, "may have been removed from the zone", out);
        }
        self.send_queued(now, out);
    }

    fn update_ranks(&mut self, now: Time, out: &mut Vec<Command>) {
        let candidates = &self.view.candidates;
        for (upstream, lease) in &mut self.leases {
            lease.quorums = Quorums::new(*upstream, candidates);
            lease.preferred_owner = rank::preferred_owner(*upstream, candidates);
        }
        self.tick(now, out);
    }

    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        let upstreams: Vec<UpstreamKey> = self.leases.keys().copied().collect();
        for upstream in upstreams {
            self.drop_if_expired(now, upstream, out);
            self.request_lease(now, upstream, out);
        }
        self.renew(now, out);
        let remembered_ms = PROMISE_RETENTION_LEASES * self.config.lease_ms;
        self.promises.forget_ended(now, remembered_ms);
        self.send_queued(now, out);
    }

    pub(crate) fn next_wake(&self) -> Time {
        let mut wake = self.next_renewal_at.min(self.renewal_retry_at);
        for lease in self.leases.values() {
            if let Some(until) = lease.held_until {
                wake = wake.min(until);
            }
            if lease.is_seeking {
                wake = wake.min(lease.next_request_at);
            }
        }
        wake
    }

    fn drop_if_expired(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        let until = self.lease_until(upstream);
        if until.is_some_and(|until| until <= now) {
            self.give_up(now, upstream, "lease expired", out);
        }
    }

    /// Returns whether this instance is the preferred owner of an upstream and may own it.
    fn should_own(&self, upstream: UpstreamKey) -> bool {
        self.view.is_established
            && !self.view.is_leaving
            && self.leases[&upstream].preferred_owner == Some(self.own_id)
            && self.is_zone_in_service()
    }

    fn is_zone_in_service(&self) -> bool {
        let zone = self.catalog.find_zone(&self.zone);
        zone.and_then(|zone| self.catalog.zones.get(zone))
            .is_some_and(|zone| zone.in_service)
    }

    /// Asks all guards of an upstream for their grants if this instance should own it and has no
    /// lease.
    fn request_lease(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        if self.leases[&upstream].held_until.is_some() {
            return;
        }
        if !self.should_own(upstream) {
            if self.leases[&upstream].is_seeking {
                self.give_up(now, upstream, "another instance ranks higher", out);
            }
            return;
        }
        let retry_ms = self.config.lease_request_retry_ms;
        let promised_to = self.promises.holder(now, upstream);
        let lease = self
            .leases
            .get_mut(&upstream)
            .expect("the upstream is known");
        if !lease.is_seeking {
            lease.is_seeking = true;
            lease.seeking_since = now;
            lease.next_request_at = now;
        }
        if lease.next_request_at > now {
            return;
        }
        lease.next_request_at = now + retry_ms;
        lease.reported_holder = promised_to.or(lease.reported_holder);
        let mut guards_to_ask = lease.quorums.voters();
        guards_to_ask.extend(
            lease
                .reported_holder
                .filter(|holder| !guards_to_ask.contains(holder)),
        );
        for guard in guards_to_ask {
            self.queue_request(guard, upstream);
        }
        self.extend_or_acquire(now, upstream, out);
    }

    fn queue_request(&mut self, guard: InstanceId, upstream: UpstreamKey) {
        if guard != self.own_id {
            self.queued_requests
                .entry(guard)
                .or_default()
                .push(upstream);
        }
    }

    /// Renews all leases once in each renewal interval. The first attempt asks one guard for each
    /// upstream where that is enough, and later attempts ask all guards of the leases that were not
    /// renewed yet.
    fn renew(&mut self, now: Time, out: &mut Vec<Command>) {
        let is_first_attempt = now >= self.next_renewal_at;
        if !is_first_attempt && now < self.renewal_retry_at {
            return;
        }
        if is_first_attempt {
            self.next_renewal_at = now + self.config.lease_renew_interval_ms;
        }
        self.renewal_retry_at = now + self.config.lease_request_retry_ms;
        let renewal_started_at = self
            .next_renewal_at
            .minus_ms(self.config.lease_renew_interval_ms);
        let renewed_until = renewal_started_at + self.holder_lease_ms();
        let due_upstreams: Vec<UpstreamKey> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.held_until.is_some_and(|until| until < renewed_until))
            .map(|(upstream, _)| *upstream)
            .collect();
        if due_upstreams.is_empty() && !is_first_attempt {
            self.renewal_retry_at = self.next_renewal_at;
        }
        let due_per_guard = self.count_due_per_guard(&due_upstreams);
        for upstream in due_upstreams {
            let guards = self.guards_to_renew(upstream, is_first_attempt, &due_per_guard);
            for guard in guards {
                self.queue_request(guard, upstream);
            }
            self.extend_or_acquire(now, upstream, out);
        }
    }

    /// Counts how many of the upstreams each guard votes on, so that renewals can be sent to as few
    /// guards as possible.
    fn count_due_per_guard(&self, due_upstreams: &[UpstreamKey]) -> BTreeMap<InstanceId, usize> {
        let mut counts = BTreeMap::new();
        for upstream in due_upstreams {
            for id in self.leases[upstream].quorums.voters() {
                *counts.entry(id).or_default() += 1;
            }
        }
        counts
    }

    fn guards_to_renew(
        &self,
        upstream: UpstreamKey,
        is_first_attempt: bool,
        due_per_guard: &BTreeMap<InstanceId, usize>,
    ) -> Vec<InstanceId> {
        let quorums = &self.leases[&upstream].quorums;
        let mut guards = quorums.voters();
        let is_guard = guards.contains(&self.own_id);
        guards.retain(|id| *id != self.own_id);
        if !is_first_attempt || !quorums.has_single_set() || !is_guard {
            return guards;
        }
        guards.retain(|id| {
            self.view
                .candidates
                .iter()
                .any(|candidate| candidate.id == *id && candidate.is_living)
        });
        guards.sort_by_key(|id| std::cmp::Reverse((due_per_guard.get(id).copied(), *id)));
        guards.truncate(1);
        guards
    }

    /// Extends the lease, or acquires it, if the grants are sufficient.
    fn extend_or_acquire(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        let holder_lease_ms = self.holder_lease_ms();
        let own_id = self.own_id;
        // This instance may vote for itself only while it has promised the upstream to no other
        // instance.
        let may_vote_for_itself = self.promises.holder(now, upstream).is_none();
        let Some(lease) = self.leases.get_mut(&upstream) else {
            return;
        };
        let end = lease.lease_end(now, own_id, may_vote_for_itself, holder_lease_ms);
        if end <= now || lease.held_until.is_some_and(|until| until >= end) {
            return;
        }
        let is_new = lease.held_until.is_none();
        lease.held_until = Some(end);
        lease.is_seeking = false;
        let took_ms = now.ms_since(lease.seeking_since);
        out.push(Command::HoldLease {
            upstream,
            until: end,
        });
        if is_new {
            let passed_over = lease.reported_holder.take();
            let decision = Decision {
                what: "take_over",
                subject: upstream.to_string(),
                chosen: own_id.to_string(),
                passed_over: passed_over.map_or_else(String::new, |id| id.to_string()),
                why: "highest-ranked living member, granted by a majority of the guards".into(),
                took_ms,
            };
            out.push(Command::Decision(decision));
        }
    }

    /// Stops dispatching to an upstream and releases its lease and the grants for it.
    fn give_up(
        &mut self,
        now: Time,
        upstream: UpstreamKey,
        reason: &'static str,
        out: &mut Vec<Command>,
    ) {
        let Some(lease) = self.leases.get_mut(&upstream) else {
            return;
        };
        let was_held = lease.held_until.is_some();
        if !was_held && !lease.is_seeking {
            return;
        }
        lease.give_up(now);
        let guards = lease.quorums.voters();
        let preferred_owner = lease.preferred_owner;
        for guard in guards.into_iter().chain(preferred_owner) {
            let released = self.queued_releases.entry(guard).or_default();
            if guard != self.own_id && !released.contains(&upstream) {
                released.push(upstream);
            }
        }
        if !was_held {
            return;
        }
        out.push(Command::DropLease { upstream });
        let decision = Decision {
            what: "give_up",
            subject: upstream.to_string(),
            chosen: preferred_owner.map_or_else(String::new, |id| id.to_string()),
            passed_over: self.own_id.to_string(),
            why: reason.into(),
            took_ms: 0,
        };
        out.push(Command::Decision(decision));
    }

    fn give_up_all(&mut self, now: Time, reason: &'static str, out: &mut Vec<Command>) {
        let upstreams: Vec<UpstreamKey> = self.leases.keys().copied().collect();
        for upstream in upstreams {
            self.give_up(now, upstream, reason, out);
        }
    }

    /// Sends the queued releases and requests, as one message for each peer and kind.
    fn send_queued(&mut self, now: Time, out: &mut Vec<Command>) {
        let config = self.catalog.number;
        for (to, upstreams) in std::mem::take(&mut self.queued_releases) {
            if to == self.own_id || upstreams.is_empty() {
                continue;
            }
            let release = LeaseMessage::Release {
                sent_at: now,
                config,
                upstreams,
            };
            send(to, release, out);
        }
        for (to, upstreams) in std::mem::take(&mut self.queued_requests) {
            let ask = LeaseMessage::Ask {
                sent_at: now,
                config,
                upstreams,
            };
            send(to, ask, out);
        }
    }
}

fn send(to: InstanceId, message: LeaseMessage, out: &mut Vec<Command>) {
    out.push(Command::Send {
        to: Destination::Instance(to),
        message: Message::Lease(message),
    });
}
