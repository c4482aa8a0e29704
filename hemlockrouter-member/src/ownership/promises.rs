//! Promises of this instance to grant other instances the leases on upstreams.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

/// Promises of this instance, each of which lasts until an instant: it neither owns the upstream
/// nor promises it to another instance.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    by_upstream: BTreeMap<UpstreamKey, Promise>,
}

#[derive(Clone, Copy, Debug)]
struct Promise {
    to: InstanceId,
    /// Time on the clock of the instance that received the promise when it asked for it or gave it
    /// back.
    asked_at: Time,
    until: Time,
}

impl Promises {
    /// Returns the instance to which `upstream` is promised.
    pub(crate) fn holder(&self, now: Time, upstream: UpstreamKey) -> Option<InstanceId> {
        let promise = self.by_upstream.get(&upstream)?;
        (promise.until > now).then_some(promise.to)
    }

    /// Promises `upstream` to `to`, which asked for it at `asked_at` on its own clock. Returns
    /// whether the promise was made: it is not if `to` has given it back after that request.
    ///
    /// # Panics
    ///
    /// Panics if the upstream is promised to another instance.
    pub(crate) fn promise(
        &mut self,
        now: Time,
        upstream: UpstreamKey,
        to: InstanceId,
        asked_at: Time,
        lease_ms: u64,
    ) -> bool {
        let holder = self.holder(now, upstream);
        assert!(
            holder.is_none_or(|holder| holder == to),
            "an upstream is promised to one instance at a time"
        );
        let previous = self
            .by_upstream
            .get(&upstream)
            .filter(|previous| previous.to == to);
        let earlier_asked_at = previous.map_or(Time::ZERO, |previous| previous.asked_at);
        let was_returned = previous.is_some_and(|previous| previous.until <= now);
        if was_returned && asked_at <= earlier_asked_at {
            return false;
        }
        let until = now + lease_ms;
        let asked_at = asked_at.max(earlier_asked_at);
        let promise = Promise {
            to,
            asked_at,
            until,
        };
        self.by_upstream.insert(upstream, promise);
        true
    }

    /// Ends a promise that `from` gave back at `sent_at` on its own clock, unless `from` has asked
    /// for it again since. Returns whether the upstream is not promised to any instance now.
    pub(crate) fn end_promise(
        &mut self,
        now: Time,
        upstream: UpstreamKey,
        from: InstanceId,
        sent_at: Time,
    ) -> bool {
        let Some(promise) = self.by_upstream.get_mut(&upstream) else {
            let promise = Promise {
                to: from,
                asked_at: sent_at,
                until: now,
            };
            self.by_upstream.insert(upstream, promise);
            return true;
        };
        if promise.to != from {
            return promise.until <= now;
        }
        if promise.asked_at > sent_at {
            return false;
        }
        promise.asked_at = sent_at;
        promise.until = promise.until.min(now);
        true
    }

    /// Forgets the promises that ended at least `after_ms` milliseconds ago.
    pub(crate) fn forget_ended(&mut self, now: Time, after_ms: u64) {
        self.by_upstream
            .retain(|_, promise| now.ms_since(promise.until) < after_ms);
    }
}
