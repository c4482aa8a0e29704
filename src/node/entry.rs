//! The entry: takes callers' requests, lets the searcher and the runner decide, and answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_config::KeyIndex;
use hemlockrouter_limit::Admission;
use hemlockrouter_route::ClaimResult;
use hemlockrouter_route::Query;
use hemlockrouter_route::Run;
use hemlockrouter_route::RunCommand;
use hemlockrouter_route::Runner;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_route::Searcher;
use hemlockrouter_route::Via;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::ForwardEnded;
use hemlockrouter_wire::run::ForwardRun;
use hemlockrouter_wire::run::RunMessage;
use hemlockrouter_wire::run::RunOutcome;
use hemlockrouter_wire::Cancel;
use hemlockrouter_wire::Message;
use hemlockrouter_wire::RunSub;
use hemlockrouter_wire::SearchBatch;
use hemlockrouter_wire::SearchSub;
use hemlockrouter_wire::SubOutcome;
use hemlockrouter_wire::SubReply;
use sha2::Digest;
use sha2::Sha256;
use stakker::call;
use stakker::timer_min;
use stakker::Actor;
use stakker::MinTimerKey;
use stakker::CX;
use tokio::sync::oneshot;

use crate::log_line;
use crate::metrics::Metrics;
use crate::node::control::Control;
use crate::node::operator::OperatorReply;
use crate::node::status::Shared;
use crate::node::CallerAnswer;
use crate::node::CallerRequest;
use crate::node::RequestKind;
use crate::node::RunVia;
use crate::tuning::TICKET_MS;

/// When to come back to an instance that is not ready, in milliseconds.
const NOT_READY_RETRY_MS: u32 = 1_000;

/// The actor that serves callers.
pub(crate) struct Entry {
    clock: Clock,
    catalog: Arc<Catalog>,
    names: Names,
    admission: Admission,
    searcher: Searcher,
    runner: Runner,
    control: Actor<Control>,
    metrics: Arc<Metrics>,
    requests: BTreeMap<QueryId, Pending>,
    /// Requests that other instances forwarded here, by the id under which they did.
    forwarded: BTreeMap<QueryId, RunWork>,
    search_commands: Vec<SearchCommand>,
    run_commands: Vec<RunCommand>,
    /// How many sub-requests were counted, and how many of them were extra ones.
    counted: (u64, u64),
    timer: MinTimerKey,
}

/// A caller's request under way.
struct Pending {
    started_at: Time,
    customer: CustomerKey,
    kind: PendingKind,
    body: Arc<[u8]>,
    deadline: Time,
    answer: oneshot::Sender<CallerAnswer>,
}

/// What is sent on of a request that must not be repeated.
#[derive(Clone)]
struct RunWork {
    customer: CustomerKey,
    operation: OperationKey,
    body: Arc<[u8]>,
}

#[derive(Clone, Copy)]
enum PendingKind {
    Search(SearchKey),
    Run(OperationKey),
}

impl PendingKind {
    /// The value of the metrics' label.
    fn label(self) -> &'static str {
        match self {
            PendingKind::Search(_) => "search",
            PendingKind::Run(_) => "run",
        }
    }
}

/// Names of the catalogue, by which callers ask.
#[derive(Default)]
struct Names {
    customers: KeyIndex,
    searches: BTreeMap<(CustomerKey, String), SearchKey>,
    operations: BTreeMap<(CustomerKey, String), OperationKey>,
}

impl Names {
    fn new(catalog: &Catalog) -> Names {
        let searches = catalog.searches.iter();
        let operations = catalog.operations.iter();
        Names {
            customers: KeyIndex::new(catalog),
            searches: searches
                .map(|(key, s)| ((s.customer, s.name.clone()), key))
                .collect(),
            operations: operations
                .map(|(key, o)| ((o.customer, o.name.clone()), key))
                .collect(),
        }
    }
}

impl Entry {
    /// Makes the actor.
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
            names: Names::default(),
            admission,
            searcher,
            runner,
            control,
            metrics,
            requests: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            search_commands: Vec::new(),
            run_commands: Vec::new(),
            counted: (0, 0),
            timer: MinTimerKey::default(),
        })
    }

    /// Takes a new catalogue.
    pub(crate) fn configure(&mut self, cx: CX![], catalog: Arc<Catalog>) {
        let now = self.clock.now();
        self.names = Names::new(&catalog);
        self.admission.configure(now, &catalog);
        self.searcher
            .configure(now, Arc::clone(&catalog), &mut self.search_commands);
        self.runner
            .configure(now, Arc::clone(&catalog), &mut self.run_commands);
        self.catalog = catalog;
        self.execute(cx, now);
    }

    /// Takes a request of a caller.
    pub(crate) fn request(&mut self, cx: CX![], id: QueryId, request: CallerRequest) {
        let now = self.clock.now();
        if let Err((answer, sender)) = self.start(now, id, request) {
            // The caller may have gone away.
            let _ = sender.send(answer);
        }
        self.execute(cx, now);
    }

    /// Starts a request, or returns its answer if it can't be started.
    fn start(
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
            return Err((refused(Reason::NotReady, NOT_READY_RETRY_MS), answer));
        }
        let Some(customer) = self.names.customers.find(&bearer) else {
            return Err((CallerAnswer::Unauthorized, answer));
        };
        if let Err(refusal) = self.admission.admit(now, customer) {
            return Err((CallerAnswer::Refused(refusal), answer));
        }
        let started = match kind {
            RequestKind::Search {
                search,
                query,
                deadline_ms,
                min_coverage,
            } => match self.names.searches.get(&(customer, search)) {
                None => Err(CallerAnswer::UnknownName { what: "search" }),
                Some(&search) => Ok(Start {
                    kind: PendingKind::Search(search),
                    body: query,
                    deadline: now + deadline_ms,
                    with: StartWith::Search { min_coverage },
                }),
            },
            RequestKind::Run {
                operation,
                request,
                deadline_ms,
                via,
            } => match self.names.operations.get(&(customer, operation)) {
                None => Err(CallerAnswer::UnknownName { what: "operation" }),
                Some(&operation) => Ok(Start {
                    kind: PendingKind::Run(operation),
                    body: request,
                    deadline: now + deadline_ms,
                    with: StartWith::Run { via },
                }),
            },
            RequestKind::Ticket { operation } => Err(self.ticket(now, customer, operation)),
        };
        match started {
            Ok(start) => {
                self.start_pending(now, id, customer, start, answer);
                Ok(())
            }
            Err(refusal) => {
                self.admission.done(customer);
                Err((refusal, answer))
            }
        }
    }

    fn ticket(&mut self, now: Time, customer: CustomerKey, operation: String) -> CallerAnswer {
        match self.names.operations.get(&(customer, operation)) {
            None => CallerAnswer::UnknownName { what: "operation" },
            Some(&operation) => CallerAnswer::Ticket {
                ticket: self.runner.issue(now, customer, operation),
                expires_in_ms: TICKET_MS,
            },
        }
    }

    fn start_pending(
        &mut self,
        now: Time,
        id: QueryId,
        customer: CustomerKey,
        start: Start,
        answer: oneshot::Sender<CallerAnswer>,
    ) {
        let body: Arc<[u8]> = Arc::from(start.body);
        let pending = Pending {
            started_at: now,
            customer,
            kind: start.kind,
            body: Arc::clone(&body),
            deadline: start.deadline,
            answer,
        };
        self.requests.insert(id, pending);
        match (start.kind, start.with) {
            (PendingKind::Search(search), StartWith::Search { min_coverage }) => {
                let query = Query {
                    id,
                    customer,
                    search,
                    deadline: start.deadline,
                    min_coverage,
                };
                self.searcher.start(now, query, &mut self.search_commands);
            }
            (PendingKind::Run(operation), StartWith::Run { via }) => {
                let run = Run {
                    id,
                    customer,
                    operation,
                    via: match via {
                        RunVia::Ticket(ticket) => Via::Ticket(ticket),
                        RunVia::Key(key) => Via::Key(key),
                    },
                    body_hash: Sha256::digest(&body).into(),
                    deadline: start.deadline,
                };
                self.runner.start(now, run, &mut self.run_commands);
            }
            _ => unreachable!("the kind and its start are made together"),
        }
    }

    /// Notes that a caller went away. A search ends; a request that must not be repeated goes on,
    /// since its outcome may be asked for again.
    pub(crate) fn abandoned(&mut self, cx: CX![], id: QueryId) {
        let now = self.clock.now();
        if let Some(Pending {
            kind: PendingKind::Search(_),
            customer,
            ..
        }) = self.requests.get(&id)
        {
            let customer = *customer;
            self.searcher.abandon(now, id, &mut self.search_commands);
            self.requests.remove(&id);
            self.admission.done(customer);
        }
        self.execute(cx, now);
    }

    /// Takes the end of a sub-request. The ids of searches and of runs are drawn from separate
    /// halves, so each finds its own.
    pub(crate) fn reply(&mut self, cx: CX![], reply: SubReply) {
        let now = self.clock.now();
        if Runner::sent(reply.id) {
            self.runner.reply(now, reply, &mut self.run_commands);
        } else {
            self.searcher.reply(now, reply, &mut self.search_commands);
        }
        self.execute(cx, now);
    }

    /// Takes a settled claim.
    pub(crate) fn claimed(&mut self, cx: CX![], id: QueryId, result: ClaimResult) {
        let now = self.clock.now();
        self.runner.claimed(now, id, result, &mut self.run_commands);
        self.execute(cx, now);
    }

    /// Takes a request that another instance forwards because this one may run it.
    pub(crate) fn forward(&mut self, cx: CX![], from: InstanceId, run: ForwardRun) {
        let now = self.clock.now();
        let body_hash = Sha256::digest(&run.body).into();
        let deadline = now + u64::from(run.deadline_in_ms);
        let work = RunWork {
            customer: run.customer,
            operation: run.operation,
            body: Arc::from(run.body),
        };
        self.forwarded.insert(run.id, work);
        self.runner.forwarded(
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
        self.execute(cx, now);
    }

    /// Takes the end of a request that this instance forwarded.
    pub(crate) fn forward_ended(&mut self, cx: CX![], id: QueryId, outcome: RunOutcome) {
        let now = self.clock.now();
        self.runner
            .forward_ended(now, id, outcome, &mut self.run_commands);
        self.execute(cx, now);
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = self.clock.now();
        self.searcher.tick(now, &mut self.search_commands);
        self.runner.tick(now, &mut self.run_commands);
        self.execute(cx, now);
    }

    /// Explains where the sub-requests of a search would go now.
    pub(crate) fn explain(
        &mut self,
        _: CX![],
        customer: CustomerKey,
        search: SearchKey,
        reply: OperatorReply,
    ) {
        let now = self.clock.now();
        let choices = self.searcher.explain(now, customer, search);
        call!([self.control], explained(choices, reply));
    }

    /// Tells how many requests have not been answered.
    pub(crate) fn tell_pending(&mut self, _: CX![], shared: Arc<Shared>) {
        shared.set_entry_pending(self.requests.len() + self.forwarded.len());
    }

    /// Carries out what was decided.
    fn execute(&mut self, cx: CX![], now: Time) {
        while !self.search_commands.is_empty() || !self.run_commands.is_empty() {
            let commands = std::mem::take(&mut self.search_commands);
            self.execute_searches(now, commands);
            for command in std::mem::take(&mut self.run_commands) {
                self.execute_run(now, command);
            }
        }
        let wakes = [self.searcher.next_wake(), self.runner.next_wake()];
        if let Some(at) = wakes.into_iter().flatten().min() {
            let wait = Duration::from_millis(at.left(now).max(1));
            timer_min!(&mut self.timer, Instant::now() + wait, [cx], tick());
        }
    }

    /// Carries out commands of the searcher; sub-requests of one plan are sent together.
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
                    let sub = SearchSub {
                        seq,
                        upstream,
                        shard,
                    };
                    let same = batches.last_mut().filter(|batch| {
                        batch.query == query && batch.snapshot == snapshot && batch.map == map
                    });
                    if let Some(batch) = same {
                        batch.subs.push(sub);
                        continue;
                    }
                    let Some(pending) = self.requests.get(&query) else {
                        continue;
                    };
                    let PendingKind::Search(search) = pending.kind else {
                        continue;
                    };
                    batches.push(SearchBatch {
                        query,
                        config,
                        customer: pending.customer,
                        search,
                        snapshot,
                        map,
                        deadline_in_ms: left_ms(deadline, now),
                        body: pending.body.to_vec(),
                        subs: vec![sub],
                    });
                }
                SearchCommand::Cancel { id, upstream } => {
                    call!([self.control], cancel(upstream, Cancel { ids: vec![id] }));
                }
                SearchCommand::Answer { query, answer } => {
                    self.answer(query, CallerAnswer::Search(answer));
                }
                SearchCommand::Refuse { query, refusal } => {
                    self.answer(query, CallerAnswer::Refused(refusal));
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
                call!([self.control], claim(id, key, claim));
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
                let Some(work) = self.run_work(query) else {
                    let reply = not_sent(id);
                    self.runner.reply(now, reply, &mut self.run_commands);
                    return;
                };
                let sub = RunSub {
                    id,
                    config,
                    customer: work.customer,
                    operation: work.operation,
                    upstream,
                    run_id,
                    deadline_in_ms: left_ms(deadline, now),
                    body: work.body.to_vec(),
                };
                call!([self.control], run(sub));
            }
            RunCommand::Answer { id, outcome, .. } => self.answer(id, CallerAnswer::Run(outcome)),
            RunCommand::ForwardAnswer { to, id, outcome } => {
                self.forwarded.remove(&id);
                let ended = RunMessage::Ended(ForwardEnded { id, outcome });
                call!([self.control], send(to, Message::Forward(ended)));
            }
            RunCommand::Decision(decision) => log_line::decision("entry", &decision),
        }
    }

    /// Returns what is sent on of the request `id`, of a caller or of another instance.
    fn run_work(&self, id: QueryId) -> Option<RunWork> {
        if let Some(work) = self.forwarded.get(&id) {
            return Some(work.clone());
        }
        let pending = self.requests.get(&id)?;
        let PendingKind::Run(operation) = pending.kind else {
            return None;
        };
        Some(RunWork {
            customer: pending.customer,
            operation,
            body: Arc::clone(&pending.body),
        })
    }

    fn send_forward(&self, now: Time, id: QueryId, to: InstanceId, ticket: String) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let PendingKind::Run(operation) = pending.kind else {
            return;
        };
        let forward = ForwardRun {
            id,
            config: self.catalog.number,
            customer: pending.customer,
            operation,
            ticket,
            deadline_in_ms: left_ms(pending.deadline, now),
            body: pending.body.to_vec(),
        };
        call!(
            [self.control],
            send(to, Message::Forward(RunMessage::Forward(forward)))
        );
    }

    /// Answers a caller.
    fn answer(&mut self, id: QueryId, answer: CallerAnswer) {
        if let Some(pending) = self.requests.remove(&id) {
            self.admission.done(pending.customer);
            let took_ms = self.clock.now().since(pending.started_at);
            self.metrics
                .request(pending.kind.label(), answer.label(), took_ms);
            // The caller may have gone away.
            let _ = pending.answer.send(answer);
        }
        self.count_sub_requests();
    }
}

impl Entry {
    /// Counts the sub-requests that were sent since the last count.
    fn count_sub_requests(&mut self) {
        let (sent, extra) = self.searcher.extra_load();
        let (sent_before, extra_before) = self.counted;
        let new_extra = extra - extra_before;
        self.metrics
            .sub_requests(sent - sent_before - new_extra, new_extra);
        self.counted = (sent, extra);
    }
}

/// What starts a request.
struct Start {
    kind: PendingKind,
    body: Vec<u8>,
    deadline: Time,
    with: StartWith,
}

enum StartWith {
    Search { min_coverage: Option<f64> },
    Run { via: RunVia },
}

/// The end of a sub-request that was never sent, since nobody waits for it any more.
fn not_sent(id: SubId) -> SubReply {
    let refusal = Refusal {
        reason: Reason::Cancelled,
        retry_after_ms: NOT_READY_RETRY_MS,
    };
    SubReply {
        id,
        outcome: SubOutcome::NotRun(refusal),
        queued_ms: 0,
        served_ms: 0,
    }
}

fn refused(reason: Reason, retry_after_ms: u32) -> CallerAnswer {
    CallerAnswer::Refused(Refusal {
        reason,
        retry_after_ms,
    })
}

/// Returns what is left until `deadline`, in milliseconds.
fn left_ms(deadline: Time, now: Time) -> u32 {
    u32::try_from(deadline.left(now)).unwrap_or(u32::MAX)
}
