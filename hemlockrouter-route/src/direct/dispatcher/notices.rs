//! What upstreams say of themselves, and who has to know.
//!
//! An instance that collects for another one tells it as well, before the answer itself: both pass the
//! answer on, and the other one chooses which upstreams may be asked.

use hemlockrouter_types::prelude::*;

use super::Dispatcher;
use crate::direct::event::CallId;
use crate::direct::event::Collected;
use crate::direct::event::Command;
use crate::direct::event::Notice;
use crate::direct::event::PeerNotice;
use crate::direct::request::AnswerTo;
use crate::direct::request::Request;

impl Dispatcher {
    /// Takes over what an upstream says of itself beside the answer to a call, and returns whether it is
    /// news. The call may have been given up meanwhile.
    pub fn noticed(
        &mut self,
        now: Time,
        call: CallId,
        upstream: UpstreamKey,
        notice: &Notice,
        out: &mut Vec<Command>,
    ) -> bool {
        let is_news = self.upstreams.take_notice(now, upstream, notice);
        let Some(id) = self.calls.get(&call).map(|call| call.request) else {
            return is_news;
        };
        let request = self.requests.get(&id);
        if request.is_none_or(|request| request.answer_to == AnswerTo::Caller) {
            return is_news;
        }
        let notices: Vec<PeerNotice> = self
            .upstreams
            .peer_notice(now, upstream)
            .into_iter()
            .collect();
        if !notices.is_empty() {
            let collected = Collected {
                notices,
                ..Collected::default()
            };
            out.push(Command::Report {
                request: id,
                collected,
            });
        }
        is_news
    }

    /// Takes over what another instance has heard of upstreams.
    pub(super) fn hear(&mut self, now: Time, notices: &[PeerNotice]) {
        for heard in notices {
            let Some(key) = self.upstreams.key_of(heard) else {
                continue;
            };
            let notice = Notice {
                leaving: heard.leaving,
                rest_ms: heard.rest_ms,
                unreadable: None,
            };
            self.upstreams.take_notice(now, key, &notice);
        }
    }

    /// Returns what is known of the upstreams that parts of a batch might have gone to.
    pub(super) fn notices_of_unsent(
        &self,
        now: Time,
        request: &Request,
        unsent: &[usize],
    ) -> Vec<PeerNotice> {
        let parts = unsent.iter().map(|at| &request.parts[*at]);
        let keys = parts.flat_map(|part| part.allowed.iter().flatten());
        keys.filter_map(|key| self.upstreams.peer_notice(now, *key))
            .collect()
    }
}
