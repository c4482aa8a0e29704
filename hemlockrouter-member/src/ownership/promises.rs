//! What this instance has promised to others.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;

/// Promises not to own an upstream and not to promise it to another, until an instant.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    given: BTreeMap<UpstreamKey, Promise>,
}

#[derive(Clone, Copy, Debug)]
struct Promise {
    to: InstanceId,
    /// The asker's clock when it asked, or when it gave the promise back.
    asked_at: Time,
    until: Time,
}

impl Promises {
    /// Returns to whom `upstream` is promised.
    pub(crate) fn holder(&self, now: Time, upstream: UpstreamKey) -> Option<InstanceId> {
        let promise = self.given.get(&upstream)?;
        (promise.until > now).then_some(promise.to)
    }

    /// Promises `upstream` to `to`, which asked at `asked_at` by its own clock. Returns whether the
    /// promise is given: not if `to` has given it back after it asked.
    ///
    /// # Panics
    ///
    /// Panics if the upstream is promised to another.
    pub(crate) fn give(
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
        let earlier = self.given.get(&upstream).filter(|given| given.to == to);
        let earlier_asked_at = earlier.map_or(Time::ZERO, |given| given.asked_at);
        let was_returned = earlier.is_some_and(|given| given.until <= now);
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
        self.given.insert(upstream, promise);
        true
    }

    /// Takes a promise back that `from` returned at `sent_at` by its own clock, unless it asked
    /// again since. Returns whether the upstream is free now.
    pub(crate) fn take_back(
        &mut self,
        now: Time,
        upstream: UpstreamKey,
        from: InstanceId,
        sent_at: Time,
    ) -> bool {
        let Some(promise) = self.given.get_mut(&upstream) else {
            let promise = Promise {
                to: from,
                asked_at: sent_at,
                until: now,
            };
            self.given.insert(upstream, promise);
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

    /// Forgets promises that ended long ago.
    pub(crate) fn forget(&mut self, now: Time, after_ms: u64) {
        self.given
            .retain(|_, promise| now.since(promise.until) < after_ms);
    }
}
