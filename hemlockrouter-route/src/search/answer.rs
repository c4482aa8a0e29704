//! Building the answer of a finished search and the record of its decision.

use std::borrow::Cow;

use hemlockrouter_types::prelude::*;

use super::plan::Plan;
use super::Answer;
use super::ShardAnswer;

/// Returns the snapshot of most of the collected answers, or the newest of several with as many
/// answers.
pub(super) fn most_common_snapshot(plan: &Plan) -> Option<Snapshot> {
    let answers = plan
        .shard_states
        .iter()
        .filter_map(|shard_state| shard_state.answer.as_ref());
    let mut snapshots: Vec<Snapshot> = answers.map(|answer| answer.snapshot).collect();
    snapshots.sort_unstable();
    let equal_runs = snapshots.chunk_by(|one, other| one == other);
    let longest_run = equal_runs.max_by_key(|run| run.len())?;
    longest_run.first().copied()
}

/// Returns the number of collected answers from `snapshot`.
pub(super) fn count_answers(plan: &Plan, snapshot: Snapshot) -> usize {
    let answers = plan
        .shard_states
        .iter()
        .filter_map(|shard_state| shard_state.answer.as_ref());
    answers.filter(|answer| answer.snapshot == snapshot).count()
}

/// Builds the answer at `snapshot`. This moves the collected answers out of the plan.
pub(super) fn build_answer(plan: &mut Plan, snapshot: Snapshot, now: Time) -> Answer {
    let mut shard_states = std::mem::take(&mut plan.shard_states);
    let shard_count = shard_states.len() as u32;
    let mut shards = Vec::with_capacity(shard_states.len());
    let mut missing = Vec::new();
    for (index, (shard_state, shard)) in shard_states.iter_mut().zip(plan.shards()).enumerate() {
        let name = shard.name.clone();
        match shard_state.answer.take() {
            Some(stored) if stored.snapshot == snapshot => shards.push(ShardAnswer {
                shard: ShardNo(index as u16),
                name,
                body: stored.body,
            }),
            _ => missing.push(name),
        }
    }
    Answer {
        snapshot,
        shards,
        total: shard_count,
        missing,
        took_ms: now.ms_since(plan.started_at),
    }
}

/// Builds the log record of how the query was decided.
pub(super) fn build_decision(
    plan: &Plan,
    now: Time,
    chosen: String,
    why: Cow<'static, str>,
) -> Decision {
    let counters = plan.counters;
    let passed_over = format!(
        "{} out of service, {} backing off; {} sent, {} hedges of which {} won, {} retries, {} replans",
        counters.out_of_service,
        counters.backing_off,
        counters.sent,
        counters.hedges,
        counters.hedges_won,
        counters.retries,
        plan.replans,
    );
    Decision {
        what: "search",
        subject: plan.query.id.to_string(),
        chosen,
        passed_over,
        why,
        took_ms: now.ms_since(plan.started_at),
    }
}
