//! Executes commands of the searcher and the runner.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_route::RunCommand;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::ForwardedRun;
use hemlockrouter_wire::run::ForwardedRunEnded;
use hemlockrouter_wire::run::RunMessage;
use hemlockrouter_wire::CancelSubRequests;
use hemlockrouter_wire::Message;
use hemlockrouter_wire::RunSubRequest;
use hemlockrouter_wire::SearchBatch;
use hemlockrouter_wire::SearchSubRequest;
use hemlockrouter_wire::SubRequestOutcome;
use hemlockrouter_wire::SubRequestReply;
use stakker::call;
use stakker::timer_min;
use stakker::CX;

use crate::log_line;
use crate::node::entry::Entry;
use crate::node::entry::PendingRequestKind;
use crate::node::entry::RunPayload;
use crate::node::CallerAnswer;

/// Delay before a retry of a sub-request that was not sent because no caller waits for it, in
/// milliseconds.
const NOT_SENT_RETRY_AFTER_MS: u32 = 1_000;

/// Divisor that gives the part of a run's remaining time that is withheld from the upstream's
/// owner.
const OWNER_MARGIN_DIVISOR: u32 = 10;

impl Entry {
    /// Executes the commands of the searcher and the runner.
    pub(super) fn execute_commands(&mut self, cx: CX![], now: Time) {
        while !self.search_commands.is_empty() || !self.run_commands.is_empty() {
            let commands = std::mem::take(&mut self.search_commands);
            self.execute_searches(now, commands);
            for command in std::mem::take(&mut self.run_commands) {
                self.execute_run(now, command);
            }
        }
        let wake_times = [self.searcher.next_wake(), self.runner.next_wake()];
        if let Some(wake_at) = wake_times.into_iter().flatten().min() {
            let wait = Duration::from_millis(wake_at.remaining_ms(now).max(1));
            timer_min!(&mut self.timer, Instant::now() + wait, [cx], tick());
        }
    }

    /// Executes the searcher's commands. Sub-requests of one search are sent together.
    fn execute_searches(&mut self, now: Time, commands: Vec<SearchCommand>) {
        let mut batches: Vec<SearchBatch> = Vec::new();
        for command in commands {
            match command {
                SearchCommand::Send {
                    query,
                    seq,
                    upstream,
                    shard,
                    snapshot,
                    map,
                    config,
                    deadline,
                } => {
                    let sub = SearchSubRequest {
                        seq,
                        upstream,
                        shard,
                    };
                    let open_batch = batches.last_mut().filter(|batch| {
                        batch.query == query && batch.snapshot == snapshot && batch.map == map
                    });
                    if let Some(batch) = open_batch {
                        batch.subs.push(sub);
                        continue;
                    }
                    let Some(pending) = self.requests.get(&query) else {
                        continue;
                    };
                    let PendingRequestKind::Search(search) = pending.kind else {
                        continue;
                    };
                    batches.push(SearchBatch {
                        query,
                        config,
                        customer: pending.customer,
                        search,
                        snapshot,
                        map,
                        deadline_in_ms: remaining_ms(deadline, now),
                        body: pending.body.to_vec(),
                        subs: vec![sub],
                    });
                }
                SearchCommand::Cancel { id, upstream } => {
                    call!(
                        [self.control],
                        cancel(upstream, CancelSubRequests { ids: vec![id] })
                    );
                }
                SearchCommand::Answer { query, answer } => {
                    self.answer_caller(query, CallerAnswer::Search(answer));
                }
                SearchCommand::Refuse { query, refusal } => {
                    self.answer_caller(query, CallerAnswer::Refused(refusal));
                }
                SearchCommand::Decision(decision) => log_line::decision("entry", &decision),
            }
        }
        for batch in batches {
            call!([self.control], search(batch));
        }
    }

    fn execute_run(&mut self, now: Time, command: RunCommand) {
        match command {
            RunCommand::Claim { id, key, claim } => {
                call!([self.control], queue_claim(id, key, claim));
            }
            RunCommand::Forward { id, to, ticket } => self.send_forward(now, id, to, ticket),
            RunCommand::Dispatch {
                id,
                query,
                upstream,
                run_id,
                config,
                deadline,
            } => {
                let Some(payload) = self.run_payload(query) else {
                    let reply = not_sent_reply(id);
                    self.runner.reply(now, reply, &mut self.run_commands);
                    return;
                };
                let sub = RunSubRequest {
                    id,
                    config,
                    customer: payload.customer,
                    operation: payload.operation,
                    upstream,
                    run_id,
                    deadline_in_ms: owner_budget_ms(remaining_ms(deadline, now)),
                    body: payload.body.to_vec(),
                };
                call!([self.control], run(sub));
            }
            RunCommand::Answer { id, outcome, .. } => {
                self.answer_caller(id, CallerAnswer::Run(outcome))
            }
            RunCommand::ForwardAnswer { to, id, outcome } => {
                self.forwarded.remove(&id);
                let ended = RunMessage::Ended(ForwardedRunEnded { id, outcome });
                call!([self.control], send(to, Message::Forward(ended)));
            }
            RunCommand::Decision(decision) => log_line::decision("entry", &decision),
        }
    }

    /// Returns the payload of the run `id`, which a caller sent or another instance forwarded.
    fn run_payload(&self, id: QueryId) -> Option<RunPayload> {
        if let Some(payload) = self.forwarded.get(&id) {
            return Some(payload.clone());
        }
        let pending = self.requests.get(&id)?;
        let PendingRequestKind::Run(operation) = pending.kind else {
            return None;
        };
        Some(RunPayload {
            customer: pending.customer,
            operation,
            body: Arc::clone(&pending.body),
        })
    }

    fn send_forward(&self, now: Time, id: QueryId, to: InstanceId, ticket: String) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let PendingRequestKind::Run(operation) = pending.kind else {
            return;
        };
        let forward = ForwardedRun {
            id,
            config: self.catalog.number,
            customer: pending.customer,
            operation,
            ticket,
            deadline_in_ms: remaining_ms(pending.deadline, now),
            body: pending.body.to_vec(),
        };
        call!(
            [self.control],
            send(to, Message::Forward(RunMessage::Forward(forward)))
        );
    }

    /// Answers a caller.
    fn answer_caller(&mut self, id: QueryId, answer: CallerAnswer) {
        if let Some(pending) = self.requests.remove(&id) {
            self.admission.finish(pending.customer);
            let took_ms = self.clock.now().ms_since(pending.started_at);
            self.metrics
                .count_request(pending.kind.label(), answer.label(), took_ms);
            // Sending fails if the caller has disconnected, which needs no handling.
            let _ = pending.answer.send(answer);
        }
        self.count_sub_requests();
    }

    /// Counts in the metrics the sub-requests that were sent since the previous count.
    fn count_sub_requests(&mut self) {
        let (sent, extra) = self.searcher.sub_request_counts();
        let (sent_before, extra_before) = self.counted_sub_requests;
        let new_extra = extra - extra_before;
        self.metrics
            .count_sub_requests(sent - sent_before - new_extra, new_extra);
        self.counted_sub_requests = (sent, extra);
    }
}

/// Builds the result of a sub-request that was not sent, because no caller waits for it any more.
fn not_sent_reply(id: SubRequestId) -> SubRequestReply {
    let refusal = Refusal {
        reason: RefusalReason::Cancelled,
        retry_after_ms: NOT_SENT_RETRY_AFTER_MS,
    };
    SubRequestReply {
        id,
        outcome: SubRequestOutcome::NotRun(refusal),
        queued_ms: 0,
        served_ms: 0,
    }
}
/// Returns the time until `deadline`, in milliseconds.
fn remaining_ms(deadline: Time, now: Time) -> u32 {
    u32::try_from(deadline.remaining_ms(now)).unwrap_or(u32::MAX)
}

/// Returns how much of the remaining time the owner gets, in milliseconds. The owner's refusal of a
/// request that was queued too long must arrive before the caller is answered, because without the
/// refusal the request counts as one that may have run.
fn owner_budget_ms(remaining_ms: u32) -> u32 {
    remaining_ms - remaining_ms / OWNER_MARGIN_DIVISOR
}
