//! Which upstreams leave or want a rest.

use hemlockrouter_types::prelude::*;

use super::Upstream;
use super::Upstreams;
use crate::direct::event::Notice;
use crate::direct::event::PeerNotice;

impl Upstreams {
    /// Takes over what an upstream says of itself, and returns whether it is news.
    pub(in crate::direct) fn take_notice(
        &mut self,
        now: Time,
        key: UpstreamKey,
        notice: &Notice,
    ) -> bool {
        let upstream = self.upstreams.get_mut(key);
        upstream.is_some_and(|upstream| upstream.said.take(now, notice))
    }

    /// Returns what another instance has to know of an upstream; `None` if it has said nothing.
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

    /// Returns the upstream that another instance has heard of, if it has not started again since.
    pub(in crate::direct) fn key_of(&self, notice: &PeerNotice) -> Option<UpstreamKey> {
        let key = self.key(&notice.upstream)?;
        let upstream = self.get(key)?;
        (upstream.entry.incarnation == notice.incarnation).then_some(key)
    }

    /// Returns when the first upstream of a service wants requests again, in milliseconds from now; 0
    /// if one wants them now.
    pub(in crate::direct) fn rest_ms(&self, now: Time, service: ServiceKey) -> u64 {
        let service = self.services.get(service);
        let keys = service.into_iter().flat_map(|service| &service.upstreams);
        let rests = keys.filter_map(|key| self.get(*key).map(|one| one.said.rest_ms(now)));
        rests.min().unwrap_or(0)
    }
}

impl Upstream {
    /// Returns since when it is known to leave, or to be missing from the registry.
    pub(super) fn leaving_since(&self) -> Option<Time> {
        let said = self.said.leaving_since();
        match (said, self.leaving_since) {
            (Some(said), Some(registered)) => Some(said.min(registered)),
            (said, registered) => said.or(registered),
        }
    }
}
