//! Building the answer of a finished search and the record of its decision.

use std::borrow::Cow;

use hemlockrouter_types::prelude::*;

use super::plan::Plan;
use super::Answer;
use super::ShardAnswer;

/// Returns the snapshot of most of the collected answers, or the newest of several with as many
/// answers.
pub(super) fn most_common_snapshot(plan: &Plan) -> Option<Snapshot> {
    let held = plan.parts.iter().filter_map(|part| part.answer.as_ref());
    let mut snapshots: Vec<Snapshot> = held.map(|held| held.snapshot).collect();
    snapshots.sort_unstable();
    let runs = snapshots.chunk_by(|one, other| one == other);
    let longest = runs.max_by_key(|run| run.len())?;
    longest.first().copied()
}

/// Returns the number of collected answers from `snapshot`.
pub(super) fn count(plan: &Plan, snapshot: Snapshot) -> usize {
    let held = plan.parts.iter().filter_map(|part| part.answer.as_ref());
    held.filter(|held| held.snapshot == snapshot).count()
}

/// Builds the answer at `snapshot`. This moves the collected answers out of the plan.
pub(super) fn build(plan: &mut Plan, snapshot: Snapshot, now: Time) -> Answer {
    let mut parts = std::mem::take(&mut plan.parts);
    let total = parts.len() as u32;
    let mut shards = Vec::with_capacity(parts.len());
    let mut missing = Vec::new();
    for (index, (part, shard)) in parts.iter_mut().zip(plan.shards()).enumerate() {
        let name = shard.name.clone();
        match part.answer.take() {
            Some(held) if held.snapshot == snapshot => shards.push(ShardAnswer {
                shard: ShardNo(index as u16),
                name,
                body: held.body,
            }),
            _ => missing.push(name),
        }
    }
    Answer {
        snapshot,
        shards,
        total,
        missing,
        took_ms: now.since(plan.started),
    }
}

/// Builds the log record of how the query was decided.
pub(super) fn decision(plan: &Plan, now: Time, chosen: String, why: Cow<'static, str>) -> Decision {
    let tally = plan.tally;
    let passed_over = format!(
        "{} out of service, {} backing off; {} sent, {} hedges of which {} won, {} retries, {} replans",
        tally.out_of_service,
        tally.backing_off,
        tally.sent,
        tally.hedges,
        tally.hedges_won,
        tally.retries,
        plan.replans,
    );
    Decision {
        what: "search",
        subject: plan.query.id.to_string(),
        chosen,
        passed_over,
        why,
        took_ms: now.since(plan.started),
    }
}
