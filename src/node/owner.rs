//! The owner of upstreams: receives sub-requests, passes them to the limiter and calls upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hemlockrouter_limit::Command;
use hemlockrouter_limit::DispatchOutcome;
use hemlockrouter_limit::Limiter;
use hemlockrouter_limit::SubRequest;
use hemlockrouter_types::catalog::Customer;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::RunSubRequest;
use hemlockrouter_wire::SearchBatch;
use hemlockrouter_wire::SubRequestOutcome;
use hemlockrouter_wire::SubRequestReply;
use log::debug;
use stakker::call;
use stakker::timer_min;
use stakker::Actor;
use stakker::MinTimerKey;
use stakker::CX;

use crate::log_line;
use crate::metrics::Metrics;
use crate::node::control::Control;
use crate::node::operator::OperatorReply;
use crate::node::refusal::refused_outcome;
use crate::node::status::SharedStatus;
use crate::node::status::Status;
use crate::node::status::UpstreamLimits;
use crate::outbound::upstreams::CallEnded;
use crate::outbound::upstreams::CallKind;
use crate::outbound::upstreams::UpstreamCall;
use crate::outbound::upstreams::Upstreams;

/// Actor that owns upstreams and limits the calls to them.
pub(crate) struct Owner {
    clock: Clock,
    catalog: Arc<Catalog>,
    limiter: Limiter,
    upstreams: Upstreams,
    control: Actor<Control>,
    metrics: Arc<Metrics>,
    /// Sub-requests that were offered to the limiter and have not ended.
    sub_requests: BTreeMap<SubRequestId, OwnedSubRequest>,
    commands: Vec<Command>,
    timer: MinTimerKey,
}

/// Sub-request that was offered to the limiter and has not ended.
struct OwnedSubRequest {
    offered_at: Time,
    dispatched_at: Option<Time>,
    /// Content of the call; `None` after the dispatch.
    kind: Option<CallKind>,
}

impl Owner {
    /// Creates the actor.
    pub(crate) fn init(
        _: CX![],
        clock: Clock,
        limiter: Limiter,
        upstreams: Upstreams,
        control: Actor<Control>,
        metrics: Arc<Metrics>,
    ) -> Option<Owner> {
        Some(Owner {
            clock,
            catalog: Arc::default(),
            limiter,
            upstreams,
            control,
            metrics,
            sub_requests: BTreeMap::new(),
            commands: Vec::new(),
            timer: MinTimerKey::default(),
        })
    }

    /// Applies a new catalogue.
    pub(crate) fn configure(&mut self, cx: CX![], catalog: Arc<Catalog>) {
        let now = self.clock.now();
        self.limiter.configure(now, &catalog, &mut self.commands);
        self.catalog = catalog;
        self.execute_commands(cx, now);
    }

    /// Records that the lease on `upstream` is held until `until`.
    pub(crate) fn hold_lease(&mut self, cx: CX![], upstream: UpstreamKey, until: Time) {
        let now = self.clock.now();
        self.limiter
            .record_lease(now, upstream, until, &mut self.commands);
        self.execute_commands(cx, now);
    }

    /// Records that the lease on `upstream` was released.
    pub(crate) fn release_lease(&mut self, cx: CX![], upstream: UpstreamKey) {
        let now = self.clock.now();
        self.limiter
            .release_lease(now, upstream, &mut self.commands);
        self.execute_commands(cx, now);
    }

    /// Accepts the sub-requests of a search.
    pub(crate) fn search(&mut self, cx: CX![], batch: SearchBatch) {
        let now = self.clock.now();
        let refusal = self.check_search(&batch);
        let query: Arc<[u8]> = Arc::from(&batch.body[..]);
        for sub in &batch.subs {
            let id = SubRequestId {
                origin: batch.query.origin,
                seq: sub.seq,
            };
            if let Some(outcome) = &refusal {
                self.reply(cx, id, outcome.clone(), 0, 0);
                continue;
            }
            let Some((kind, weight)) = self.search_call(&batch, sub.shard, &query) else {
                self.reply(cx, id, refused_outcome(RefusalReason::NotConfigured), 0, 0);
                continue;
            };
            let work = SubRequest {
                id,
                customer: batch.customer,
                upstream: sub.upstream,
                weight,
                deadline: now + u64::from(batch.deadline_in_ms),
                non_repeatable: false,
            };
            self.offer(now, work, kind);
        }
        self.execute_commands(cx, now);
    }

    /// Returns the outcome for all sub-requests of `batch` if they must be refused.
    fn check_search(&self, batch: &SearchBatch) -> Option<SubRequestOutcome> {
        if self.catalog.number < batch.config {
            return Some(refused_outcome(RefusalReason::NotConfigured));
        }
        let search = self.catalog.searches.get(batch.search)?;
        (search.map != batch.map).then_some(SubRequestOutcome::WrongMap { map: search.map })
    }

    fn search_call(
        &self,
        batch: &SearchBatch,
        shard: ShardNo,
        query: &Arc<[u8]>,
    ) -> Option<(CallKind, u32)> {
        let search = self.catalog.searches.get(batch.search)?;
        let kind = CallKind::Search {
            customer: self.customer(batch.customer)?.name.clone(),
            search: search.name.clone(),
            shard: search.shards.get(usize::from(shard.0))?.name.clone(),
            snapshot: batch.snapshot,
            map: batch.map,
            query: Arc::clone(query),
        };
        Some((kind, search.weight))
    }

    fn customer(&self, key: CustomerKey) -> Option<&Customer> {
        self.catalog.customers.get(key)
    }

    /// Accepts a sub-request that must not be repeated.
    pub(crate) fn run(&mut self, cx: CX![], sub: RunSubRequest) {
        let now = self.clock.now();
        let id = sub.id;
        let deadline = now + u64::from(sub.deadline_in_ms);
        if self.catalog.number < sub.config {
            self.reply(cx, id, refused_outcome(RefusalReason::NotConfigured), 0, 0);
            return;
        }
        let operation_and_customer = self
            .catalog
            .operations
            .get(sub.operation)
            .zip(self.customer(sub.customer));
        let Some((operation, customer)) = operation_and_customer else {
            self.reply(cx, id, refused_outcome(RefusalReason::NotConfigured), 0, 0);
            return;
        };
        let kind = CallKind::Run {
            customer: customer.name.clone(),
            operation: operation.name.clone(),
            run_id: sub.run_id,
            request: Arc::from(sub.body),
        };
        let work = SubRequest {
            id,
            customer: sub.customer,
            upstream: sub.upstream,
            weight: operation.weight,
            deadline,
            non_repeatable: true,
        };
        self.offer(now, work, kind);
        self.execute_commands(cx, now);
    }

    /// Offers work to the limiter. A duplicate of a known sub-request is ignored.
    fn offer(&mut self, now: Time, work: SubRequest, kind: CallKind) {
        if self.sub_requests.contains_key(&work.id) {
            return;
        }
        let sub = OwnedSubRequest {
            offered_at: now,
            dispatched_at: None,
            kind: Some(kind),
        };
        self.sub_requests.insert(work.id, sub);
        self.limiter.offer(now, work, &mut self.commands);
    }

    /// Cancels sub-requests whose answer is no longer needed.
    pub(crate) fn cancel(&mut self, cx: CX![], ids: Vec<SubRequestId>) {
        let now = self.clock.now();
        for id in ids {
            if self.sub_requests.contains_key(&id) {
                self.limiter.cancel(now, id, &mut self.commands);
            }
        }
        self.execute_commands(cx, now);
    }

    /// Handles the end of a call to an upstream.
    pub(crate) fn handle_call_end(&mut self, cx: CX![], call: CallEnded) {
        let now = self.clock.now();
        self.upstreams.record_call_end();
        self.finish_call(cx, now, call);
        self.execute_commands(cx, now);
    }

    fn finish_call(&mut self, cx: CX![], now: Time, call: CallEnded) {
        let sub = self
            .sub_requests
            .remove(&call.id)
            .expect("a call ends once");
        let dispatched_at = sub.dispatched_at.expect("only dispatched calls end");
        let queued_ms = saturating_ms(dispatched_at.ms_since(sub.offered_at));
        let ended = outcome_label(call.ended);
        self.metrics.count_dispatch(ended);
        debug!(id = call.id.to_string(), ended = ended, served_ms = call.served_ms; "ended");
        self.limiter
            .finish(now, call.id, call.ended, &mut self.commands);
        self.reply(cx, call.id, call.outcome, queued_ms, call.served_ms);
    }

    /// Handles expired timers.
    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = self.clock.now();
        self.limiter.tick(now, &mut self.commands);
        self.execute_commands(cx, now);
    }

    /// Adds the limits of the upstreams owned here to the status, and sends the status to an
    /// operator.
    pub(crate) fn add_status(&mut self, _: CX![], mut status: Status, reply: OperatorReply) {
        for row in &mut status.upstreams {
            if row.owned_here {
                row.limits = self.limiter.status(row.key).map(UpstreamLimits::from);
            }
        }
        reply.send(status.answer());
    }

    /// Reports the number of sub-requests that have not ended.
    pub(crate) fn report_pending(&mut self, _: CX![], shared: Arc<SharedStatus>) {
        shared.set_owner_pending(self.sub_requests.len());
    }

    /// Executes the limiter's commands.
    fn execute_commands(&mut self, cx: CX![], now: Time) {
        while !self.commands.is_empty() {
            for command in std::mem::take(&mut self.commands) {
                self.execute_command(cx, now, command);
            }
        }
        if let Some(wake_at) = self.limiter.next_wake() {
            let wait = Duration::from_millis(wake_at.remaining_ms(now).max(1));
            timer_min!(&mut self.timer, Instant::now() + wait, [cx], tick());
        }
    }

    fn execute_command(&mut self, cx: CX![], now: Time, command: Command) {
        match command {
            Command::Dispatch {
                id,
                upstream,
                lease_until,
                deadline,
            } => self.dispatch(cx, now, id, upstream, lease_until, deadline),
            Command::Refuse { id, refusal } => {
                if let Some(sub) = self.sub_requests.remove(&id) {
                    let queued_ms = saturating_ms(now.ms_since(sub.offered_at));
                    self.reply(cx, id, SubRequestOutcome::NotRun(refusal), queued_ms, 0);
                }
            }
            Command::CancelAtUpstream { id, upstream } => {
                if let Some(address) = self.address(upstream) {
                    self.upstreams.cancel(UpstreamCall {
                        id,
                        address,
                        kind: CallKind::Cancel,
                        lease_until: Time::MAX,
                        deadline: now + 1_000,
                    });
                }
            }
            Command::Decision(decision) => log_line::decision("owner", &decision),
        }
    }

    fn dispatch(
        &mut self,
        cx: CX![],
        now: Time,
        id: SubRequestId,
        upstream: UpstreamKey,
        lease_until: Time,
        deadline: Time,
    ) {
        let address = self.address(upstream);
        let sub = self
            .sub_requests
            .get_mut(&id)
            .expect("only offered work is dispatched");
        sub.dispatched_at = Some(now);
        let kind = sub.kind.take().expect("work is dispatched once");
        let Some(address) = address else {
            let outcome = CallEnded::not_sent(id, RefusalReason::NotConfigured);
            self.finish_call(cx, now, outcome);
            return;
        };
        debug!(id = id.to_string(), upstream = upstream.raw(); "dispatched");
        let call = UpstreamCall {
            id,
            address,
            kind,
            lease_until,
            deadline,
        };
        if !self.upstreams.call(call) {
            self.finish_call(cx, now, CallEnded::not_sent(id, RefusalReason::Overloaded));
        }
    }

    fn address(&self, upstream: UpstreamKey) -> Option<std::net::SocketAddr> {
        self.catalog
            .upstreams
            .get(upstream)
            .map(|upstream| upstream.address)
    }

    fn reply(
        &self,
        _: CX![],
        id: SubRequestId,
        outcome: SubRequestOutcome,
        queued_ms: u32,
        served_ms: u32,
    ) {
        let reply = SubRequestReply {
            id,
            outcome,
            queued_ms,
            served_ms,
        };
        call!([self.control], reply(reply));
    }
}

/// Returns the label of a call's outcome in the metrics.
fn outcome_label(ended: DispatchOutcome) -> &'static str {
    match ended {
        DispatchOutcome::Answered { .. } => "answered",
        DispatchOutcome::Shed { .. } => "shed",
        DispatchOutcome::Leaving => "leaving",
        DispatchOutcome::Unreachable => "unreachable",
        DispatchOutcome::TimedOut => "timed_out",
        DispatchOutcome::ConnectionBroken => "broken",
        DispatchOutcome::Failed => "failed",
        DispatchOutcome::NotSent => "not_sent",
        DispatchOutcome::Cancelled => "cancelled",
    }
}

fn saturating_ms(ms: u64) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}
