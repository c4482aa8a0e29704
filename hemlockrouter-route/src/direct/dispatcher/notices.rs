//! Handles the notices by which upstreams announce a shutdown or ask for a pause.
//!
//! An instance that collects parts for another instance forwards each notice before the answer that
//! came with it: the receiving instance handles notices the same way, and decides which upstreams
//! may be used.

use hemlockrouter_types::prelude::*;

use super::Dispatcher;
use crate::direct::event::BatchReport;
use crate::direct::event::CallId;
use crate::direct::event::Command;
use crate::direct::event::Notice;
use crate::direct::event::PeerNotice;
use crate::direct::request::AnswerTo;
use crate::direct::request::Request;

impl Dispatcher {
    /// Records a notice that came with the answer to a call, and returns whether the notice is new.
    /// The call may have been dropped in the meantime.
    pub fn handle_notice(
        &mut self,
        now: Time,
        call: CallId,
        upstream: UpstreamKey,
        notice: &Notice,
        commands: &mut Vec<Command>,
    ) -> bool {
        let is_new = self.upstreams.record_notice(now, upstream, notice);
        let Some(request_id) = self.calls.get(&call).map(|call| call.request_id) else {
            return is_new;
        };
        let request = self.requests.get(&request_id);
        if request.is_none_or(|request| request.answer_to == AnswerTo::Caller) {
            return is_new;
        }
        let notices: Vec<PeerNotice> = self
            .upstreams
            .peer_notice(now, upstream)
            .into_iter()
            .collect();
        if !notices.is_empty() {
            let collected = BatchReport {
                notices,
                ..BatchReport::default()
            };
            commands.push(Command::Report {
                request: request_id,
                collected,
            });
        }
        is_new
    }

    /// Records notices that another instance has received from upstreams.
    pub(super) fn record_peer_notices(&mut self, now: Time, notices: &[PeerNotice]) {
        for received in notices {
            let Some(key) = self.upstreams.upstream_of_notice(received) else {
                continue;
            };
            let notice = Notice {
                leaving: received.leaving,
                rest_ms: received.rest_ms,
                malformed_header: None,
            };
            self.upstreams.record_notice(now, key, &notice);
        }
    }

    /// Returns the known notices of the upstreams that unsent parts of a batch were allowed to use.
    pub(super) fn notices_of_unsent(
        &self,
        now: Time,
        request: &Request,
        unsent: &[usize],
    ) -> Vec<PeerNotice> {
        let parts = unsent.iter().map(|part_index| &request.parts[*part_index]);
        let keys = parts.flat_map(|part| part.permitted.iter().flatten());
        keys.filter_map(|key| self.upstreams.peer_notice(now, *key))
            .collect()
    }
}
