//! State of the ownership of one upstream of the own zone.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

use crate::ownership::rank::Quorums;

/// Ownership of one upstream: its quorums, its preferred owner, and the lease if this instance
/// holds it.
#[derive(Debug, Default)]
pub(crate) struct LeaseState {
    pub(crate) quorums: Quorums,
    pub(crate) preferred_owner: Option<InstanceId>,
    /// End of the lease, if this instance holds it.
    pub(crate) held_until: Option<Time>,
    /// Whether this instance is asking for grants and has no lease yet.
    pub(crate) is_seeking: bool,
    /// When this instance began to ask for grants.
    pub(crate) seeking_since: Time,
    /// When the guards are asked next while there is no lease yet.
    pub(crate) next_request_at: Time,
    /// Instance that a guard named as the holder of the lease.
    pub(crate) reported_holder: Option<InstanceId>,
    /// When the last granted request was sent to each guard, by this instance's clock.
    grant_sent_at: BTreeMap<InstanceId, Time>,
    /// Answers to requests that were sent at or before this instant are ignored.
    ignored_until: Option<Time>,
}

impl LeaseState {
    /// Records a grant for a request that was sent at `sent_at`. Returns whether the grant counts.
    pub(crate) fn grant(&mut self, from: InstanceId, sent_at: Time) -> bool {
        let is_ignored = self.ignored_until.is_some_and(|until| sent_at <= until);
        if is_ignored || (self.held_until.is_none() && !self.is_seeking) {
            return false;
        }
        let last = self.grant_sent_at.entry(from).or_insert(sent_at);
        *last = (*last).max(sent_at);
        true
    }

    /// Returns the end of the lease that the grants of a quorum add up to. The own vote of this
    /// instance is included if `may_vote_for_itself` is set, since an instance that asks for or
    /// holds a lease promises the upstream to no other one.
    pub(crate) fn lease_end(
        &self,
        now: Time,
        own_id: InstanceId,
        may_vote_for_itself: bool,
        lease_ms: u64,
    ) -> Time {
        let end = self.quorums.majority_until(|id| {
            if id == own_id {
                return if may_vote_for_itself {
                    Time::MAX
                } else {
                    Time::ZERO
                };
            }
            match self.grant_sent_at.get(&id) {
                Some(sent_at) => *sent_at + lease_ms,
                None => Time::ZERO,
            }
        });
        end.min(now + lease_ms)
    }

    /// Gives up the lease. Earlier grants and answers in flight no longer count.
    pub(crate) fn give_up(&mut self, now: Time) {
        self.held_until = None;
        self.is_seeking = false;
        self.reported_holder = None;
        self.grant_sent_at.clear();
        self.ignored_until = Some(now);
    }
}
