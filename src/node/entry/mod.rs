//! The entry: accepts callers' requests, passes them to the searcher and the runner, and answers.

mod execute;
mod names;
mod start;

use std::collections::BTreeMap;
use std::sync::Arc;

use hemlockrouter_limit::Admission;
use hemlockrouter_route::ClaimResult;
use hemlockrouter_route::RunCommand;
use hemlockrouter_route::Runner;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_route::Searcher;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::ForwardedRun;
use hemlockrouter_wire::run::RunOutcome;
use hemlockrouter_wire::SubRequestReply;
use sha2::Digest;
use sha2::Sha256;
use stakker::call;
use stakker::Actor;
use stakker::MinTimerKey;
use stakker::CX;
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::node::control::Control;
use crate::node::entry::names::NameIndex;
use crate::node::operator::OperatorReply;
use crate::node::status::SharedStatus;
use crate::node::CallerAnswer;
use crate::node::CallerRequest;

/// Actor that serves callers.
pub(crate) struct Entry {
    clock: Clock,
    catalog: Arc<Catalog>,
    names: NameIndex,
    admission: Admission,
    searcher: Searcher,
    runner: Runner,
    control: Actor<Control>,
    metrics: Arc<Metrics>,
    /// Time at which a shutdown gives all requests their final answer; `None` without a shutdown.
    final_answers_at: Option<Time>,
    requests: BTreeMap<QueryId, PendingRequest>,
    /// Requests that other instances forwarded to this one, by the id that the sender gave them.
    forwarded: BTreeMap<QueryId, RunPayload>,
    search_commands: Vec<SearchCommand>,
    run_commands: Vec<RunCommand>,
    /// Number of sub-requests already added to the metrics, and how many of them were extra ones.
    counted_sub_requests: (u64, u64),
    timer: MinTimerKey,
}

/// Caller's request in flight.
struct PendingRequest {
    started_at: Time,
    customer: CustomerKey,
    kind: PendingRequestKind,
    body: Arc<[u8]>,
    deadline: Time,
    answer: oneshot::Sender<CallerAnswer>,
}

/// Part of a request that must not be repeated that is sent to the upstream's owner.
#[derive(Clone)]
struct RunPayload {
    customer: CustomerKey,
    operation: OperationKey,
    body: Arc<[u8]>,
}

#[derive(Clone, Copy)]
enum PendingRequestKind {
    Search(SearchKey),
    Run(OperationKey),
}

impl PendingRequestKind {
    /// Returns the label of the request's kind in the metrics.
    fn label(self) -> &'static str {
        match self {
            PendingRequestKind::Search(_) => "search",
            PendingRequestKind::Run(_) => "run",
        }
    }
}

impl Entry {
    /// Creates the actor.
    pub(crate) fn init(
        _: CX![],
        clock: Clock,
        admission: Admission,
        searcher: Searcher,
        runner: Runner,
        control: Actor<Control>,
        metrics: Arc<Metrics>,
    ) -> Option<Entry> {
        Some(Entry {
            clock,
            catalog: Arc::default(),
            names: NameIndex::default(),
            admission,
            searcher,
            runner,
            control,
            metrics,
            final_answers_at: None,
            requests: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            search_commands: Vec::new(),
            run_commands: Vec::new(),
            counted_sub_requests: (0, 0),
            timer: MinTimerKey::default(),
        })
    }

    /// Applies a new catalogue.
    pub(crate) fn configure(&mut self, cx: CX![], catalog: Arc<Catalog>) {
        let now = self.clock.now();
        self.names = NameIndex::new(&catalog);
        self.admission.configure(now, &catalog);
        self.searcher
            .configure(now, Arc::clone(&catalog), &mut self.search_commands);
        self.runner
            .configure(now, Arc::clone(&catalog), &mut self.run_commands);
        self.catalog = catalog;
        self.execute_commands(cx, now);
    }

    /// Accepts a caller's request.
    pub(crate) fn handle_request(&mut self, cx: CX![], id: QueryId, request: CallerRequest) {
        let now = self.clock.now();
        if let Err((answer, sender)) = self.start(now, id, request) {
            // Sending fails if the caller has disconnected, which needs no handling.
            let _ = sender.send(answer);
        }
        self.execute_commands(cx, now);
    }

    /// Handles a caller's disconnect. A search ends; a request that must not be repeated continues,
    /// since the caller may ask for its outcome again.
    pub(crate) fn handle_abandoned(&mut self, cx: CX![], id: QueryId) {
        let now = self.clock.now();
        if let Some(PendingRequest {
            kind: PendingRequestKind::Search(_),
            customer,
            ..
        }) = self.requests.get(&id)
        {
            let customer = *customer;
            self.searcher.abandon(now, id, &mut self.search_commands);
            self.requests.remove(&id);
            self.admission.finish(customer);
        }
        self.execute_commands(cx, now);
    }

    /// Handles the result of a sub-request. Searches and runs use separate halves of the id space,
    /// so the id shows which of the two sent the sub-request.
    pub(crate) fn handle_reply(&mut self, cx: CX![], reply: SubRequestReply) {
        let now = self.clock.now();
        if Runner::is_run_sub_request(reply.id) {
            self.runner.reply(now, reply, &mut self.run_commands);
        } else {
            self.searcher.reply(now, reply, &mut self.search_commands);
        }
        self.execute_commands(cx, now);
    }

    /// Handles a settled claim.
    pub(crate) fn handle_claim_result(&mut self, cx: CX![], id: QueryId, result: ClaimResult) {
        let now = self.clock.now();
        self.runner
            .handle_claim_result(now, id, result, &mut self.run_commands);
        self.execute_commands(cx, now);
    }

    /// Accepts a request that another instance forwards because only this one may run it.
    pub(crate) fn handle_forward(&mut self, cx: CX![], from: InstanceId, run: ForwardedRun) {
        let now = self.clock.now();
        let body_hash = Sha256::digest(&run.body).into();
        let deadline = now + u64::from(run.deadline_in_ms);
        let payload = RunPayload {
            customer: run.customer,
            operation: run.operation,
            body: Arc::from(run.body),
        };
        self.forwarded.insert(run.id, payload);
        self.runner.start_forwarded(
            now,
            from,
            run.id,
            run.customer,
            run.operation,
            run.ticket,
            body_hash,
            deadline,
            &mut self.run_commands,
        );
        self.execute_commands(cx, now);
    }

    /// Handles the outcome of a request that this instance forwarded.
    pub(crate) fn handle_forward_end(&mut self, cx: CX![], id: QueryId, outcome: RunOutcome) {
        let now = self.clock.now();
        self.runner
            .handle_forward_outcome(now, id, outcome, &mut self.run_commands);
        self.execute_commands(cx, now);
    }

    /// Handles expired timers.
    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = self.clock.now();
        self.searcher.tick(now, &mut self.search_commands);
        self.runner.tick(now, &mut self.run_commands);
        self.execute_commands(cx, now);
    }

    /// Explains where the sub-requests of a search would be sent now.
    pub(crate) fn explain(
        &mut self,
        _: CX![],
        customer: CustomerKey,
        search: SearchKey,
        reply: OperatorReply,
    ) {
        let now = self.clock.now();
        let choices = self.searcher.explain(now, customer, search);
        call!([self.control], handle_explanation(choices, reply));
    }

    /// Bounds the deadlines of new requests by the time of a shutdown's final answers.
    pub(crate) fn start_shutdown(&mut self, _: CX![], final_answers_at: Time) {
        self.final_answers_at = Some(final_answers_at);
    }

    /// Ends all callers' requests at the end of a shutdown. Each caller is told that the request may
    /// have run.
    pub(crate) fn answer_finally(&mut self, _: CX![]) {
        for (id, pending) in std::mem::take(&mut self.requests) {
            let request = id.to_string();
            let took_ms = self.clock.now().ms_since(pending.started_at);
            log::warn!(request = request, took_ms = took_ms; "final answer of a shutdown");
            self.admission.finish(pending.customer);
        }
    }

    /// Reports the number of requests that have not been answered.
    pub(crate) fn report_pending(&mut self, _: CX![], shared: Arc<SharedStatus>) {
        shared.set_entry_pending(self.requests.len() + self.forwarded.len());
    }
}
