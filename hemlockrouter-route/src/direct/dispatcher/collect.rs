//! Collects parts of a search for another instance.
//!
//! Answers are buffered until the first hedges, since most arrive at about the same time. After
//! that each answer is passed on at once, since the other instance answers its caller as soon as
//! enough shards have answered.

use std::rc::Rc;

use hemlockrouter_types::prelude::*;
use hemlockrouter_types::routing::Batch;
use hemlockrouter_types::routing::BatchPart;
use hemlockrouter_types::routing::RouteEntry;
use hemlockrouter_types::routing::ShardTarget;
use hemlockrouter_types::routing::TargetServices;

use super::Dispatcher;
use crate::direct::event::BatchReport;
use crate::direct::event::Command;
use crate::direct::event::Reply;
use crate::direct::event::RequestId;
use crate::direct::request::AnswerTo;
use crate::direct::request::Request;
use crate::direct::request::RequestPart;
use crate::direct::table::Route;
use crate::direct::table::RouteTarget;

impl Dispatcher {
    /// Starts to collect a batch whose deadline is `deadline_ms` from now.
    pub fn start_batch(
        &mut self,
        now: Time,
        request_id: RequestId,
        batch: Batch,
        deadline_ms: u64,
        commands: &mut Vec<Command>,
    ) {
        let parts = batch.parts.iter().map(|part| self.create_part(now, part));
        let parts: Vec<RequestPart> = parts.collect();
        let route = Rc::new(batch_route(batch, &parts, deadline_ms));
        let answer_to = AnswerTo::Peer { immediate: false };
        let request = Request::new(now, route, parts, deadline_ms, answer_to);
        self.begin_request(now, request_id, request, commands);
    }

    /// Reports the parts that are sent to no upstream, so that the other instance sends them
    /// itself.
    pub(super) fn report_unsent(
        &self,
        now: Time,
        request_id: RequestId,
        request: &Request,
        commands: &mut Vec<Command>,
    ) {
        let parts = request.parts.iter().enumerate();
        let unsent = parts.filter(|(_, part)| part.sends == 0 && !part.queued);
        let unsent: Vec<usize> = unsent.map(|(part_index, _)| part_index).collect();
        if !unsent.is_empty() {
            let collected = BatchReport {
                answers: Vec::new(),
                notices: self.notices_of_unsent(now, request, &unsent),
                unsent,
            };
            commands.push(Command::Report {
                request: request_id,
                collected,
            });
        }
    }

    /// Creates a part of a batch. Upstreams that this instance does not know are left out.
    fn create_part(&mut self, now: Time, batch_part: &BatchPart) -> RequestPart {
        let mut part = RequestPart::new(self.upstreams.service_key(&batch_part.service));
        let repeat_budget = &mut self.upstreams.service_mut(part.service).repeat_budget;
        repeat_budget.receive(now, &self.config.repeat_bound, batch_part.repeats_permille);
        let upstream_ids = batch_part.upstreams.iter();
        let known_upstreams =
            upstream_ids.filter_map(|upstream_id| self.upstreams.key_by_id(upstream_id));
        part.permitted = Some(known_upstreams.collect());
        part
    }

    /// Passes on the answers that arrived since the last report.
    pub(super) fn report(
        request_id: RequestId,
        request: &mut Request,
        commands: &mut Vec<Command>,
    ) {
        let parts = request.parts.iter_mut().enumerate();
        let answers =
            parts.filter_map(|(part_index, part)| Some((part_index, part.answer.take()?)));
        let mut answers: Vec<(usize, Reply)> = answers.collect();
        if let RouteTarget::Shards { records_max, .. } = request.route.target {
            let bodies = answers.iter().map(|(_, answer)| &answer.body[..]);
            request.passed_on_records.add(bodies, records_max);
            for (_, answer) in &mut answers {
                answer.body = request
                    .passed_on_records
                    .retain_candidates(&answer.body, records_max);
            }
        }
        let collected = BatchReport {
            answers,
            ..BatchReport::default()
        };
        commands.push(Command::Report {
            request: request_id,
            collected,
        });
    }

    /// Ends a batch, and reports the remaining answers. Calls that are still open are dropped.
    pub(super) fn end_batch(
        &mut self,
        now: Time,
        request_id: RequestId,
        commands: &mut Vec<Command>,
    ) {
        let mut request = self
            .requests
            .remove(&request_id)
            .expect("the request is known");
        let parts = request.parts.iter();
        request.summary.answered = parts.filter(|part| part.has_answered).count();
        if request.answered_parts() > 0 {
            Dispatcher::report(request_id, &mut request, commands);
        }
        let summary = self.drop_and_summarize(now, request, commands);
        commands.push(Command::EndBatch {
            request: request_id,
            summary,
        });
    }
}

/// Builds a substitute for the search's route from a batch.
fn batch_route(batch: Batch, parts: &[RequestPart], deadline_ms: u64) -> Route {
    let target = TargetServices::Shards(ShardTarget {
        services: Vec::new(),
        records_max: 0,
        coverage_min: 1.0,
    });
    Route {
        version: batch.version,
        entry: RouteEntry {
            name: batch.route,
            host: String::new(),
            path_prefix: String::new(),
            target,
            idempotent: true,
            attempts_max: batch.attempts_max,
            timeout_ms: deadline_ms,
            target_latency_ms: batch.target_latency_ms,
            priority: 0,
            regions: Vec::new(),
        },
        target: RouteTarget::Shards {
            services: parts.iter().map(|part| part.service).collect(),
            records_max: batch.records_max,
            answers_min: parts.len(),
        },
    }
}
