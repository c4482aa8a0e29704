//! Sending a request to an upstream and handling the reply.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;
use hemlockrouter_wire::SubOutcome;

use super::memory::Name;
use super::memory::State;
use super::Due;
use super::RunCommand;
use super::Runner;
use super::Sub;
use crate::choose::Unavailability;

/// Maximum number of upstreams that are used for an operation, since positions are stored in a
/// 64-bit mask.
const MAX_UPSTREAMS: usize = 64;

/// Destination of a dispatch.
struct Target {
    /// The caller whose body is sent: the one with the latest deadline.
    query: QueryId,
    upstream: UpstreamKey,
    /// The position of `upstream` in the operation's list.
    place: usize,
    deadline: Time,
}

impl Runner {
    /// Dispatches a request that has not run to the best upstream. If none is available, the
    /// request waits for the first upstream whose backoff ends in time, or its callers are refused.
    pub(super) fn dispatch(&mut self, now: Time, name: Name, out: &mut Vec<RunCommand>) {
        let entry = self.entry(name);
        assert!(
            !matches!(entry.state, State::Running(_) | State::Ended(_)) && !entry.told_unknown,
            "a request that may have run is never dispatched again"
        );
        let last = entry.callers.iter().max_by_key(|caller| caller.answer_at);
        let last = last.expect("a request is dispatched for a caller");
        let (query, answer_at) = (last.id, last.answer_at);
        let margin_ms = self.config.margin_ms.min(answer_at.left(now) / 10);
        let deadline = answer_at.before(margin_ms);
        let entry = self.entry(name);
        let (operation, tries, asked) = (entry.operation, entry.tries, entry.asked);
        let customer = entry.customer;
        let Some(operation) = self.catalog.operations.get(operation) else {
            let refusal = self.refusal(Reason::NotConfigured, self.config.retry_after_max_ms);
            return self.end_not_run(now, name, refusal, "the operation was withdrawn", out);
        };
        let upstreams = operation.upstreams.clone();
        if tries >= self.config.max_tries || deadline <= now {
            return self.refuse_all(now, name, customer, &upstreams, out);
        }
        let Some(place) = self.choose(now, customer, &upstreams, asked) else {
            return self.wait_or_refuse(now, name, customer, &upstreams, deadline, out);
        };
        let target = Target {
            query,
            upstream: upstreams[place],
            place,
            deadline,
        };
        self.send(now, name, target, out);
    }

    /// Selects an upstream. Upstreams that are not suspect come first, and among these the ones
    /// that were not tried before.
    fn choose(
        &mut self,
        now: Time,
        customer: CustomerKey,
        upstreams: &[UpstreamKey],
        asked: u64,
    ) -> Option<usize> {
        let mut tiers = [0_u64; 4];
        for (index, key) in upstreams.iter().enumerate().take(MAX_UPSTREAMS) {
            if self.upstreams.unavailability(now, customer, *key).is_some() {
                continue;
            }
            let bit = 1 << index;
            let tried = asked & bit != 0;
            let suspect = self.upstreams.is_suspect(now, *key);
            tiers[2 * usize::from(suspect) + usize::from(tried)] |= bit;
        }
        let best = tiers.iter().find(|tier| **tier != 0);
        let allowed = best.copied().unwrap_or(0);
        let may = |index: usize| index < MAX_UPSTREAMS && allowed & (1 << index) != 0;
        self.upstreams.choose(now, upstreams, &mut self.rng, may)
    }

    fn send(&mut self, now: Time, name: Name, target: Target, out: &mut Vec<RunCommand>) {
        let seq = self.next_seq;
        self.next_seq += 1;
        let keep_until = target.deadline + self.config.remember_ms;
        let entry = self.entry(name);
        // From here on the state must be kept until no caller can ask for the request any more.
        entry.keep_until = entry.keep_until.max(keep_until);
        entry.state = State::Running(seq);
        entry.tries += 1;
        entry.asked |= 1 << target.place;
        let sub = Sub {
            name,
            upstream: target.upstream,
            sent_at: now,
        };
        self.subs.insert(seq, sub);
        self.upstreams.record_sent(now, target.upstream);
        out.push(RunCommand::Dispatch {
            id: SubId {
                origin: self.origin,
                seq,
            },
            query: target.query,
            upstream: target.upstream,
            run_id: self.run_id(name),
            config: self.catalog.number,
            deadline: self
                .upstreams
                .owner_deadline(now, target.upstream, target.deadline),
        });
    }

    fn run_id(&self, name: Name) -> String {
        match name {
            Name::Ticket(nonce) => format!("t-{}-{nonce:016x}", self.origin),
            Name::Claim(claim) => format!("k-{}", claim.text()),
        }
    }

    fn wait_or_refuse(
        &mut self,
        now: Time,
        name: Name,
        customer: CustomerKey,
        upstreams: &[UpstreamKey],
        deadline: Time,
        out: &mut Vec<RunCommand>,
    ) {
        match self.back_at(now, customer, upstreams) {
            Some(at) if at < deadline => {
                self.entry(name).state = State::Waiting(at);
                self.timers.set(at, Due::Retry(name));
            }
            _ => self.refuse_all(now, name, customer, upstreams, out),
        }
    }

    /// Returns the time at which the first of `upstreams` ends its backoff.
    fn back_at(&self, now: Time, customer: CustomerKey, upstreams: &[UpstreamKey]) -> Option<Time> {
        let mut first: Option<Time> = None;
        for key in upstreams {
            if let Some(Unavailability::Backoff(until)) =
                self.upstreams.unavailability(now, customer, *key)
            {
                first = Some(first.map_or(until, |first| first.min(until)));
            }
        }
        first
    }

    /// Refuses all callers of a request for which no upstream is available.
    fn refuse_all(
        &mut self,
        now: Time,
        name: Name,
        customer: CustomerKey,
        upstreams: &[UpstreamKey],
        out: &mut Vec<RunCommand>,
    ) {
        let back_at = self.back_at(now, customer, upstreams);
        let wait_ms = back_at.map_or(0, |at| at.left(now));
        let in_service = |key: &UpstreamKey| self.upstreams.in_service(*key);
        let reason = match upstreams.iter().any(in_service) {
            true => Reason::Overloaded,
            false => Reason::Leaving,
        };
        let refusal = self.refusal(reason, u32::try_from(wait_ms).unwrap_or(u32::MAX));
        self.end_not_run(now, name, refusal, "no upstream is available", out);
    }

    pub(super) fn retry_due(&mut self, now: Time, name: Name, out: &mut Vec<RunCommand>) {
        let Some(entry) = self.memory.get(name) else {
            return;
        };
        if matches!(entry.state, State::Waiting(at) if at <= now) {
            self.dispatch(now, name, out);
        }
    }

    /// Handles the outcome of the dispatch `sub`.
    pub(super) fn take_outcome(
        &mut self,
        now: Time,
        sub: Sub,
        outcome: SubOutcome,
        out: &mut Vec<RunCommand>,
    ) {
        let name = sub.name;
        match outcome {
            SubOutcome::Answered { body, .. } => {
                self.upstreams.record_answer(now, sub.upstream, sub.sent_at);
                self.end(
                    now,
                    name,
                    RunOutcome::Done { body },
                    "the upstream answered",
                    out,
                );
            }
            SubOutcome::Failed => {
                self.upstreams.record_failure(now, sub.upstream);
                self.end(
                    now,
                    name,
                    RunOutcome::Unknown,
                    "the upstream failed or its answer was lost",
                    out,
                );
            }
            SubOutcome::NotRun(refusal) => {
                let customer = self.entry(name).customer;
                self.upstreams
                    .record_refusal(now, customer, sub.upstream, refusal);
                self.try_again(now, name, refusal, out);
            }
            SubOutcome::WrongSnapshot { .. } | SubOutcome::WrongMap { .. } => {
                self.upstreams.record_decline(now, sub.upstream);
                let wait_ms = self.config.retry_after_min_ms;
                let refusal = self.refusal(Reason::NotConfigured, wait_ms);
                self.try_again(now, name, refusal, out);
            }
        }
    }

    /// Retries a request after an upstream has replied that it did not run the request.
    fn try_again(&mut self, now: Time, name: Name, refusal: Refusal, out: &mut Vec<RunCommand>) {
        let entry = self.entry(name);
        if entry.told_unknown {
            let outcome = RunOutcome::NotRun(refusal);
            return self.end(
                now,
                name,
                outcome,
                "the upstream did not run it after a caller was answered unknown",
                out,
            );
        }
        entry.state = State::Idle;
        if entry.callers.is_empty() {
            return;
        }
        self.dispatch(now, name, out);
    }

    /// Ends a request with a final outcome and answers all of its callers.
    fn end(
        &mut self,
        now: Time,
        name: Name,
        outcome: RunOutcome,
        why: &'static str,
        out: &mut Vec<RunCommand>,
    ) {
        let callers = std::mem::take(&mut self.entry(name).callers);
        for caller in callers {
            self.calls.remove(&caller.id);
            self.answer(now, &caller, outcome.clone(), why, out);
        }
        self.memory.end(name, outcome);
        let keep_until = now + self.config.remember_ms;
        let entry = self.entry(name);
        entry.keep_until = entry.keep_until.max(keep_until);
    }

    /// Answers all callers of a request with `NotRun`. A repeat may still run the request.
    pub(super) fn end_not_run(
        &mut self,
        now: Time,
        name: Name,
        refusal: Refusal,
        why: &'static str,
        out: &mut Vec<RunCommand>,
    ) {
        let entry = self.entry(name);
        debug_assert!(!matches!(entry.state, State::Running(_) | State::Ended(_)));
        entry.state = State::Idle;
        let callers = std::mem::take(&mut entry.callers);
        for caller in callers {
            self.calls.remove(&caller.id);
            self.answer(now, &caller, RunOutcome::NotRun(refusal), why, out);
        }
    }
}
