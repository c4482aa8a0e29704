//! Searches: a fan-out over shards that is answered from one snapshot.
//!
//! A plan fixes one snapshot and one shard map, and every sub-request carries both. An answer from
//! another snapshot or map is never merged. If time allows, the plan moves to a snapshot that all
//! shards can serve. Otherwise the answer leaves these shards out and lists them as missing. The
//! slowest shard determines the latency of the whole search, so a straggler is hedged: a second
//! sub-request goes to another replica, within a budget of extra load ("The Tail at Scale").
//!
//! - `plan`: the state of one query.
//! - `snapshot`: selects the snapshot of a query.
//! - `dispatch`: sends sub-requests to replicas, including retries.
//! - `hedge`: decides when a straggler is hedged.
//! - `replan`: moves a query to another snapshot or shard map.
//! - `answer`: builds the answer for the caller.

mod answer;
mod config;
mod dispatch;
mod event;
mod explain;
mod hedge;
mod plan;
mod queueing;
mod replan;
mod snapshot;

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::sync::Arc;

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubRequestOutcome;
use hemlockrouter_wire::SubRequestReply;
use rand::rngs::StdRng;
use rand::SeedableRng;

pub use self::config::SearcherConfig;
pub use self::event::Answer;
pub use self::event::Query;
pub use self::event::RejectedUpstream;
pub use self::event::SearchCommand;
pub use self::event::ShardAnswer;
pub use self::event::ShardChoice;
use self::hedge::SearchLatencies;
use self::plan::Plan;
use self::plan::Progress;
use self::plan::StoredAnswer;
use self::queueing::QueueingMonitor;
use self::snapshot::BestSnapshotCache;
use crate::budget::Budgets;
use crate::choose::Upstreams;
use crate::timer::TimerQueue;

/// State machine for the searches that one entry instance accepted.
#[derive(Debug)]
pub struct Searcher {
    config: SearcherConfig,
    origin: InstanceId,
    catalog: Arc<Catalog>,
    upstreams: Upstreams,
    rng: StdRng,
    plans: BTreeMap<QueryId, Box<Plan>>,
    // The map is only looked up by key, so its order is not observable; the fixed hasher makes it
    // deterministic all the same.
    sub_requests: HashMap<u64, PendingSubRequest, BuildHasherDefault<DefaultHasher>>,
    next_seq: u64,
    timers: TimerQueue<TimerAction>,
    search_latencies: SearchLatencies,
    queueing_monitor: QueueingMonitor,
    best_snapshots: BestSnapshotCache,
    hedge_budgets: Budgets,
    retry_budgets: Budgets,
    late_replies: u64,
    sub_requests_sent: u64,
    extra_sent: u64,
}

/// Action that a timer triggers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum TimerAction {
    /// The sub-request with this sequence number counts as a straggler.
    Hedge(u64),
    /// A shard for which no replica was available may have one now.
    Retry(QueryId, ShardNo),
    /// The query must be answered.
    Deadline(QueryId),
}

/// A sub-request in flight.
#[derive(Clone, Copy, Debug)]
struct PendingSubRequest {
    query: QueryId,
    shard: ShardNo,
    upstream: UpstreamKey,
    /// The position of `upstream` among the replicas of the shard.
    replica: usize,
    sent_at: Time,
    is_hedge: bool,
}

impl Searcher {
    /// Creates a searcher for the instance `origin`. `seed` seeds its random number generator.
    pub fn new(config: SearcherConfig, origin: InstanceId, seed: u64) -> Searcher {
        let upstreams = Upstreams::new(config.hedge_quantile);
        let hedge_budgets = Budgets::new(config.max_hedge_share, config.hedge_burst);
        let retry_budgets = Budgets::new(config.max_retry_share, config.retry_burst);
        let search_latencies =
            SearchLatencies::new(config.hedge_quantile, config.initial_hedge_delay_ms);
        Searcher {
            config,
            origin,
            catalog: Arc::new(Catalog::default()),
            upstreams,
            rng: StdRng::seed_from_u64(seed),
            plans: BTreeMap::new(),
            sub_requests: HashMap::default(),
            next_seq: 0,
            timers: TimerQueue::new(),
            search_latencies,
            queueing_monitor: QueueingMonitor::default(),
            best_snapshots: BestSnapshotCache::default(),
            hedge_budgets,
            retry_budgets,
            late_replies: 0,
            sub_requests_sent: 0,
            extra_sent: 0,
        }
    }

    /// Applies a new catalogue. Upstreams that it takes out of service get no further sub-requests;
    /// replies to sub-requests in flight there are still accepted.
    pub fn configure(&mut self, _now: Time, catalog: Arc<Catalog>, _out: &mut Vec<SearchCommand>) {
        self.upstreams.configure(&catalog, &self.config.zone);
        self.search_latencies.configure(&catalog);
        self.catalog = catalog;
    }

    /// Starts a query, or refuses it at once if it is not configured, too late or over the
    /// in-flight limit.
    pub fn start(&mut self, now: Time, query: Query, out: &mut Vec<SearchCommand>) {
        if let Some(refusal) = self.refusal_at_start(now, &query) {
            refuse_at_start(query.id, refusal, out);
            return;
        }
        let left_ms = query.deadline.remaining_ms(now);
        let answer_deadline = query
            .deadline
            .minus_ms(self.config.answer_margin_ms.min(left_ms / 10));
        let mut plan = Box::new(Plan::new(query, self.catalog.clone(), now, answer_deadline));
        plan.snapshot = self.current_snapshot(query.search);
        self.timers
            .set(answer_deadline, TimerAction::Deadline(query.id));
        self.send_to_open_shards(now, &mut plan, out);
        self.finish_or_store(now, plan, out);
    }

    /// Handles the reply to a sub-request. A reply that is not expected is counted as late and
    /// dropped.
    pub fn reply(&mut self, now: Time, reply: SubRequestReply, out: &mut Vec<SearchCommand>) {
        let is_own_reply = reply.id.origin == self.origin;
        let Some(sub_request) = is_own_reply
            .then(|| self.sub_requests.remove(&reply.id.seq))
            .flatten()
        else {
            self.late_replies += 1;
            return;
        };
        self.upstreams
            .record_round_trip(now, sub_request.upstream, sub_request.sent_at, &reply);
        self.queueing_monitor.record(&reply);
        let mut plan = self
            .plans
            .remove(&sub_request.query)
            .expect("a sub-request in flight belongs to a query in flight");
        let shard_state = &mut plan.shard_states[usize::from(sub_request.shard.0)];
        shard_state.sub_requests.retain(|seq| *seq != reply.id.seq);
        self.handle_outcome(now, &mut plan, sub_request, reply.outcome, out);
        self.finish_or_store(now, plan, out);
        self.drop_stale_timers();
    }

    /// Ends a query whose caller disconnected, and cancels its sub-requests.
    pub fn abandon(&mut self, now: Time, id: QueryId, out: &mut Vec<SearchCommand>) {
        let Some(mut plan) = self.plans.remove(&id) else {
            return;
        };
        self.cancel_all(now, &mut plan, out);
        let why = Cow::Borrowed("the caller disconnected");
        let decision = answer::build_decision(&plan, now, "nothing".to_owned(), why);
        out.push(SearchCommand::Decision(decision));
    }

    /// Performs the actions that are due at `now`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<SearchCommand>) {
        let mut stragglers = Vec::new();
        while let Some(action) = self.timers.pop_due(now) {
            match action {
                TimerAction::Hedge(seq) => stragglers.push(seq),
                TimerAction::Retry(id, shard) => self.on_retry_timer(now, id, shard, out),
                TimerAction::Deadline(id) => self.on_deadline_timer(now, id, out),
            }
        }
        self.hedge_stragglers(now, stragglers, out);
        self.drop_stale_timers();
    }

    /// Returns the time at which [`tick`](Searcher::tick) must be called next, or `None` without
    /// timers.
    pub fn next_wake(&self) -> Option<Time> {
        self.timers.peek().map(|(at, _)| at)
    }

    /// Returns the number of queries in flight.
    pub fn in_flight(&self) -> usize {
        self.plans.len()
    }

    /// Returns the number of replies that arrived when they were no longer expected.
    pub fn late_replies(&self) -> u64 {
        self.late_replies
    }

    /// Returns how many sub-requests were sent, and how many of them were extra load: hedges,
    /// retries and sub-requests caused by a move to another snapshot or shard map.
    pub fn sub_request_counts(&self) -> (u64, u64) {
        (self.sub_requests_sent, self.extra_sent)
    }

    fn refusal_at_start(&self, now: Time, query: &Query) -> Option<Refusal> {
        let min_ms = self.config.retry_after_min_ms;
        let refusal = |reason, retry_after_ms| {
            Some(Refusal {
                reason,
                retry_after_ms,
            })
        };
        let search = self.catalog.searches.get(query.search);
        let search = search.filter(|search| search.customer == query.customer);
        if search.is_none_or(|search| search.shards.is_empty()) {
            return refusal(RefusalReason::NotConfigured, self.config.retry_after_max_ms);
        }
        if query.deadline <= now {
            return refusal(RefusalReason::Deadline, min_ms);
        }
        if self.plans.len() >= self.config.max_in_flight || self.plans.contains_key(&query.id) {
            return refusal(RefusalReason::Overloaded, min_ms);
        }
        None
    }

    fn handle_outcome(
        &mut self,
        now: Time,
        plan: &mut Plan,
        sub_request: PendingSubRequest,
        outcome: SubRequestOutcome,
        out: &mut Vec<SearchCommand>,
    ) {
        match outcome {
            SubRequestOutcome::Answered {
                snapshot,
                map,
                serves,
                body,
            } => {
                plan.may_have_run = true;
                self.upstreams
                    .record_answer(now, sub_request.upstream, sub_request.sent_at);
                self.upstreams
                    .record_served_snapshots(sub_request.upstream, serves);
                if map != plan.map {
                    return self.on_wrong_map(now, plan, sub_request, map, out);
                }
                if plan.snapshot.is_some_and(|expected| expected != snapshot) {
                    return self.on_wrong_snapshot(now, plan, sub_request, out);
                }
                self.accept_answer(now, plan, sub_request, StoredAnswer { snapshot, body }, out);
            }
            SubRequestOutcome::WrongSnapshot { serves } => {
                self.upstreams.record_decline(now, sub_request.upstream);
                self.upstreams
                    .record_served_snapshots(sub_request.upstream, serves);
                self.on_wrong_snapshot(now, plan, sub_request, out);
            }
            SubRequestOutcome::WrongMap { map } => {
                self.upstreams.record_decline(now, sub_request.upstream);
                self.on_wrong_map(now, plan, sub_request, map, out);
            }
            SubRequestOutcome::NotRun(refusal) => {
                let customer = plan.query.customer;
                self.upstreams
                    .record_refusal(now, customer, sub_request.upstream, refusal);
                plan.last_refusal = Some(refusal.reason);
                self.retry(now, plan, sub_request.shard, out);
            }
            SubRequestOutcome::Failed => {
                plan.may_have_run = true;
                self.upstreams.record_failure(now, sub_request.upstream);
                self.retry(now, plan, sub_request.shard, out);
            }
        }
    }

    fn accept_answer(
        &mut self,
        now: Time,
        plan: &mut Plan,
        sub_request: PendingSubRequest,
        answer: StoredAnswer,
        out: &mut Vec<SearchCommand>,
    ) {
        if plan.shard_states[usize::from(sub_request.shard.0)].progress != Progress::Open {
            return;
        }
        let in_own_zone = self.upstreams.is_in_own_zone(sub_request.upstream);
        let took_ms = now.ms_since(sub_request.sent_at);
        self.search_latencies
            .record(now, plan.query.search, in_own_zone, took_ms);
        plan.counters.hedges_won += u32::from(sub_request.is_hedge);
        plan.store_answer(sub_request.shard, answer);
        self.cancel_shard(now, plan, sub_request.shard, out);
    }

    fn on_deadline_timer(&mut self, now: Time, id: QueryId, out: &mut Vec<SearchCommand>) {
        let Some(plan) = self.plans.remove(&id) else {
            return;
        };
        match plan.answer_deadline <= now {
            true => self.finish(now, plan, "the deadline was reached", out),
            // The timer belongs to an earlier query with the same id.
            false => drop(self.plans.insert(id, plan)),
        }
    }

    /// Finishes the query if no further shard can be answered, and stores it otherwise.
    fn finish_or_store(&mut self, now: Time, mut plan: Box<Plan>, out: &mut Vec<SearchCommand>) {
        if plan.open_shards == 0 && plan.snapshot.is_none() {
            self.select_final_snapshot(now, &mut plan, out);
        }
        if plan.open_shards == 0 {
            return self.finish(now, plan, "every shard was answered or given up", out);
        }
        let answerable_shards = plan.shard_states.len() - plan.given_up_shards;
        if !plan.meets_min_coverage(answerable_shards) {
            return self.finish(now, plan, "too many shards were given up", out);
        }
        self.plans.insert(plan.query.id, plan);
    }

    fn finish(
        &mut self,
        now: Time,
        mut plan: Box<Plan>,
        why: &'static str,
        out: &mut Vec<SearchCommand>,
    ) {
        self.cancel_all(now, &mut plan, out);
        let query = plan.query.id;
        let snapshot = plan
            .snapshot
            .or_else(|| answer::most_common_snapshot(&plan));
        let covered_shards = snapshot.map_or(0, |snapshot| answer::count_answers(&plan, snapshot));
        let total_shards = plan.shard_states.len();
        let chosen = match snapshot {
            Some(snapshot) => {
                format!("{covered_shards} of {total_shards} shards at snapshot {snapshot}")
            }
            None => format!("{covered_shards} of {total_shards} shards"),
        };
        let decision = answer::build_decision(&plan, now, chosen, Cow::Borrowed(why));
        match snapshot {
            Some(snapshot) if covered_shards > 0 && plan.meets_min_coverage(covered_shards) => {
                let answer = answer::build_answer(&mut plan, snapshot, now);
                out.push(SearchCommand::Answer { query, answer });
            }
            _ => {
                let refusal = self.refusal_at_end(now, &plan);
                out.push(SearchCommand::Refuse { query, refusal });
            }
        }
        out.push(SearchCommand::Decision(decision));
    }

    fn refusal_at_end(&self, now: Time, plan: &Plan) -> Refusal {
        let reason = match (plan.may_have_run, plan.last_refusal) {
            (true, _) => RefusalReason::Coverage,
            (false, Some(reason)) => reason,
            (false, None) => RefusalReason::Leaving,
        };
        let max_backoff_ms = u32::try_from(self.longest_backoff_ms(now, plan)).unwrap_or(u32::MAX);
        let min_ms = self.config.retry_after_min_ms;
        let max_ms = self.config.retry_after_max_ms;
        Refusal {
            reason,
            retry_after_ms: max_backoff_ms.clamp(min_ms, max_ms),
        }
    }

    /// Drops timers at the front whose sub-request or query has ended, to avoid useless wake-ups.
    fn drop_stale_timers(&mut self) {
        while let Some((_, action)) = self.timers.peek() {
            let is_live = match action {
                TimerAction::Hedge(seq) => self.sub_requests.contains_key(&seq),
                TimerAction::Retry(id, _) | TimerAction::Deadline(id) => {
                    self.plans.contains_key(&id)
                }
            };
            if is_live {
                return;
            }
            self.timers.pop();
        }
    }
}

fn refuse_at_start(query: QueryId, refusal: Refusal, out: &mut Vec<SearchCommand>) {
    out.push(SearchCommand::Refuse { query, refusal });
    out.push(SearchCommand::Decision(Decision {
        what: "search",
        subject: query.to_string(),
        chosen: "nothing".to_owned(),
        passed_over: "nothing".to_owned(),
        why: Cow::Owned(format!("refused at the start: {refusal}")),
        took_ms: 0,
    }));
}
