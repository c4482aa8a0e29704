//! Checks that answers keep the guarantees of the tier.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// A violation of the tier's guarantees by an answer.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A result belongs to another query.
    #[display("foreign_result")]
    ForeignResult,
    /// A result comes from a different snapshot than the answer names.
    #[display("mixed_snapshots")]
    MixedSnapshots,
    /// The stated coverage does not match the results.
    #[display("false_coverage")]
    FalseCoverage,
    /// A refusal lacks its code, does not state whether the request ran, or, if the request did
    /// not run, lacks the retry delay.
    #[display("unclear_refusal")]
    UnclearRefusal,
    /// The answer to a run has none of the defined outcomes.
    #[display("unclear_outcome")]
    UnclearOutcome,
}

/// Checks the answer to the search whose query has this `id`.
pub(super) fn check_search_answer(id: &str, body: &Value) -> BTreeSet<Violation> {
    let mut faults = BTreeSet::new();
    let empty = Vec::new();
    let results = body["results"].as_array().unwrap_or(&empty);
    if results.iter().any(|result| result["for"] != id) {
        faults.insert(Violation::ForeignResult);
    }
    if results
        .iter()
        .any(|result| result["snapshot"] != body["snapshot"])
    {
        faults.insert(Violation::MixedSnapshots);
    }
    if !coverage_matches(results, &body["coverage"]) {
        faults.insert(Violation::FalseCoverage);
    }
    faults
}

/// Returns whether the stated coverage matches the shards of the results.
fn coverage_matches(results: &[Value], coverage: &Value) -> bool {
    let to_owned_name = |value: &Value| value.as_str().map(str::to_owned);
    let answered: Vec<String> = results
        .iter()
        .filter_map(|r| to_owned_name(&r["shard"]))
        .collect();
    let missing = coverage["missing"].as_array();
    let missing: Vec<String> = missing
        .into_iter()
        .flatten()
        .filter_map(to_owned_name)
        .collect();
    let distinct_shards: BTreeSet<&String> = answered.iter().chain(&missing).collect();
    // A shard that occurs twice, or that is both answered and missing, makes the set smaller than
    // the sum.
    let total = answered.len() + missing.len();
    coverage["shards_answered"] == answered.len()
        && coverage["shards_total"] == total
        && distinct_shards.len() == total
}

/// Checks the answer to the run whose request has this `id`.
pub(super) fn check_run_answer(id: &str, body: &Value) -> BTreeSet<Violation> {
    let fault = match body["outcome"].as_str() {
        Some("done") if body["result"]["for"] != id => Some(Violation::ForeignResult),
        Some("done" | "unknown" | "conflict") => None,
        Some("not_run") if body["retry_after_ms"].is_u64() => None,
        Some("not_run") => Some(Violation::UnclearRefusal),
        _ => Some(Violation::UnclearOutcome),
    };
    fault.into_iter().collect()
}

/// Checks that a refusal states its code, whether the request ran, and when to retry.
pub(super) fn check_refusal(body: &Value) -> BTreeSet<Violation> {
    // A request that may have run must not be sent again, so its refusal needs no retry delay.
    let ran = &body["ran"];
    let states_whether_ran =
        *ran == "unknown" || (*ran == false && body["retry_after_ms"].is_u64());
    let clear = body["code"].is_string() && states_whether_ran;
    let fault = (!clear).then_some(Violation::UnclearRefusal);
    fault.into_iter().collect()
}
