//! One upstream of the own zone, as this instance sees its ownership.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

use crate::ownership::rank::Quorums;

/// One upstream: who should own it, and the lease if this instance holds it.
#[derive(Debug, Default)]
pub(crate) struct Holding {
    pub(crate) quorums: Quorums,
    pub(crate) preferred: Option<InstanceId>,
    /// The end of the lease that is held.
    pub(crate) until: Option<Time>,
    /// Whether grants are being sought, without a lease yet.
    pub(crate) is_seeking: bool,
    /// When seeking began.
    pub(crate) sought_at: Time,
    /// When the next ask is due while seeking.
    pub(crate) ask_at: Time,
    /// An instance that others named as the holder.
    pub(crate) holder: Option<InstanceId>,
    /// When each guard was asked for its last grant, by this instance's clock.
    granted: BTreeMap<InstanceId, Time>,
    /// Answers to asks that were sent up to here are void.
    void_until: Option<Time>,
}

impl Holding {
    /// Takes in a grant that was asked for at `sent_at`. Returns whether it counts.
    pub(crate) fn grant(&mut self, from: InstanceId, sent_at: Time) -> bool {
        let is_void = self.void_until.is_some_and(|until| sent_at <= until);
        if is_void || (self.until.is_none() && !self.is_seeking) {
            return false;
        }
        let last = self.granted.entry(from).or_insert(sent_at);
        *last = (*last).max(sent_at);
        true
    }

    /// Returns the end of the lease that the grants make up. The instance itself counts as granted
    /// if it `grants_itself`: while it asks or holds, it promises the upstream to nobody.
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

    /// Gives up: earlier grants and answers under way are void.
    pub(crate) fn give_up(&mut self, now: Time) {
        self.until = None;
        self.is_seeking = false;
        self.holder = None;
        self.granted.clear();
        self.void_until = Some(now);
    }
}
