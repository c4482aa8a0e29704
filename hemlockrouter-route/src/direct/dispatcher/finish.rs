//! Ends requests: with an answer, with a failure, or as not run.

use hemlockrouter_types::prelude::*;

use super::Dispatcher;
use crate::direct::event::CallFault;
use crate::direct::event::Command;
use crate::direct::event::FailedCall;
use crate::direct::event::GiveUpReason;
use crate::direct::event::Reply;
use crate::direct::event::ReplyKind;
use crate::direct::event::RequestId;
use crate::direct::event::RequestResult;
use crate::direct::event::Summary;
use crate::direct::merge::merge;
use crate::direct::record::Outcome;
use crate::direct::request::AnswerTo;
use crate::direct::request::Attempt;
use crate::direct::request::Request;
use crate::direct::request::RequestPart;
use crate::direct::table::RouteTarget;

/// The time after which a caller should retry a request that upstreams rejected, in milliseconds.
const REJECTED_RETRY_AFTER_MS: u64 = 100;

/// The time after which a caller should retry after a fault that takes longer to clear, in
/// milliseconds.
const FAULT_RETRY_AFTER_MS: u64 = 250;

/// The usual latency, in milliseconds, up to which an upstream's unneeded call is left to end by
/// itself. An upstream that is usually this fast only pauses. A cancelled call can't leave its
/// connection for reuse, and a new connection would cost the upstream more than the answer. At a
/// slower upstream the call is cancelled, which frees capacity there.
const RELEASE_LATENCY_MAX_MS: f64 = 45.0;

impl Dispatcher {
    /// Ends a request if enough parts are answered or can't be answered any more.
    pub(super) fn finish_if_settled(
        &mut self,
        now: Time,
        request_id: RequestId,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        if request.answer_to != AnswerTo::Caller {
            if request.waiting_parts() == 0 {
                self.end_batch(now, request_id, commands);
            }
            return;
        }
        let answered = request.answered_parts();
        let waiting = request.waiting_parts();
        let needed = request.needed_parts();
        if answered + waiting < needed {
            return self.give_up(now, request_id, commands);
        }
        let is_settled = waiting == 0 || now >= request.partial_answer_at;
        if answered >= needed && is_settled {
            self.answer_caller(now, request_id, commands);
        }
    }

    /// Answers the caller with the parts that have arrived.
    pub(super) fn answer_caller(
        &mut self,
        now: Time,
        request_id: RequestId,
        commands: &mut Vec<Command>,
    ) {
        let mut request = self
            .requests
            .remove(&request_id)
            .expect("the request is known");
        let mut answers: Vec<Reply> = Vec::with_capacity(request.parts.len());
        let parts = request.parts.iter_mut();
        answers.extend(parts.filter_map(|part| part.answer.take()));
        let request_result = match &request.route.target {
            RouteTarget::Split(_) => {
                let answer = answers.pop().expect("one part has an answer");
                RequestResult::Forwarded(answer)
            }
            RouteTarget::Shards { records_max, .. } => {
                let bodies = answers.iter().map(|answer| &answer.body[..]);
                RequestResult::Merged {
                    body: merge(bodies, *records_max),
                    missing: request.parts.len() - answers.len(),
                    signatures: answers
                        .into_iter()
                        .filter_map(|answer| match answer.kind {
                            ReplyKind::Success { signature } => Some(signature),
                            ReplyKind::NotRun | ReplyKind::Failure => None,
                        })
                        .collect(),
                }
            }
        };
        request.summary.answered = match &request_result {
            RequestResult::Merged { signatures, .. } => signatures.len(),
            _ => 1,
        };
        self.finish(now, request_id, request, request_result, commands);
    }

    /// Ends a request for which too few parts can still be answered.
    pub(super) fn give_up(
        &mut self,
        now: Time,
        request_id: RequestId,
        commands: &mut Vec<Command>,
    ) {
        let mut request = self
            .requests
            .remove(&request_id)
            .expect("the request is known");
        request.summary.answered = request.answered_parts();
        let retry_after_ms = self.retry_after_ms(now, &request);
        let may_have_run = request.may_have_run();
        if !request.route.is_search() {
            let part = &mut request.parts[0];
            if let Some(failure) = part.last_failure.take() {
                return self.finish(
                    now,
                    request_id,
                    request,
                    RequestResult::Forwarded(failure),
                    commands,
                );
            }
        }
        let why = give_up_reason(&request);
        let request_result = if may_have_run {
            RequestResult::Failed {
                why,
                retry_after_ms,
            }
        } else {
            RequestResult::NotRun {
                why,
                retry_after_ms,
            }
        };
        self.finish(now, request_id, request, request_result, commands);
    }

    /// Returns the time after which the caller should retry, in milliseconds.
    fn retry_after_ms(&self, now: Time, request: &Request) -> u64 {
        if let Some(capacity_wait_ms) = request.capacity_wait_ms {
            return capacity_wait_ms;
        }
        let failed = request.parts.iter().filter(|part| part.has_failed());
        let unsent = failed.filter(|part| part.sends == 0);
        let pause_left_ms = unsent.map(|part| self.upstreams.pause_left_ms(now, part.service));
        match pause_left_ms.max() {
            Some(pause_left_ms) => pause_left_ms.max(FAULT_RETRY_AFTER_MS),
            None => REJECTED_RETRY_AFTER_MS,
        }
    }

    /// Ends all requests as if their deadlines had passed.
    pub fn time_out_all(&mut self, now: Time, commands: &mut Vec<Command>) {
        let request_ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for request_id in request_ids {
            self.time_out(now, request_id, commands);
        }
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn time_out(
        &mut self,
        now: Time,
        request_id: RequestId,
        commands: &mut Vec<Command>,
    ) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        if request.answer_to != AnswerTo::Caller {
            return self.end_batch(now, request_id, commands);
        }
        if request.answered_parts() >= request.needed_parts() {
            return self.answer_caller(now, request_id, commands);
        }
        let mut request = self
            .requests
            .remove(&request_id)
            .expect("the request is known");
        request.summary.answered = request.answered_parts();
        let request_result = if request.may_have_run() {
            RequestResult::TimedOut
        } else {
            let capacity_after_ms = self.capacity_after_ms(now, &request);
            RequestResult::NotRun {
                why: GiveUpReason::NoRoom,
                retry_after_ms: capacity_after_ms.unwrap_or(FAULT_RETRY_AFTER_MS),
            }
        };
        self.finish(now, request_id, request, request_result, commands);
    }

    pub(super) fn finish(
        &mut self,
        now: Time,
        request_id: RequestId,
        request: Request,
        request_result: RequestResult,
        commands: &mut Vec<Command>,
    ) {
        let summary = self.drop_and_summarize(now, request, commands);
        commands.push(Command::Finish {
            request: request_id,
            request_result,
            summary,
        });
    }

    /// Drops the open calls of a request, and returns the request's summary.
    pub(super) fn drop_and_summarize(
        &mut self,
        now: Time,
        mut request: Request,
        commands: &mut Vec<Command>,
    ) -> Box<Summary> {
        let mut summary = std::mem::take(&mut request.summary);
        for part in request.parts.iter().filter(|part| !part.has_answered) {
            for attempt in &part.open_attempts {
                self.add_fault(
                    now,
                    &mut summary,
                    part.service,
                    attempt,
                    CallFault::Unanswered,
                );
            }
            self.add_uncollected(now, &mut summary, part, request.arrived);
        }
        summary.took_ms = now.ms_since(request.arrived);
        self.drop_request(now, request, Outcome::GivenUp, commands);
        Box::new(summary)
    }

    /// Adds a failed call to the summary unless the list is full.
    pub(super) fn add_fault(
        &self,
        now: Time,
        summary: &mut Summary,
        service: ServiceKey,
        call: &Attempt,
        fault: CallFault,
    ) {
        let upstream = self.upstreams.get(call.upstream);
        summary.add_failed_call(|| FailedCall {
            service: String::from(self.upstreams.service_name(service)),
            upstream: upstream.map_or_else(String::new, |upstream| upstream.entry.id.clone()),
            fault,
            duration_ms: now.ms_since(call.sent),
        });
    }

    /// Adds an unanswered part that was delegated to another instance to the summary, unless the
    /// list is full.
    fn add_uncollected(&self, now: Time, summary: &mut Summary, part: &RequestPart, sent: Time) {
        let delegated = part
            .batch_call
            .and_then(|call| self.delegated_batches.get(&call));
        let Some(delegated) = delegated else {
            return;
        };
        summary.add_failed_call(|| FailedCall {
            service: String::from(self.upstreams.service_name(part.service)),
            upstream: format!("instance {}", delegated.peer),
            fault: CallFault::Unanswered,
            duration_ms: now.ms_since(sent),
        });
    }

    /// Drops all open calls of a request.
    pub(super) fn drop_request(
        &mut self,
        now: Time,
        mut request: Request,
        outcome: Outcome,
        commands: &mut Vec<Command>,
    ) {
        for part in &mut request.parts {
            self.cancel_part(now, part, outcome, commands);
        }
        for call in request.batch_calls {
            self.delegated_batches.remove(&call);
            // Released calls soon end by themselves, so that their connections can be reused.
            commands.push(match outcome {
                Outcome::GivenUp => Command::Release { call },
                _ => Command::Cancel { call },
            });
        }
    }

    pub(super) fn cancel_part(
        &mut self,
        now: Time,
        part: &mut RequestPart,
        outcome: Outcome,
        commands: &mut Vec<Command>,
    ) {
        if !part.open_attempts.is_empty() {
            self.freed_services.push(part.service);
        }
        for attempt in part.open_attempts.drain(..) {
            self.calls.remove(&attempt.call);
            let call = attempt.call;
            let mut is_released = false;
            if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
                let is_fast = upstream.stats.is_latency_within(RELEASE_LATENCY_MAX_MS);
                is_released = is_fast && outcome == Outcome::GivenUp;
                upstream.stats.record_ended(now, attempt.sent, outcome);
            }
            commands.push(if is_released {
                Command::Release { call }
            } else {
                Command::Cancel { call }
            });
        }
    }
}

/// Returns the reason for which a request can't get enough answers.
fn give_up_reason(request: &Request) -> GiveUpReason {
    if request.capacity_wait_ms.is_some() {
        return GiveUpReason::NoRoom;
    }
    let mut failed = request.parts.iter().filter(|part| part.has_failed());
    if request.route.is_search() {
        return if failed.all(|part| part.sends == 0) {
            GiveUpReason::NoUpstream
        } else {
            GiveUpReason::TooFewShards
        };
    }
    match failed.next() {
        Some(part) if part.sends == 0 => GiveUpReason::NoUpstream,
        Some(part) if part.may_have_run => GiveUpReason::Lost,
        _ => GiveUpReason::Rejected,
    }
}
