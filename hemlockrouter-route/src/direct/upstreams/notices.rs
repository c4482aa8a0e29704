//! Applies the notices by which upstreams announce a shutdown or ask for a pause.

use hemlockrouter_types::prelude::*;

use super::Upstream;
use super::Upstreams;
use crate::direct::event::Notice;
use crate::direct::event::PeerNotice;

impl Upstreams {
    /// Records a notice from an upstream, and returns whether the notice is new.
    pub(in crate::direct) fn take_notice(
        &mut self,
        now: Time,
        key: UpstreamKey,
        notice: &Notice,
    ) -> bool {
        let upstream = self.upstreams.get_mut(key);
        upstream.is_some_and(|upstream| upstream.said.take(now, notice))
    }

    /// Returns the notice about an upstream to be passed on to another instance; `None` if the
    /// upstream has announced nothing.
    pub(in crate::direct) fn peer_notice(&self, now: Time, key: UpstreamKey) -> Option<PeerNotice> {
        let upstream = self.get(key)?;
        let notice = PeerNotice {
            upstream: upstream.entry.id.clone(),
            incarnation: upstream.entry.incarnation,
            leaving: upstream.said.leaving_since().is_some(),
            rest_ms: upstream.said.rest_ms(now),
        };
        (notice.leaving || notice.rest_ms > 0).then_some(notice)
    }

    /// Returns the upstream that another instance's notice refers to, unless the upstream has
    /// restarted since.
    pub(in crate::direct) fn key_of(&self, notice: &PeerNotice) -> Option<UpstreamKey> {
        let key = self.key(&notice.upstream)?;
        let upstream = self.get(key)?;
        (upstream.entry.incarnation == notice.incarnation).then_some(key)
    }

    /// Returns the time until the first upstream of a service accepts requests again after the
    /// pauses that upstreams asked for, in milliseconds; 0 if one accepts requests now.
    pub(in crate::direct) fn rest_ms(&self, now: Time, service: ServiceKey) -> u64 {
        let service = self.services.get(service);
        let keys = service.into_iter().flat_map(|service| &service.upstreams);
        let rests = keys.filter_map(|key| self.get(*key).map(|one| one.said.rest_ms(now)));
        rests.min().unwrap_or(0)
    }
}

impl Upstream {
    /// Returns when the upstream was first known to be shutting down or to be missing from the
    /// registry.
    pub(super) fn leaving_since(&self) -> Option<Time> {
        let said = self.said.leaving_since();
        match (said, self.leaving_since) {
            (Some(said), Some(registered)) => Some(said.min(registered)),
            (said, registered) => said.or(registered),
        }
    }
}
