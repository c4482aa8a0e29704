//! Delegates parts of a search to other instances.
//!
//! Both instances together must not send a part to more upstreams than the route allows. The
//! delegating instance therefore names the permitted upstreams: if the other instance does not
//! respond, the delegating instance sends the parts to the same upstreams. This also keeps an
//! instance that is cut off from the registry from using an upstream that the delegating instance
//! knows to be out of service.

use std::net::SocketAddr;
use std::rc::Rc;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Batch;
use hemlockrouter_types::routing::BatchPart;

use super::plan::PeerFilter;
use super::DelegatedBatch;
use super::Dispatcher;
use super::TimerKind;
use crate::direct::event::BatchOutcome;
use crate::direct::event::BatchReport;
use crate::direct::event::CallId;
use crate::direct::event::Command;
use crate::direct::event::ReplyKind;
use crate::direct::event::RequestId;
use crate::direct::record::Outcome;
use crate::direct::request::AnswerTo;
use crate::direct::request::Request;
use crate::direct::request::RequestPart;
use crate::direct::request::SendReason;
use crate::direct::table::Route;
use crate::direct::upstreams::CandidateFilter;
use crate::direct::upstreams::Criteria;

/// The fraction of the target latency after which a collecting instance must have reported
/// progress. An instance reports when it starts to hedge, which is at a third of the target latency
/// at the latest.
const PROGRESS_TIMEOUT_FRACTION: f64 = 0.5;

/// The fraction of a batch that an instance must have collected by then; otherwise its parts are
/// sent from this instance.
const COLLECTED_MIN_FRACTION: f64 = 0.5;

impl Dispatcher {
    /// Delegates parts of a request to other instances if the request is a search over many shards,
    /// or over several shards without an upstream in the own region.
    pub(super) fn delegate(
        &mut self,
        now: Time,
        request_id: RequestId,
        request: &mut Request,
        commands: &mut Vec<Command>,
    ) {
        if request.answer_to != AnswerTo::Caller {
            return;
        }
        let route = Rc::clone(&request.route);
        let Some(services) = self.delegatable_services(&route) else {
            return;
        };
        self.other_region_rotation = self.other_region_rotation.wrapping_add(1);
        for (collector, part_indexes) in self.assign_parts(now, services, PeerFilter::Usable) {
            if let Some(peer) = collector {
                self.delegate_to(now, request_id, request, peer, part_indexes, commands);
            }
        }
        let calls = request.batch_calls.iter();
        let peers = calls.filter_map(|call| {
            self.delegated_batches
                .get(call)
                .map(|delegated| delegated.peer)
        });
        let progress_timeout_ms = peers
            .map(|peer| self.progress_timeout_ms(&route, peer))
            .max();
        if let Some(progress_timeout_ms) = progress_timeout_ms {
            self.timers.set(
                now + progress_timeout_ms,
                TimerKind::CheckProgress(request_id),
            );
        }
    }

    /// Returns the part of a route's target latency that is left for a collecting instance after
    /// the network round trip, in milliseconds.
    fn collector_target_ms(&self, route: &Route, peer: SocketAddr) -> u64 {
        let target_ms = route.entry.target_latency_ms;
        let round_trip_ms = self.peers.round_trip_ms(peer).min(target_ms / 2);
        target_ms - round_trip_ms
    }

    /// Returns the time within which a collecting instance must have reported progress, in
    /// milliseconds.
    fn progress_timeout_ms(&self, route: &Route, peer: SocketAddr) -> u64 {
        let target_ms = self.collector_target_ms(route, peer);
        let round_trip_ms = route.entry.target_latency_ms - target_ms;
        round_trip_ms + (target_ms as f64 * PROGRESS_TIMEOUT_FRACTION) as u64
    }

    fn delegate_to(
        &mut self,
        now: Time,
        request_id: RequestId,
        request: &mut Request,
        peer: SocketAddr,
        part_indexes: Vec<usize>,
        commands: &mut Vec<Command>,
    ) {
        let route = &request.route;
        let mut parts = Vec::with_capacity(part_indexes.len());
        let mut delegated_parts = Vec::with_capacity(part_indexes.len());
        let call = self.next_call();
        for part_index in part_indexes {
            let part = &mut request.parts[part_index];
            let permitted_upstreams = self.choose_permitted_upstreams(now, part, route);
            if permitted_upstreams.is_empty() {
                continue;
            }
            delegated_parts.push(part_index);
            part.permitted = Some(permitted_upstreams);
            part.batch_call = Some(call);
            part.sends = 1;
            let transferred_permille = self.transfer_repeats(now, part.service);
            parts.push(self.batch_part(part, transferred_permille));
        }
        if delegated_parts.is_empty() {
            return;
        }
        request.summary.delegated_services += delegated_parts.len();
        let batch = Batch {
            route: route.entry.name.clone(),
            version: route.version,
            attempts_max: route.entry.attempts_max,
            target_latency_ms: self.collector_target_ms(route, peer),
            records_max: request.records_max(),
            parts,
        };
        let delegated = DelegatedBatch {
            request_id: Some(request_id),
            peer,
            sent: now,
            part_indexes: delegated_parts,
            has_reported: false,
        };
        request.batch_calls.push(call);
        self.send_batch(call, delegated, batch, request.deadline, commands);
    }

    pub(super) fn send_batch(
        &mut self,
        call: CallId,
        delegated: DelegatedBatch,
        batch: Batch,
        deadline: Time,
        commands: &mut Vec<Command>,
    ) {
        commands.push(Command::Delegate {
            request: delegated.request_id,
            call,
            peer: delegated.peer,
            batch,
            deadline,
        });
        self.delegated_batches.insert(call, delegated);
    }

    /// Chooses the upstreams that a part may be sent to, up to the number that the route allows.
    fn choose_permitted_upstreams(
        &mut self,
        now: Time,
        part: &RequestPart,
        route: &Route,
    ) -> Vec<UpstreamKey> {
        let attempts_max = route.entry.attempts_max as usize;
        let mut permitted_upstreams = Vec::with_capacity(attempts_max);
        while permitted_upstreams.len() < attempts_max {
            let criteria = Criteria {
                service: part.service,
                regions: &route.entry.regions,
                candidate_filter: CandidateFilter::AllBut(&permitted_upstreams),
                other_region_cost_ms: route.other_region_cost_ms(),
            };
            match self.upstreams.choose_ignoring_capacity(now, &criteria) {
                Some(upstream) => permitted_upstreams.push(upstream),
                None => break,
            }
        }
        permitted_upstreams
    }

    /// Transfers a fraction of this instance's repeat allowance to another instance, and returns
    /// its size in thousandths of a repeat.
    fn transfer_repeats(&mut self, now: Time, service: ServiceKey) -> u32 {
        let allowance_fraction = self.upstreams.allowance_fraction(now, service);
        let repeat_budget = &mut self.upstreams.service_mut(service).repeat_budget;
        repeat_budget.transfer(now, &self.config.repeat_bound, allowance_fraction)
    }

    fn batch_part(&self, part: &RequestPart, repeats_permille: u32) -> BatchPart {
        let keys = part.permitted.iter().flatten();
        let known_upstreams = keys.filter_map(|key| self.upstreams.get(*key));
        BatchPart {
            service: String::from(self.upstreams.service_name(part.service)),
            upstreams: known_upstreams
                .map(|upstream| upstream.entry.id.clone())
                .collect(),
            repeats_permille,
        }
    }

    /// Handles partial results from another instance. Empty results only show that the instance is
    /// working on the batch.
    pub fn handle_batch_report(
        &mut self,
        now: Time,
        call: CallId,
        collected: BatchReport,
        commands: &mut Vec<Command>,
    ) {
        let Some(delegated) = self.delegated_batches.get_mut(&call) else {
            return;
        };
        delegated.has_reported = true;
        self.peers.record_answer(now, delegated.peer);
        let Some(request_id) = delegated.request_id else {
            return;
        };
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        let part_indexes = delegated.part_indexes.clone();
        self.record_peer_notices(now, &collected.notices);
        for (batch_index, answer) in collected.answers {
            let Some(part_index) = part_indexes.get(batch_index) else {
                continue;
            };
            let part = &mut request.parts[*part_index];
            if matches!(answer.kind, ReplyKind::Success { .. }) {
                // The delegated answer replaces any answer from elsewhere and must be merged, since
                // the collecting instance may have dropped records of its other answers that are
                // smaller than records of this answer.
                part.batch_call = None;
                part.set_answer(answer);
                request.answered_at = now;
                self.cancel_part(now, part, Outcome::GivenUp, commands);
            }
        }
        for batch_index in collected.unsent {
            let Some(part_index) = part_indexes.get(batch_index) else {
                continue;
            };
            let part = &mut request.parts[*part_index];
            if part.batch_call.take() == Some(call) && part.open_attempts.is_empty() {
                part.sends = 0;
                self.send_first(now, request_id, &mut request, *part_index, commands);
            }
        }
        self.requests.insert(request_id, request);
        self.finish_if_settled(now, request_id, commands);
        self.send_queued(now, commands);
    }

    /// Handles the end of a call to a collecting instance. Sends the parts that the instance did
    /// not accept, or whose answers were lost, from this instance. If the instance has collected at
    /// least half of its parts, the missing parts are not retried.
    pub fn batch_ended(
        &mut self,
        now: Time,
        call: CallId,
        end: BatchOutcome,
        commands: &mut Vec<Command>,
    ) {
        let Some(delegated) = self.delegated_batches.remove(&call) else {
            return;
        };
        match end {
            BatchOutcome::Done => {
                self.peers.record_answer(now, delegated.peer);
                if delegated.request_id.is_none() {
                    self.peers
                        .record_round_trip(delegated.peer, now.ms_since(delegated.sent));
                }
            }
            BatchOutcome::NotAccepted | BatchOutcome::Lost => {
                self.peers.record_failure(now, delegated.peer)
            }
        }
        let Some(request_id) = delegated.request_id else {
            return;
        };
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        request.batch_calls.retain(|other| *other != call);
        let has_too_few_answers =
            end == BatchOutcome::Done && has_too_few_answers(&request, call, &delegated);
        if has_too_few_answers {
            self.peers.exclude(now, delegated.peer);
        }
        for part_index in delegated.part_indexes {
            let part = &mut request.parts[part_index];
            if part.batch_call.take().is_none() {
                continue;
            }
            part.may_have_run |= end != BatchOutcome::NotAccepted;
            if !part.open_attempts.is_empty() || part.queued {
                continue;
            }
            match end {
                BatchOutcome::NotAccepted => {
                    part.sends = 0;
                    self.send_first(now, request_id, &mut request, part_index, commands);
                }
                BatchOutcome::Done if !has_too_few_answers => {}
                BatchOutcome::Done | BatchOutcome::Lost => {
                    self.send(
                        now,
                        request_id,
                        &mut request,
                        part_index,
                        SendReason::Retry,
                        commands,
                    );
                }
            }
        }
        self.requests.insert(request_id, request);
        self.finish_if_settled(now, request_id, commands);
        self.send_queued(now, commands);
    }

    /// Sends delegated parts from this instance if the instance that collects them has reported no
    /// progress or too few answers.
    pub(super) fn reclaim_delayed_parts(
        &mut self,
        now: Time,
        request_id: RequestId,
        commands: &mut Vec<Command>,
    ) {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return;
        };
        for call in request.batch_calls.clone() {
            let delegated = self
                .delegated_batches
                .get(&call)
                .expect("every batch call of a request is open");
            let delegated = delegated.clone();
            if delegated.has_reported && !has_too_few_answers(&request, call, &delegated) {
                continue;
            }
            self.peers.exclude(now, delegated.peer);
            for part_index in delegated.part_indexes {
                let part = &request.parts[part_index];
                if part.batch_call == Some(call) && part.open_attempts.is_empty() && !part.queued {
                    self.send(
                        now,
                        request_id,
                        &mut request,
                        part_index,
                        SendReason::Retry,
                        commands,
                    );
                }
            }
        }
        self.requests.insert(request_id, request);
        self.finish_if_settled(now, request_id, commands);
        self.send_queued(now, commands);
    }
}

/// Returns whether a collecting instance has delivered less than the required fraction of its
/// parts.
fn has_too_few_answers(request: &Request, call: CallId, delegated: &DelegatedBatch) -> bool {
    let parts = delegated
        .part_indexes
        .iter()
        .map(|part_index| &request.parts[*part_index]);
    let missing = parts.filter(|part| part.batch_call == Some(call)).count();
    let collected = delegated.part_indexes.len() - missing;
    (collected as f64) < delegated.part_indexes.len() as f64 * COLLECTED_MIN_FRACTION
}
