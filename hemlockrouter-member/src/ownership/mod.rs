//! Ownership leases, which make one instance alone dispatch to an upstream.
//!
//! The highest-ranked living member of an upstream's zone asks for the grants of a majority of the
//! upstream's three guards, the members that vote on its lease ([`rank`]). A guard promises the
//! upstream to one instance at a time, for `lease_ms` from when it received the request. The holder
//! counts `lease_ms - margin_ms` from when it *sent* the request, on its own monotonic clock. Any
//! two majorities share a guard, so two instances never hold the lease at once, whatever condition
//! either of them assumes of the other. Membership decides only which instance asks.

mod hand_over;
mod holding;
mod promises;
pub(crate) mod rank;

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::lease::LeaseMessage;
use hemlockrouter_wire::Message;

use crate::command::Command;
use crate::command::To;
use crate::config::Config;
use crate::ownership::holding::Holding;
use crate::ownership::promises::Promises;
use crate::ownership::rank::Candidate;
use crate::ownership::rank::Quorums;

/// How long ended promises are remembered, as a multiple of the lease time, so that late requests
/// can be distinguished from new ones.
const PROMISE_RETENTION_LEASES: u64 = 20;

/// Members of the own zone and the rights of this instance in it.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Whether this instance counts in quorums and may own upstreams.
    pub(crate) is_established: bool,
    /// Whether this instance may grant leases to others.
    pub(crate) may_grant: bool,
    /// Whether this instance is shutting down.
    pub(crate) is_leaving: bool,
    /// Members of the zone, this instance included.
    pub(crate) candidates: Vec<Candidate>,
}

impl View {
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
    me: InstanceId,
    zone: String,
    view: View,
    catalog: Arc<Catalog>,
    holdings: BTreeMap<UpstreamKey, Holding>,
    promises: Promises,
    round_at: Time,
    /// When renewals that were not answered are sent again.
    again_at: Time,
    asks: BTreeMap<InstanceId, Vec<UpstreamKey>>,
    releases: BTreeMap<InstanceId, Vec<UpstreamKey>>,
}

impl Ownership {
    pub(crate) fn new(config: Config, me: InstanceId, zone: String, now: Time) -> Ownership {
        Ownership {
            config,
            me,
            zone,
            view: View::default(),
            catalog: Arc::new(Catalog::default()),
            holdings: BTreeMap::new(),
            promises: Promises::default(),
            round_at: now,
            again_at: now,
            asks: BTreeMap::new(),
            releases: BTreeMap::new(),
        }
    }

    /// Returns how long the holder may rely on a grant after it sent the request, in milliseconds.
    fn held_ms(&self) -> u64 {
        self.config.lease_ms - self.config.margin_ms
    }

    pub(crate) fn lease_until(&self, upstream: UpstreamKey) -> Option<Time> {
        self.holdings.get(&upstream)?.until
    }

    /// Returns whether this instance holds no lease.
    pub(crate) fn is_empty(&self) -> bool {
        self.holdings
            .values()
            .all(|holding| holding.until.is_none())
    }

    /// Applies a new catalogue: gives up upstreams that are no longer in this zone and adds new
    /// ones.
    pub(crate) fn configure(&mut self, now: Time, catalog: Arc<Catalog>, out: &mut Vec<Command>) {
        self.catalog = catalog;
        let zone = self.catalog.find_zone(&self.zone);
        let mine: Vec<UpstreamKey> = self
            .catalog
            .upstreams
            .iter()
            .filter(|(_, upstream)| Some(upstream.zone) == zone)
            .map(|(key, _)| key)
            .collect();
        let gone: Vec<UpstreamKey> = self
            .holdings
            .keys()
            .filter(|key| mine.binary_search(key).is_err())
            .copied()
            .collect();
        for upstream in gone {
            self.give_up(now, upstream, "withdrawn", out);
            self.holdings.remove(&upstream);
        }
        for upstream in mine {
            self.holdings.entry(upstream).or_default();
        }
        self.rank(now, out);
        self.flush(now, out);
    }

    /// Applies a new view of the zone. If this instance is no longer established, it gives up all
    /// leases.
    pub(crate) fn see(&mut self, now: Time, view: View, out: &mut Vec<Command>) {
        let was_established = self.view.is_established;
        self.view = view;
        self.rank(now, out);
        if was_established && !self.view.is_established {
            self.give_up_all(now, "may have been removed from the zone", out);
        }
        self.flush(now, out);
    }

    fn rank(&mut self, now: Time, out: &mut Vec<Command>) {
        let candidates = &self.view.candidates;
        for (upstream, holding) in &mut self.holdings {
            holding.quorums = Quorums::new(*upstream, candidates);
            holding.preferred = rank::preferred(*upstream, candidates);
        }
        self.tick(now, out);
    }

    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        let upstreams: Vec<UpstreamKey> = self.holdings.keys().copied().collect();
        for upstream in upstreams {
            self.expire(now, upstream, out);
            self.seek(now, upstream, out);
        }
        self.renew(now, out);
        let remembered_ms = PROMISE_RETENTION_LEASES * self.config.lease_ms;
        self.promises.forget(now, remembered_ms);
        self.flush(now, out);
    }

    pub(crate) fn next_wake(&self) -> Time {
        let mut wake = self.round_at.min(self.again_at);
        for holding in self.holdings.values() {
            if let Some(until) = holding.until {
                wake = wake.min(until);
            }
            if holding.is_seeking {
                wake = wake.min(holding.ask_at);
            }
        }
        wake
    }

    fn expire(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        let until = self.lease_until(upstream);
        if until.is_some_and(|until| until <= now) {
            self.give_up(now, upstream, "lease ran out", out);
        }
    }

    /// Returns whether this instance is the preferred owner of an upstream and may own it.
    fn wants(&self, upstream: UpstreamKey) -> bool {
        self.view.is_established
            && !self.view.is_leaving
            && self.holdings[&upstream].preferred == Some(self.me)
            && self.is_zone_in_service()
    }

    fn is_zone_in_service(&self) -> bool {
        let zone = self.catalog.find_zone(&self.zone);
        zone.and_then(|zone| self.catalog.zones.get(zone))
            .is_some_and(|zone| zone.in_service)
    }

    /// Asks all guards of an upstream for their grants if this instance should own it and has no
    /// lease.
    fn seek(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        if self.holdings[&upstream].until.is_some() {
            return;
        }
        if !self.wants(upstream) {
            if self.holdings[&upstream].is_seeking {
                self.give_up(now, upstream, "another ranks higher", out);
            }
            return;
        }
        let again_ms = self.config.ask_again_ms;
        let promised_to = self.promises.holder(now, upstream);
        let holding = self
            .holdings
            .get_mut(&upstream)
            .expect("the upstream is known");
        if !holding.is_seeking {
            holding.is_seeking = true;
            holding.sought_at = now;
            holding.ask_at = now;
        }
        if holding.ask_at > now {
            return;
        }
        holding.ask_at = now + again_ms;
        holding.holder = promised_to.or(holding.holder);
        let mut asked = holding.quorums.members();
        asked.extend(holding.holder.filter(|holder| !asked.contains(holder)));
        for guard in asked {
            self.ask(guard, upstream);
        }
        self.extend(now, upstream, out);
    }

    fn ask(&mut self, guard: InstanceId, upstream: UpstreamKey) {
        if guard != self.me {
            self.asks.entry(guard).or_default().push(upstream);
        }
    }

    /// Renews all leases once in each renewal interval. The first attempt asks one guard for each
    /// upstream where that is enough, and later attempts ask all guards of the leases that were not
    /// renewed yet.
    fn renew(&mut self, now: Time, out: &mut Vec<Command>) {
        let is_round = now >= self.round_at;
        if !is_round && now < self.again_at {
            return;
        }
        if is_round {
            self.round_at = now + self.config.renew_every_ms;
        }
        self.again_at = now + self.config.ask_again_ms;
        let round_began_at = self.round_at.before(self.config.renew_every_ms);
        let renewed_until = round_began_at + self.held_ms();
        let due: Vec<UpstreamKey> = self
            .holdings
            .iter()
            .filter(|(_, holding)| holding.until.is_some_and(|until| until < renewed_until))
            .map(|(upstream, _)| *upstream)
            .collect();
        if due.is_empty() && !is_round {
            self.again_at = self.round_at;
        }
        let popular = self.popular_guards(&due);
        for upstream in due {
            let guards = self.guards_to_renew(upstream, is_round, &popular);
            for guard in guards {
                self.ask(guard, upstream);
            }
            self.extend(now, upstream, out);
        }
    }

    /// Counts how many of the upstreams each guard votes on, so that renewals can be sent to as few
    /// guards as possible.
    fn popular_guards(&self, due: &[UpstreamKey]) -> BTreeMap<InstanceId, usize> {
        let mut counts = BTreeMap::new();
        for upstream in due {
            for id in self.holdings[upstream].quorums.members() {
                *counts.entry(id).or_default() += 1;
            }
        }
        counts
    }

    fn guards_to_renew(
        &self,
        upstream: UpstreamKey,
        is_round: bool,
        popular: &BTreeMap<InstanceId, usize>,
    ) -> Vec<InstanceId> {
        let quorums = &self.holdings[&upstream].quorums;
        let mut guards = quorums.members();
        let is_guard = guards.contains(&self.me);
        guards.retain(|id| *id != self.me);
        if !is_round || !quorums.is_simple() || !is_guard {
            return guards;
        }
        guards.retain(|id| {
            self.view
                .candidates
                .iter()
                .any(|candidate| candidate.id == *id && candidate.is_living)
        });
        guards.sort_by_key(|id| std::cmp::Reverse((popular.get(id).copied(), *id)));
        guards.truncate(1);
        guards
    }

    /// Extends the lease, or acquires it, if the grants are sufficient.
    fn extend(&mut self, now: Time, upstream: UpstreamKey, out: &mut Vec<Command>) {
        let held_ms = self.held_ms();
        let me = self.me;
        // This instance may vote for itself only while it has promised the upstream to no other
        // instance.
        let grants_itself = self.promises.holder(now, upstream).is_none();
        let Some(holding) = self.holdings.get_mut(&upstream) else {
            return;
        };
        let end = holding.lease_end(now, me, grants_itself, held_ms);
        if end <= now || holding.until.is_some_and(|until| until >= end) {
            return;
        }
        let is_new = holding.until.is_none();
        holding.until = Some(end);
        holding.is_seeking = false;
        let took_ms = now.since(holding.sought_at);
        out.push(Command::Hold {
            upstream,
            until: end,
        });
        if is_new {
            let passed_over = holding.holder.take();
            let decision = Decision {
                what: "take_over",
                subject: upstream.to_string(),
                chosen: me.to_string(),
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
        why: &'static str,
        out: &mut Vec<Command>,
    ) {
        let Some(holding) = self.holdings.get_mut(&upstream) else {
            return;
        };
        let was_held = holding.until.is_some();
        if !was_held && !holding.is_seeking {
            return;
        }
        holding.give_up(now);
        let guards = holding.quorums.members();
        let preferred = holding.preferred;
        for guard in guards.into_iter().chain(preferred) {
            let returned = self.releases.entry(guard).or_default();
            if guard != self.me && !returned.contains(&upstream) {
                returned.push(upstream);
            }
        }
        if !was_held {
            return;
        }
        out.push(Command::Drop { upstream });
        let decision = Decision {
            what: "give_up",
            subject: upstream.to_string(),
            chosen: preferred.map_or_else(String::new, |id| id.to_string()),
            passed_over: self.me.to_string(),
            why: why.into(),
            took_ms: 0,
        };
        out.push(Command::Decision(decision));
    }

    fn give_up_all(&mut self, now: Time, why: &'static str, out: &mut Vec<Command>) {
        let upstreams: Vec<UpstreamKey> = self.holdings.keys().copied().collect();
        for upstream in upstreams {
            self.give_up(now, upstream, why, out);
        }
    }

    /// Sends the queued releases and requests, as one message for each peer and kind.
    fn flush(&mut self, now: Time, out: &mut Vec<Command>) {
        let config = self.catalog.number;
        for (to, upstreams) in std::mem::take(&mut self.releases) {
            if to == self.me || upstreams.is_empty() {
                continue;
            }
            let release = LeaseMessage::Release {
                sent_at: now,
                config,
                upstreams,
            };
            send(to, release, out);
        }
        for (to, upstreams) in std::mem::take(&mut self.asks) {
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
        to: To::Instance(to),
        message: Message::Lease(message),
    });
}
