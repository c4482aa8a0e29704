//! Lease requests, answers and releases: how a lease passes from one instance to another.
//!
//! When a higher-ranked established member asks the holder of a lease for a grant, the holder first
//! stops dispatching, then returns its promises, and only then grants. A guard that has promised
//! the upstream to a third instance names that instance in its refusal, so that the asking instance
//! can ask it directly.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::lease::LeaseMessage;
use hemlockrouter_wire::lease::Refused;

use crate::command::Command;
use crate::ownership::rank;
use crate::ownership::send;
use crate::ownership::Ownership;

impl Ownership {
    pub(crate) fn receive(
        &mut self,
        now: Time,
        from: InstanceId,
        message: LeaseMessage,
        out: &mut Vec<Command>,
    ) {
        match message {
            LeaseMessage::Ask {
                sent_at, upstreams, ..
            } => self.asked(now, from, sent_at, &upstreams, out),
            LeaseMessage::Answer {
                sent_at,
                granted,
                refused,
                ..
            } => self.answered(now, from, sent_at, &granted, &refused, out),
            LeaseMessage::Release {
                sent_at, upstreams, ..
            } => self.released(now, from, sent_at, &upstreams, out),
        }
        self.flush(now, out);
    }

    fn asked(
        &mut self,
        now: Time,
        from: InstanceId,
        sent_at: Time,
        upstreams: &[UpstreamKey],
        out: &mut Vec<Command>,
    ) {
        // No quorum counts an instance that was removed, so the instance has to join again.
        if !self.view.may_grant || !self.view.contains(from) {
            return;
        }
        let mut granted = Vec::new();
        let mut refused = Vec::new();
        for &upstream in upstreams {
            match self.obstacle(now, from, upstream, out) {
                Some(holder) => refused.push(Refused { upstream, holder }),
                None => {
                    let lease_ms = self.config.lease_ms;
                    if self.promises.give(now, upstream, from, sent_at, lease_ms) {
                        granted.push(upstream);
                    }
                }
            }
        }
        // Leases given up for the asking instance are released before they are promised again.
        self.flush(now, out);
        let answer = LeaseMessage::Answer {
            sent_at,
            config: self.catalog.number,
            granted,
            refused,
        };
        send(from, answer, out);
    }

    /// Returns the instance that prevents a promise of `upstream` to `from`, if there is one. If
    /// `from` ranks higher and is established, this instance gives up its own lease or its attempt
    /// to get one.
    fn obstacle(
        &mut self,
        now: Time,
        from: InstanceId,
        upstream: UpstreamKey,
        out: &mut Vec<Command>,
    ) -> Option<InstanceId> {
        let holder = self.promises.holder(now, upstream);
        if holder.is_some_and(|holder| holder != from) {
            return holder;
        }
        let holding = self.holdings.get(&upstream)?;
        if holding.until.is_none() && !holding.is_seeking {
            return None;
        }
        let is_higher = self.view.is_leaving || rank::is_before(upstream, from, self.me);
        if !is_higher || !self.view.is_established(from) {
            return Some(self.me);
        }
        self.give_up(now, upstream, "handed over", out);
        None
    }

    fn answered(
        &mut self,
        now: Time,
        from: InstanceId,
        sent_at: Time,
        granted: &[UpstreamKey],
        refused: &[Refused],
        out: &mut Vec<Command>,
    ) {
        for &upstream in granted {
            let Some(holding) = self.holdings.get_mut(&upstream) else {
                continue;
            };
            if holding.grant(from, sent_at) {
                self.extend(now, upstream, out);
            }
        }
        for refusal in refused {
            self.refused(from, *refusal);
        }
    }

    /// Handles the refusal of a grant by asking the holder that it names, once for each holder.
    fn refused(&mut self, from: InstanceId, refusal: Refused) {
        let me = self.me;
        let Some(holding) = self.holdings.get_mut(&refusal.upstream) else {
            return;
        };
        let holder = refusal.holder;
        if !holding.is_seeking || holder == me {
            return;
        }
        let is_known = holding.holder == Some(holder) || holder == from;
        holding.holder = Some(holder);
        if !is_known {
            self.ask(holder, refusal.upstream);
        }
    }

    fn released(
        &mut self,
        now: Time,
        from: InstanceId,
        sent_at: Time,
        upstreams: &[UpstreamKey],
        out: &mut Vec<Command>,
    ) {
        for &upstream in upstreams {
            self.promises.take_back(now, upstream, from, sent_at);
            let Some(holding) = self.holdings.get_mut(&upstream) else {
                continue;
            };
            holding.ask_at = now;
            self.seek(now, upstream, out);
        }
    }

    /// Returns the preferred owners of the upstreams that this instance holds, without itself.
    pub(crate) fn successors(&self) -> Vec<InstanceId> {
        let held = self.holdings.values().filter(|held| held.until.is_some());
        let mut successors: Vec<InstanceId> = held.filter_map(|held| held.preferred).collect();
        successors.sort();
        successors.dedup();
        successors.retain(|id| *id != self.me);
        successors
    }

    /// Gives up the upstreams that no other instance can own, because this instance leaves.
    pub(crate) fn leave(&mut self, now: Time, out: &mut Vec<Command>) {
        let me = self.me;
        let orphans: Vec<UpstreamKey> = self
            .holdings
            .iter()
            .filter(|(_, holding)| holding.preferred.is_none_or(|id| id == me))
            .map(|(upstream, _)| *upstream)
            .collect();
        for upstream in orphans {
            self.give_up(now, upstream, "leaving, and nobody else lives", out);
        }
        self.flush(now, out);
    }

    /// Gives up all upstreams, because no other instance took them over in time.
    pub(crate) fn abandon(&mut self, now: Time, out: &mut Vec<Command>) {
        self.give_up_all(now, "leaving, and not taken over in time", out);
        self.flush(now, out);
    }
}
