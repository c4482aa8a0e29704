//! Applies the notices by which upstreams announce a shutdown or ask for a pause.

use hemlockrouter_types::prelude::*;

use super::Upstream;
use super::Upstreams;
use crate::direct::event::Notice;
use crate::direct::event::PeerNotice;

impl Upstreams {
    /// Records a notice from an upstream, and returns whether the notice is new.
    pub(in crate::direct) fn record_notice(
        &mut self,
        now: Time,
        key: UpstreamKey,
        notice: &Notice,
    ) -> bool {
        let upstream = self.upstreams.get_mut(key);
        upstream.is_some_and(|upstream| upstream.announced.record(now, notice))
    }

    /// Returns the notice about an upstream to be passed on to another instance; `None` if the
    /// upstream has announced nothing.
    pub(in crate::direct) fn peer_notice(&self, now: Time, key: UpstreamKey) -> Option<PeerNotice> {
        let upstream = self.get(key)?;
        let notice = PeerNotice {
            upstream: upstream.entry.id.clone(),
            incarnation: upstream.entry.incarnation,
            leaving: upstream.announced.leaving_since().is_some(),
            rest_ms: upstream.announced.pause_left_ms(now),
        };
        (notice.leaving || notice.rest_ms > 0).then_some(notice)
    }

    /// Returns the upstream that another instance's notice refers to, unless the upstream has
    /// restarted since.
    pub(in crate::direct) fn upstream_of_notice(&self, notice: &PeerNotice) -> Option<UpstreamKey> {
        let key = self.key_by_id(&notice.upstream)?;
        let upstream = self.get(key)?;
        (upstream.entry.incarnation == notice.incarnation).then_some(key)
    }

    /// Returns the time until the first upstream of a service accepts requests again after the
    /// pauses that upstreams asked for, in milliseconds; 0 if one accepts requests now.
    pub(in crate::direct) fn pause_left_ms(&self, now: Time, service: ServiceKey) -> u64 {
        let service = self.services.get(service);
        let keys = service.into_iter().flat_map(|service| &service.upstreams);
        let pauses_left_ms = keys.filter_map(|key| {
            self.get(*key)
                .map(|upstream| upstream.announced.pause_left_ms(now))
        });
        pauses_left_ms.min().unwrap_or(0)
    }
}

impl Upstream {
    /// Returns when the upstream was first known to be shutting down or to be missing from the
    /// registry.
    pub(super) fn leaving_since(&self) -> Option<Time> {
        let announced_at = self.announced.leaving_since();
        match (announced_at, self.leaving_since) {
            (Some(announced_at), Some(registry_leaving_since)) => {
                Some(announced_at.min(registry_leaving_since))
            }
            (announced_at, registry_leaving_since) => announced_at.or(registry_leaving_since),
        }
    }
}
