//! State of the ownership of one upstream of the own zone.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

use crate::ownership::rank::Quorums;

/// Ownership of one upstream: its quorums, its preferred owner, and the lease if this instance
/// holds it.
#[derive(Debug, Default)]
pub(crate) struct Holding {
    pub(crate) quorums: Quorums,
    pub(crate) preferred: Option<InstanceId>,
    /// End of the lease, if this instance holds it.
    pub(crate) until: Option<Time>,
    /// Whether this instance is asking for grants and has no lease yet.
    pub(crate) is_seeking: bool,
    /// When this instance began to ask for grants.
    pub(crate) sought_at: Time,
    /// When the guards are asked next while there is no lease yet.
    pub(crate) ask_at: Time,
    /// Instance that a guard named as the holder of the lease.
    pub(crate) holder: Option<InstanceId>,
    /// When the last granted request was sent to each guard, by this instance's clock.
    granted: BTreeMap<InstanceId, Time>,
    /// Answers to requests that were sent at or before this instant are ignored.
    void_until: Option<Time>,
}

impl Holding {
    /// Records a grant for a request that was sent at `sent_at`. Returns whether the grant counts.
    pub(crate) fn grant(&mut self, from: InstanceId, sent_at: Time) -> bool {
        let is_void = self.void_until.is_some_and(|until| sent_at <= until);
        if is_void || (self.until.is_none() && !self.is_seeking) {
            return false;
        }
        let last = self.granted.entry(from).or_insert(sent_at);
        *last = (*last).max(sent_at);
        true
    }

    /// Returns the end of the lease that the grants of a quorum add up to. The own vote of this
    /// instance is included if `grants_itself` is set, since an instance that asks for or holds a
    /// lease promises the upstream to no other one.
    pub(crate) fn lease_end(
        &self,
        now: Time,
        me: InstanceId,
        grants_itself: bool,
        lease_ms: u64,
    ) -> Time {
        let end = self.quorums.end(|id| {
            if id == me {
                return if grants_itself { Time::MAX } else { Time::ZERO };
            }
            match self.granted.get(&id) {
                Some(sent_at) => *sent_at + lease_ms,
                None => Time::ZERO,
            }
        });
        end.min(now + lease_ms)
    }

    /// Gives up the lease. Earlier grants and answers in flight no longer count.
    pub(crate) fn give_up(&mut self, now: Time) {
        self.until = None;
        self.is_seeking = false;
        self.holder = None;
        self.granted.clear();
        self.void_until = Some(now);
    }
}
