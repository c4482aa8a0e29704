//! Invariants that the model checks for each command of a searcher.

use hemlockrouter_route::Answer;
use hemlockrouter_route::SearchCommand;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::SubOutcome;

use super::body;
use super::world::World;
use super::Asked;
use super::Oracle;
use super::Sent;
use super::HEDGE_BURST;
use super::HEDGE_SHARE;
use super::ORIGIN;
use super::RETRY_AFTER_MS;

impl Oracle {
    pub(super) fn check_commands(&mut self, world: &World) {
        for command in std::mem::take(&mut self.out) {
            match command {
                SearchCommand::Send { .. } => self.check_send(world, command),
                SearchCommand::Cancel { id, .. } => {
                    let sent = self.sent.iter_mut().find(|sent| sent.id == id);
                    let sent = sent.expect("only sub-requests that were sent are cancelled");
                    assert!(
                        sent.waited_for,
                        "a sub-request is cancelled once, before its reply"
                    );
                    sent.waited_for = false;
                    // A cancelled sub-request may have run before the cancellation arrived.
                    if let Some(asked) = self.asked.get_mut(&sent.query) {
                        asked.ran = true;
                    }
                }
                SearchCommand::Answer { query, answer } => {
                    let asked = self
                        .asked
                        .remove(&query)
                        .expect("one answer for each query");
                    self.check_answer(&asked, &answer);
                }
                SearchCommand::Refuse { query, refusal } => {
                    let asked = self
                        .asked
                        .remove(&query)
                        .expect("one answer for each query");
                    let ran = refusal.reason == Reason::Coverage;
                    assert!(
                        ran || !asked.ran,
                        "refused as not run, but {asked:?}: {refusal}"
                    );
                    let (min_ms, max_ms) = RETRY_AFTER_MS;
                    assert!((min_ms..=max_ms).contains(&refusal.retry_after_ms));
                }
                SearchCommand::Decision(_) => (),
            }
        }
    }

    fn check_send(&mut self, world: &World, command: SearchCommand) {
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
        let asked = &self.asked[&query];
        assert!(
            world.catalog.in_service(upstream),
            "{upstream} is out of service"
        );
        assert!(deadline <= asked.query.deadline && self.now < deadline);
        let same = |sent: &&Sent| sent.query == query && sent.shard == shard && sent.map == map;
        let twin = self.sent.iter().filter(same).any(|sent| sent.waited_for);
        let first = self.sent.iter().find(|sent| same(sent)).is_none();
        self.hedges += u64::from(twin);
        self.firsts += u64::from(first);
        let names = &self.maps[&(asked.query.search, map)];
        assert!(
            usize::from(shard.0) < names.len(),
            "no such shard in that map"
        );
        self.sent.push(Sent {
            id: SubId {
                origin: ORIGIN,
                seq,
            },
            query,
            upstream,
            shard,
            snapshot,
            map,
            waited_for: true,
            reply: None,
        });
    }

    fn check_answer(&self, asked: &Asked, answer: &Answer) {
        let query = &asked.query;
        assert!(self.now <= query.deadline, "answered after the deadline");
        let of_query = self.sent.iter().filter(|sent| sent.query == query.id);
        let map = of_query.clone().map(|sent| sent.map).max().unwrap();
        let names = &self.maps[&(query.search, map)];
        assert_eq!(answer.total as usize, names.len());
        let mut expected_missing = names.clone();
        for shard in &answer.shards {
            assert_eq!(shard.name, names[usize::from(shard.shard.0)]);
            expected_missing.retain(|name| *name != shard.name);
            let wanted = body(query.id, query.search, map, shard.shard, answer.snapshot);
            assert_eq!(
                shard.body, wanted,
                "a result is from another shard or snapshot"
            );
        }
        assert_eq!(answer.missing, expected_missing);
        let covered = answer.shards.len() as f64 / f64::from(answer.total);
        assert!(covered > 0.0 && covered + 1e-3 >= query.min_coverage.unwrap_or(0.0));
        // Every matching reply for the final plan that arrived before the answer must be part of
        // the answer.
        let moved = of_query.clone().filter(|sent| sent.map == map);
        let one_plan = moved
            .clone()
            .all(|sent| sent.snapshot == Some(answer.snapshot));
        for sent in moved.filter(|_| one_plan) {
            let Some(SubOutcome::Answered {
                snapshot, map: of, ..
            }) = sent.reply.as_ref().map(|reply| &reply.outcome)
            else {
                continue;
            };
            let wanted = *snapshot == answer.snapshot && *of == map;
            let held = answer.shards.iter().any(|shard| shard.shard == sent.shard);
            assert!(
                held || !wanted,
                "a reply that arrived in time is missing from the answer"
            );
        }
    }

    pub(super) fn check_bounds(&self) {
        assert_eq!(self.searcher.late_replies(), self.late);
        assert_eq!(self.searcher.in_flight(), self.asked.len());
        let budget = f64::from(HEDGE_BURST) + HEDGE_SHARE * self.firsts as f64;
        assert!(self.hedges as f64 <= budget, "{} hedges", self.hedges);
        for (id, asked) in &self.asked {
            let waits = self
                .sent
                .iter()
                .any(|sent| sent.query == *id && sent.waited_for);
            let troubled = self.troubled_until.iter().any(|until| *until > self.now);
            assert!(
                waits || troubled,
                "{asked:?} waits although no sub-request is in flight"
            );
        }
    }
}
