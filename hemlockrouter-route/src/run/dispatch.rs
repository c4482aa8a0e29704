//! Sending a request to an upstream and handling the reply.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;
use hemlockrouter_wire::SubRequestOutcome;

use super::memory::RequestName;
use super::memory::RunState;
use super::PendingDispatch;
use super::RunCommand;
use super::Runner;
use super::TimerAction;
use crate::choose::Unavailability;

/// Maximum number of upstreams that are used for an operation, since positions are stored in a
/// 64-bit mask.
const MAX_OPERATION_UPSTREAMS: usize = 64;

/// Destination of a dispatch.
struct DispatchTarget {
    /// The caller whose body is sent: the one with the latest deadline.
    query: QueryId,
    upstream: UpstreamKey,
    /// The position of `upstream` in the operation's list.
    position: usize,
    deadline: Time,
}

impl Runner {
    /// Dispatches a request that has not run to the best upstream. If none is available, the
    /// request waits for the first upstream whose backoff ends in time, or its callers are refused.
    pub(super) fn dispatch(&mut self, now: Time, name: RequestName, out: &mut Vec<RunCommand>) {
        let entry = self.entry_mut(name);
        assert!(
            !matches!(entry.state, RunState::Running(_) | RunState::Ended(_))
                && !entry.answered_unknown,
            "a request that may have run is never dispatched again"
        );
        let last_caller = entry
            .callers
            .iter()
            .max_by_key(|caller| caller.answer_deadline);
        let last_caller = last_caller.expect("a request is dispatched for a caller");
        let (query, answer_deadline) = (last_caller.id, last_caller.answer_deadline);
        let margin_ms = self
            .config
            .answer_margin_ms
            .min(answer_deadline.remaining_ms(now) / 10);
        let deadline = answer_deadline.minus_ms(margin_ms);
        let entry = self.entry_mut(name);
        let (operation, tries, tried_upstreams) =
            (entry.operation, entry.tries, entry.tried_upstreams);
        let customer = entry.customer;
        let Some(operation) = self.catalog.operations.get(operation) else {
            let refusal =
                self.refusal(RefusalReason::NotConfigured, self.config.retry_after_max_ms);
            return self.end_as_not_run(now, name, refusal, "the operation was withdrawn", out);
        };
        let upstreams = operation.upstreams.clone();
        if tries >= self.config.max_tries || deadline <= now {
            return self.refuse_all_callers(now, name, customer, &upstreams, out);
        }
        let Some(position) = self.choose_upstream(now, customer, &upstreams, tried_upstreams)
        else {
            return self.wait_or_refuse(now, name, customer, &upstreams, deadline, out);
        };
        let target = DispatchTarget {
            query,
            upstream: upstreams[position],
            position,
            deadline,
        };
        self.send(now, name, target, out);
    }

    /// Selects an upstream. Upstreams that are not suspect come first, and among these the ones
    /// that were not tried before.
    fn choose_upstream(
        &mut self,
        now: Time,
        customer: CustomerKey,
        upstreams: &[UpstreamKey],
        tried_upstreams: u64,
    ) -> Option<usize> {
        let mut upstream_tiers = [0_u64; 4];
        for (index, key) in upstreams.iter().enumerate().take(MAX_OPERATION_UPSTREAMS) {
            if self.upstreams.unavailability(now, customer, *key).is_some() {
                continue;
            }
            let bit = 1 << index;
            let was_tried = tried_upstreams & bit != 0;
            let is_suspect = self.upstreams.is_suspect(now, *key);
            upstream_tiers[2 * usize::from(is_suspect) + usize::from(was_tried)] |= bit;
        }
        let best = upstream_tiers.iter().find(|tier| **tier != 0);
        let allowed_mask = best.copied().unwrap_or(0);
        let is_allowed =
            |index: usize| index < MAX_OPERATION_UPSTREAMS && allowed_mask & (1 << index) != 0;
        self.upstreams
            .choose(now, upstreams, &mut self.rng, is_allowed)
    }

    fn send(
        &mut self,
        now: Time,
        name: RequestName,
        target: DispatchTarget,
        out: &mut Vec<RunCommand>,
    ) {
        let seq = self.next_seq;
        self.next_seq += 1;
        let keep_until = target.deadline + self.config.outcome_ttl_ms;
        let entry = self.entry_mut(name);
        // From here on the state must be kept until no caller can ask for the request any more.
        entry.keep_until = entry.keep_until.max(keep_until);
        entry.state = RunState::Running(seq);
        entry.tries += 1;
        entry.tried_upstreams |= 1 << target.position;
        let sub_request = PendingDispatch {
            name,
            upstream: target.upstream,
            sent_at: now,
        };
        self.sub_requests.insert(seq, sub_request);
        self.upstreams.record_sent(now, target.upstream);
        out.push(RunCommand::Dispatch {
            id: SubRequestId {
                origin: self.origin,
                seq,
            },
            query: target.query,
            upstream: target.upstream,
            run_id: self.upstream_run_id(name),
            config: self.catalog.number,
            deadline: self
                .upstreams
                .owner_deadline(now, target.upstream, target.deadline),
        });
    }

    fn upstream_run_id(&self, name: RequestName) -> String {
        match name {
            RequestName::Ticket(nonce) => format!("t-{}-{nonce:016x}", self.origin),
            RequestName::Claim(claim) => format!("k-{}", claim.hex_text()),
        }
    }

    fn wait_or_refuse(
        &mut self,
        now: Time,
        name: RequestName,
        customer: CustomerKey,
        upstreams: &[UpstreamKey],
        deadline: Time,
        out: &mut Vec<RunCommand>,
    ) {
        match self.first_backoff_end(now, customer, upstreams) {
            Some(at) if at < deadline => {
                self.entry_mut(name).state = RunState::Waiting(at);
                self.timers.set(at, TimerAction::Retry(name));
            }
            _ => self.refuse_all_callers(now, name, customer, upstreams, out),
        }
    }

    /// Returns the time at which the first of `upstreams` ends its backoff.
    fn first_backoff_end(
        &self,
        now: Time,
        customer: CustomerKey,
        upstreams: &[UpstreamKey],
    ) -> Option<Time> {
        let mut earliest: Option<Time> = None;
        for key in upstreams {
            if let Some(Unavailability::Backoff(until)) =
                self.upstreams.unavailability(now, customer, *key)
            {
                earliest = Some(earliest.map_or(until, |earliest| earliest.min(until)));
            }
        }
        earliest
    }

    /// Refuses all callers of a request for which no upstream is available.
    fn refuse_all_callers(
        &mut self,
        now: Time,
        name: RequestName,
        customer: CustomerKey,
        upstreams: &[UpstreamKey],
        out: &mut Vec<RunCommand>,
    ) {
        let first_backoff_end = self.first_backoff_end(now, customer, upstreams);
        let backoff_left_ms = first_backoff_end.map_or(0, |at| at.remaining_ms(now));
        let in_service = |key: &UpstreamKey| self.upstreams.in_service(*key);
        let reason = match upstreams.iter().any(in_service) {
            true => RefusalReason::Overloaded,
            false => RefusalReason::Leaving,
        };
        let refusal = self.refusal(reason, u32::try_from(backoff_left_ms).unwrap_or(u32::MAX));
        self.end_as_not_run(now, name, refusal, "no upstream is available", out);
    }

    pub(super) fn on_retry_timer(
        &mut self,
        now: Time,
        name: RequestName,
        out: &mut Vec<RunCommand>,
    ) {
        let Some(entry) = self.requests.get(name) else {
            return;
        };
        if matches!(entry.state, RunState::Waiting(at) if at <= now) {
            self.dispatch(now, name, out);
        }
    }

    /// Handles the outcome of the dispatch `sub_request`.
    pub(super) fn handle_outcome(
        &mut self,
        now: Time,
        sub_request: PendingDispatch,
        outcome: SubRequestOutcome,
        out: &mut Vec<RunCommand>,
    ) {
        let name = sub_request.name;
        match outcome {
            SubRequestOutcome::Answered { body, .. } => {
                self.upstreams
                    .record_answer(now, sub_request.upstream, sub_request.sent_at);
                self.end_request(
                    now,
                    name,
                    RunOutcome::Done { body },
                    "the upstream answered",
                    out,
                );
            }
            SubRequestOutcome::Failed => {
                self.upstreams.record_failure(now, sub_request.upstream);
                self.end_request(
                    now,
                    name,
                    RunOutcome::Unknown,
                    "the upstream failed or its answer was lost",
                    out,
                );
            }
            SubRequestOutcome::NotRun(refusal) => {
                let customer = self.entry_mut(name).customer;
                self.upstreams
                    .record_refusal(now, customer, sub_request.upstream, refusal);
                self.retry_or_end(now, name, refusal, out);
            }
            SubRequestOutcome::WrongSnapshot { .. } | SubRequestOutcome::WrongMap { .. } => {
                self.upstreams.record_decline(now, sub_request.upstream);
                let retry_after_ms = self.config.retry_after_min_ms;
                let refusal = self.refusal(RefusalReason::NotConfigured, retry_after_ms);
                self.retry_or_end(now, name, refusal, out);
            }
        }
    }

    /// Retries a request after an upstream has replied that it did not run the request. If a caller
    /// was already answered with `Unknown`, the request ends instead.
    fn retry_or_end(
        &mut self,
        now: Time,
        name: RequestName,
        refusal: Refusal,
        out: &mut Vec<RunCommand>,
    ) {
        let entry = self.entry_mut(name);
        if entry.answered_unknown {
            let outcome = RunOutcome::NotRun(refusal);
            return self.end_request(
                now,
                name,
                outcome,
                "the upstream did not run it after a caller was answered unknown",
                out,
            );
        }
        entry.state = RunState::Idle;
        if entry.callers.is_empty() {
            return;
        }
        self.dispatch(now, name, out);
    }

    /// Ends a request with a final outcome and answers all of its callers.
    fn end_request(
        &mut self,
        now: Time,
        name: RequestName,
        outcome: RunOutcome,
        why: &'static str,
        out: &mut Vec<RunCommand>,
    ) {
        let callers = std::mem::take(&mut self.entry_mut(name).callers);
        for caller in callers {
            self.calls.remove(&caller.id);
            self.answer(now, &caller, outcome.clone(), why, out);
        }
        self.requests.store_outcome(name, outcome);
        let keep_until = now + self.config.outcome_ttl_ms;
        let entry = self.entry_mut(name);
        entry.keep_until = entry.keep_until.max(keep_until);
    }

    /// Answers all callers of a request with `NotRun`. A repeat may still run the request.
    pub(super) fn end_as_not_run(
        &mut self,
        now: Time,
        name: RequestName,
        refusal: Refusal,
        why: &'static str,
        out: &mut Vec<RunCommand>,
    ) {
        let entry = self.entry_mut(name);
        debug_assert!(!matches!(
            entry.state,
            RunState::Running(_) | RunState::Ended(_)
        ));
        entry.state = RunState::Idle;
        let callers = std::mem::take(&mut entry.callers);
        for caller in callers {
            self.calls.remove(&caller.id);
            self.answer(now, &caller, RunOutcome::NotRun(refusal), why, out);
        }
    }
}
