//! Invariants that the model checks for each command of a searcher.

use hemlockrouter_route::Answer;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubRequestOutcome;

use super::environment::Environment;
use super::result_body;
use super::Oracle;
use super::PendingQuery;
use super::SentSubRequest;
use super::HEDGE_BURST;
use super::HEDGE_SHARE;
use super::ORIGIN;
use super::RETRY_AFTER_MS;

impl Oracle {
    pub(super) fn check_commands(&mut self, environment: &Environment) {
        for command in std::mem::take(&mut self.out) {
            match command {
                SearchCommand::Send { .. } => self.check_send(environment, command),
                SearchCommand::Cancel { id, .. } => {
                    let sent = self.sent.iter_mut().find(|sent| sent.id == id);
                    let sent = sent.expect("only sub-requests that were sent are cancelled");
                    assert!(
                        sent.in_flight,
                        "a sub-request is cancelled once, before its reply"
                    );
                    sent.in_flight = false;
                    // A cancelled sub-request may have run before the cancellation arrived.
                    if let Some(pending) = self.pending_queries.get_mut(&sent.query) {
                        pending.may_have_run = true;
                    }
                }
                SearchCommand::Answer { query, answer } => {
                    let pending = self
                        .pending_queries
                        .remove(&query)
                        .expect("one answer for each query");
                    self.check_answer(&pending, &answer);
                }
                SearchCommand::Refuse { query, refusal } => {
                    let pending = self
                        .pending_queries
                        .remove(&query)
                        .expect("one answer for each query");
                    let allows_work = refusal.reason == RefusalReason::Coverage;
                    assert!(
                        allows_work || !pending.may_have_run,
                        "refused as not run, but {pending:?}: {refusal}"
                    );
                    let (min_ms, max_ms) = RETRY_AFTER_MS;
                    assert!((min_ms..=max_ms).contains(&refusal.retry_after_ms));
                }
                SearchCommand::Decision(_) => (),
            }
        }
    }

    fn check_send(&mut self, environment: &Environment, command: SearchCommand) {
        let SearchCommand::Send {
            query,
            seq,
            upstream,
            shard,
            snapshot,
            map,
            deadline,
            ..
        } = command
        else {
            unreachable!();
        };
        let pending = &self.pending_queries[&query];
        assert!(
            environment.catalog.is_in_service(upstream),
            "{upstream} is out of service"
        );
        assert!(deadline <= pending.query.deadline && self.now < deadline);
        let is_same_shard =
            |sent: &&SentSubRequest| sent.query == query && sent.shard == shard && sent.map == map;
        let is_hedge = self
            .sent
            .iter()
            .filter(is_same_shard)
            .any(|sent| sent.in_flight);
        let is_first_try = self.sent.iter().find(|sent| is_same_shard(sent)).is_none();
        self.hedges += u64::from(is_hedge);
        self.first_tries += u64::from(is_first_try);
        let shard_names = &self.shard_maps[&(pending.query.search, map)];
        assert!(
            usize::from(shard.0) < shard_names.len(),
            "no such shard in that map"
        );
        self.sent.push(SentSubRequest {
            id: SubRequestId {
                origin: ORIGIN,
                seq,
            },
            query,
            upstream,
            shard,
            snapshot,
            map,
            in_flight: true,
            reply: None,
        });
    }

    fn check_answer(&self, pending: &PendingQuery, answer: &Answer) {
        let query = &pending.query;
        assert!(self.now <= query.deadline, "answered after the deadline");
        let query_sub_requests = self.sent.iter().filter(|sent| sent.query == query.id);
        let map = query_sub_requests
            .clone()
            .map(|sent| sent.map)
            .max()
            .unwrap();
        let shard_names = &self.shard_maps[&(query.search, map)];
        assert_eq!(answer.total as usize, shard_names.len());
        let mut expected_missing = shard_names.clone();
        for shard in &answer.shards {
            assert_eq!(shard.name, shard_names[usize::from(shard.shard.0)]);
            expected_missing.retain(|name| *name != shard.name);
            let expected_body =
                result_body(query.id, query.search, map, shard.shard, answer.snapshot);
            assert_eq!(
                shard.body, expected_body,
                "a result is from another shard or snapshot"
            );
        }
        assert_eq!(answer.missing, expected_missing);
        let coverage = answer.shards.len() as f64 / f64::from(answer.total);
        assert!(coverage > 0.0 && coverage + 1e-3 >= query.min_coverage.unwrap_or(0.0));
        // Every matching reply for the final plan that arrived before the answer must be part of
        // the answer.
        let final_sub_requests = query_sub_requests.clone().filter(|sent| sent.map == map);
        let is_single_plan = final_sub_requests
            .clone()
            .all(|sent| sent.snapshot == Some(answer.snapshot));
        for sent in final_sub_requests.filter(|_| is_single_plan) {
            let Some(SubRequestOutcome::Answered {
                snapshot,
                map: reply_map,
                ..
            }) = sent.reply.as_ref().map(|reply| &reply.outcome)
            else {
                continue;
            };
            let is_expected = *snapshot == answer.snapshot && *reply_map == map;
            let is_in_answer = answer.shards.iter().any(|shard| shard.shard == sent.shard);
            assert!(
                is_in_answer || !is_expected,
                "a reply that arrived in time is missing from the answer"
            );
        }
    }

    pub(super) fn check_bounds(&self) {
        assert_eq!(self.searcher.late_replies(), self.late_replies);
        assert_eq!(self.searcher.in_flight(), self.pending_queries.len());
        let max_hedges = f64::from(HEDGE_BURST) + HEDGE_SHARE * self.first_tries as f64;
        assert!(self.hedges as f64 <= max_hedges, "{} hedges", self.hedges);
        for (id, pending) in &self.pending_queries {
            let has_sub_request = self
                .sent
                .iter()
                .any(|sent| sent.query == *id && sent.in_flight);
            let avoids_upstream = self.avoided_until.iter().any(|until| *until > self.now);
            assert!(
                has_sub_request || avoids_upstream,
                "{pending:?} waits although no sub-request is in flight"
            );
        }
    }
}
