//! Invariants that the model checks for each command of a runner.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::RunOutcome;

use super::events::Request;
use super::expected_result;
use super::Cluster;
use super::ModelCall;
use super::ModelDispatch;
use super::OUTCOME_TTL_MS;

impl Cluster {
    pub(super) fn check_dispatch(&self, query: QueryId, deadline: Time) {
        let call = &self.calls[&query];
        let refused = matches!(call.outcome, Some(RunOutcome::NotRun(_)));
        assert!(
            !refused,
            "a request is dispatched for a call that was answered NotRun: {call:?}"
        );
        assert!(self.now < deadline && deadline <= call.deadline);
        let answered_unknown = self.unknown_requests.contains(&call.request);
        assert!(
            !answered_unknown,
            "a request is dispatched after the answer Unknown: {call:?}"
        );
        for earlier in self.dispatches_of(call.request) {
            assert!(
                earlier.refused,
                "{earlier:?} may run, and is dispatched again"
            );
            assert_eq!(earlier.body, call.body);
        }
    }

    fn dispatches_of(&self, request: Request) -> impl Iterator<Item = &ModelDispatch> {
        self.dispatches
            .iter()
            .filter(move |sent| sent.request == request)
    }

    /// Checks a refusal by `instance`. Without the store, an instance knows only its own
    /// dispatches of a request with an idempotency key.
    pub(super) fn check_not_run(&self, instance: InstanceId, request: Request, refusal: Refusal) {
        let mut may_have_run = self.dispatches_of(request).filter(|sent| !sent.refused);
        let lacks_store = matches!(request, Request::Key(_))
            && matches!(
                refusal.reason,
                RefusalReason::StoreDown | RefusalReason::Deadline | RefusalReason::Overloaded
            );
        let false_refusal = may_have_run.find(|sent| {
            let remembered = sent.instance == instance && self.now < sent.sent_at + OUTCOME_TTL_MS;
            remembered || !lacks_store
        });
        assert!(
            false_refusal.is_none(),
            "a request that may have run is answered NotRun: {false_refusal:?}, {refusal}"
        );
    }

    /// Records the outcome `Unknown` of an instance that dispatched the request itself.
    pub(super) fn record_unknown(
        &mut self,
        instance: InstanceId,
        request: Request,
        outcome: &RunOutcome,
    ) {
        let is_own_dispatch = |sent: &ModelDispatch| sent.instance == instance && !sent.refused;
        let may_have_run = self.dispatches_of(request).any(is_own_dispatch);
        if may_have_run && *outcome == RunOutcome::Unknown {
            self.unknown_requests.push(request);
        }
    }

    pub(super) fn check_answer(&mut self, id: QueryId, outcome: RunOutcome) {
        let call = self.calls.get_mut(&id).expect("only calls are answered");
        assert_eq!(call.outcome, None, "one answer for each call");
        assert!(self.now <= call.deadline, "answered after the deadline");
        call.outcome = Some(outcome.clone());
        let request = call.request;
        let forwarded = call.forwarded;
        // Only the issuer of a ticket knows whether its request ran.
        let issued_elsewhere = matches!(request, Request::Ticket(number)
            if self.tickets[number].instance != id.origin);
        if !forwarded && !issued_elsewhere {
            self.record_unknown(id.origin, request, &outcome);
        }
        let call = &self.calls[&id];
        let may_have_run = self.dispatches_of(call.request).any(|sent| !sent.refused);
        match outcome {
            RunOutcome::Done { body } => {
                assert_eq!(body, expected_result(call.request));
                let run = self.dispatches_of(call.request).find(|sent| sent.ran);
                assert_eq!(
                    run.expect("a request with outcome Done has run").body,
                    call.body
                );
            }
            RunOutcome::NotRun(refusal) if !call.forwarded => {
                self.check_not_run(id.origin, call.request, refusal);
            }
            RunOutcome::NotRun(_) => (),
            RunOutcome::Unknown => {
                // The request may still run for another caller.
                let has_waiting_call =
                    |other: &ModelCall| other.request == call.request && other.outcome.is_none();
                let has_waiting_call = self.calls.values().any(has_waiting_call);
                let state_dropped = self.calls.values().any(|other| {
                    other.request == call.request && other.started + OUTCOME_TTL_MS <= self.now
                });
                let ticket_expired = matches!(request, Request::Ticket(number)
                    if self.tickets[number].issued_at + OUTCOME_TTL_MS <= self.now);
                let state_dropped = state_dropped || ticket_expired;
                assert!(
                    may_have_run
                        || has_waiting_call
                        || issued_elsewhere
                        || forwarded
                        || state_dropped,
                    "a request that can't have run is answered Unknown: {call:?}"
                );
            }
            RunOutcome::Conflict => {
                let others = self
                    .calls
                    .values()
                    .filter(|other| other.request == call.request);
                let mut others = others.filter(|other| other.body != call.body);
                assert!(others.next().is_some(), "{call:?}");
            }
        }
    }
}
