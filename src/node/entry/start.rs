//! Starts callers' requests.

use std::sync::Arc;

use hemlockrouter_route::Query;
use hemlockrouter_route::RunIdentifier;
use hemlockrouter_route::RunRequest;
use hemlockrouter_types::prelude::*;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::oneshot;

use crate::node::entry::Entry;
use crate::node::entry::PendingRequest;
use crate::node::entry::PendingRequestKind;
use crate::node::CallerAnswer;
use crate::node::CallerRequest;
use crate::node::RequestIdentifier;
use crate::node::RequestKind;
use crate::tuning::TICKET_VALIDITY_MS;

/// Delay before a retry at an instance that is not ready, in milliseconds.
const NOT_READY_RETRY_AFTER_MS: u32 = 1_000;

/// Delay before a caller retries a request that a shutdown refuses, in milliseconds. Other
/// instances can serve it at once.
const SHUTDOWN_RETRY_AFTER_MS: u32 = 20;

impl Entry {
    /// Starts a request, or returns its answer if it can't be started.
    pub(super) fn start(
        &mut self,
        now: Time,
        id: QueryId,
        request: CallerRequest,
    ) -> Result<(), (CallerAnswer, oneshot::Sender<CallerAnswer>)> {
        let CallerRequest {
            bearer,
            kind,
            answer,
        } = request;
        if self.catalog.number == ConfigNumber::default() {
            return Err((
                refused_answer(RefusalReason::NotReady, NOT_READY_RETRY_AFTER_MS),
                answer,
            ));
        }
        let Some(customer) = self.names.customers.find(&bearer) else {
            return Err((CallerAnswer::Unauthorized, answer));
        };
        let left_ms = self.final_answers_at.map(|at| at.remaining_ms(now));
        if left_ms.is_some_and(|left_ms| !has_time(&kind, left_ms)) {
            log::info!(
                target: "decision",
                request = id.to_string(),
                left_ms = left_ms;
                "refused while shutting down"
            );
            return Err((
                refused_answer(RefusalReason::NotReady, SHUTDOWN_RETRY_AFTER_MS),
                answer,
            ));
        }
        if let Err(refusal) = self.admission.admit(now, customer) {
            return Err((CallerAnswer::Refused(refusal), answer));
        }
        let start_result = match kind {
            RequestKind::Search {
                search,
                query,
                deadline_ms,
                min_coverage,
            } => match self.names.searches.get(&(customer, search)) {
                None => Err(CallerAnswer::UnknownResource {
                    resource_kind: "search",
                }),
                Some(&search) => Ok(RequestStart {
                    kind: PendingRequestKind::Search(search),
                    body: query,
                    deadline: now + left_ms.map_or(deadline_ms, |left_ms| deadline_ms.min(left_ms)),
                    parameters: StartParameters::Search { min_coverage },
                }),
            },
            RequestKind::Run {
                operation,
                request,
                deadline_ms,
                identifier,
            } => match self.names.operations.get(&(customer, operation)) {
                None => Err(CallerAnswer::UnknownResource {
                    resource_kind: "operation",
                }),
                Some(&operation) => Ok(RequestStart {
                    kind: PendingRequestKind::Run(operation),
                    body: request,
                    deadline: now + deadline_ms,
                    parameters: StartParameters::Run { identifier },
                }),
            },
            RequestKind::Ticket { operation } => Err(self.ticket(now, customer, operation)),
        };
        match start_result {
            Ok(start) => {
                self.start_pending(now, id, customer, start, answer);
                Ok(())
            }
            Err(refusal) => {
                self.admission.finish(customer);
                Err((refusal, answer))
            }
        }
    }

    fn ticket(&mut self, now: Time, customer: CustomerKey, operation: String) -> CallerAnswer {
        match self.names.operations.get(&(customer, operation)) {
            None => CallerAnswer::UnknownResource {
                resource_kind: "operation",
            },
            Some(&operation) => CallerAnswer::Ticket {
                ticket: self.runner.issue_ticket(now, customer, operation),
                expires_in_ms: TICKET_VALIDITY_MS,
            },
        }
    }

    fn start_pending(
        &mut self,
        now: Time,
        id: QueryId,
        customer: CustomerKey,
        start: RequestStart,
        answer: oneshot::Sender<CallerAnswer>,
    ) {
        let body: Arc<[u8]> = Arc::from(start.body);
        let pending = PendingRequest {
            started_at: now,
            customer,
            kind: start.kind,
            body: Arc::clone(&body),
            deadline: start.deadline,
            answer,
        };
        self.requests.insert(id, pending);
        match (start.kind, start.parameters) {
            (PendingRequestKind::Search(search), StartParameters::Search { min_coverage }) => {
                let query = Query {
                    id,
                    customer,
                    search,
                    deadline: start.deadline,
                    min_coverage,
                };
                self.searcher.start(now, query, &mut self.search_commands);
            }
            (PendingRequestKind::Run(operation), StartParameters::Run { identifier }) => {
                let run = RunRequest {
                    id,
                    customer,
                    operation,
                    identifier: match identifier {
                        RequestIdentifier::Ticket(ticket) => RunIdentifier::Ticket(ticket),
                        RequestIdentifier::Key(key) => RunIdentifier::Key(key),
                    },
                    body_hash: Sha256::digest(&body).into(),
                    deadline: start.deadline,
                };
                self.runner.start(now, run, &mut self.run_commands);
            }
            _ => unreachable!("the kind and its start are made together"),
        }
    }
}

/// Parameters of a request that is started.
struct RequestStart {
    kind: PendingRequestKind,
    body: Vec<u8>,
    deadline: Time,
    parameters: StartParameters,
}

enum StartParameters {
    Search { min_coverage: Option<f64> },
    Run { identifier: RequestIdentifier },
}

/// Returns whether a request can end before the final answers of a shutdown, which are due in
/// `left_ms` milliseconds. A request that must not be repeated needs all of its time, since its
/// caller can't send it again once it may have run. A search may end with less coverage.
fn has_time(kind: &RequestKind, left_ms: u64) -> bool {
    match kind {
        RequestKind::Run { deadline_ms, .. } => *deadline_ms <= left_ms,
        RequestKind::Search { .. } | RequestKind::Ticket { .. } => left_ms > 0,
    }
}

fn refused_answer(reason: RefusalReason, retry_after_ms: u32) -> CallerAnswer {
    CallerAnswer::Refused(Refusal {
        reason,
        retry_after_ms,
    })
}
