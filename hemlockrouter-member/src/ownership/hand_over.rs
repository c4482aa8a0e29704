//! Lease requests, answers and releases: how a lease passes from one instance to another.
//!
//! When a higher-ranked established member asks the holder of a lease for a grant, the holder first
//! stops dispatching, then returns its promises, and only then grants. A guard that has promised
//! the upstream to a third instance names that instance in its refusal, so that the asking instance
//! can ask it directly.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::lease::LeaseMessage;
use hemlockrouter_wire::lease::LeaseRefusal;

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
            } => self.handle_ask(now, from, sent_at, &upstreams, out),
            LeaseMessage::Answer {
                sent_at,
                granted,
                refused,
                ..
            } => self.handle_answer(now, from, sent_at, &granted, &refused, out),
            LeaseMessage::Release {
                sent_at, upstreams, ..
            } => self.handle_release(now, from, sent_at, &upstreams, out),
        }
        self.send_queued(now, out);
    }

    fn handle_ask(
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
            match self.yield_or_find_holder(now, from, upstream, out) {
                Some(holder) => refused.push(LeaseRefusal { upstream, holder }),
                None => {
                    let lease_ms = self.config.lease_ms;
                    if self
                        .promises
                        .promise(now, upstream, from, sent_at, lease_ms)
                    {
                        granted.push(upstream);
                    }
                }
            }
        }
        // Leases given up for the asking instance are released before they are promised again.
        self.send_queued(now, out);
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
    fn yield_or_find_holder(
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
        let lease = self.leases.get(&upstream)?;
        if lease.held_until.is_none() && !lease.is_seeking {
            return None;
        }
        let may_take_over = self.view.is_leaving || rank::ranks_before(upstream, from, self.own_id);
        if !may_take_over || !self.view.is_established(from) {
            return Some(self.own_id);
        }
        self.give_up(now, upstream, "handed over", out);
        None
    }

    fn handle_answer(
        &mut self,
        now: Time,
        from: InstanceId,
        sent_at: Time,
        granted: &[UpstreamKey],
        refused: &[LeaseRefusal],
        out: &mut Vec<Command>,
    ) {
        for &upstream in granted {
            let Some(lease) = self.leases.get_mut(&upstream) else {
                continue;
            };
            if lease.grant(from, sent_at) {
                self.extend_or_acquire(now, upstream, out);
            }
        }
        for refusal in refused {
            self.handle_refusal(from, *refusal);
        }
    }

    /// Handles the refusal of a grant by asking the holder that it names, once for each holder.
    fn handle_refusal(&mut self, from: InstanceId, refusal: LeaseRefusal) {
        let own_id = self.own_id;
        let Some(lease) = self.leases.get_mut(&refusal.upstream) else {
            return;
        };
        let holder = refusal.holder;
        if !lease.is_seeking || holder == own_id {
            return;
        }
        let is_known = lease.reported_holder == Some(holder) || holder == from;
        lease.reported_holder = Some(holder);
        if !is_known {
            self.queue_request(holder, refusal.upstream);
        }
    }

    fn handle_release(
        &mut self,
        now: Time,
        from: InstanceId,
        sent_at: Time,
        upstreams: &[UpstreamKey],
        out: &mut Vec<Command>,
    ) {
        for &upstream in upstreams {
            self.promises.end_promise(now, upstream, from, sent_at);
            let Some(lease) = self.leases.get_mut(&upstream) else {
                continue;
            };
            lease.next_request_at = now;
            self.request_lease(now, upstream, out);
        }
    }

    /// Returns the preferred owners of the upstreams that this instance holds, without itself.
    pub(crate) fn successors(&self) -> Vec<InstanceId> {
        let held = self
            .leases
            .values()
            .filter(|held| held.held_until.is_some());
        let mut successors: Vec<InstanceId> =
            held.filter_map(|held| held.preferred_owner).collect();
        successors.sort();
        successors.dedup();
        successors.retain(|id| *id != self.own_id);
        successors
    }

    /// Gives up the upstreams that no other instance can own, because this instance leaves.
    pub(crate) fn give_up_without_successor(&mut self, now: Time, out: &mut Vec<Command>) {
        let own_id = self.own_id;
        let without_successor: Vec<UpstreamKey> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.preferred_owner.is_none_or(|id| id == own_id))
            .map(|(upstream, _)| *upstream)
            .collect();
        for upstream in without_successor {
            self.give_up(
                now,
                upstream,
                "shutting down, and no other instance is alive",
                out,
            );
        }
        self.send_queued(now, out);
    }

    /// Gives up all upstreams, because no other instance took them over in time.
    pub(crate) fn give_up_remaining(&mut self, now: Time, out: &mut Vec<Command>) {
        self.give_up_all(now, "shutting down, and not taken over in time", out);
        self.send_queued(now, out);
    }
}
