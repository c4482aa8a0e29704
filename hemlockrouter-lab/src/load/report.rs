//! The report of the load generator, and the recorder of each worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::Value;

use super::check::Violation;
use super::plan::RequestKind;

/// Maximum number of faulty answers and of lost ids kept in the report; the rest are only counted.
const MAX_REPORTED_EXAMPLES: usize = 10;

/// Largest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant decimal digits of the recorded latencies.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// The results of a load run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests that became due and were sent.
    pub sent: u64,
    /// Searches that were answered, and runs that returned an outcome.
    pub answered: u64,
    /// Answers that arrived within the deadline, measured from the due time.
    pub in_time: u64,
    /// Answers within the deadline for each thousand requests sent.
    pub in_time_per_mille: u64,
    /// Searches that were answered.
    pub searched: u64,
    /// Searches whose answer covers every shard.
    pub covered_whole: u64,
    /// Shards answered for each thousand shards searched, over all answered searches.
    pub coverage_per_mille: u64,
    /// Number of answers from each snapshot, by snapshot number.
    pub snapshots: BTreeMap<u64, u64>,
    /// Number of refusals by status and code.
    pub refusals: BTreeMap<String, u64>,
    /// Number of runs by outcome. A refused run counts as `not_run` or `unknown`, as the refusal
    /// states.
    pub outcomes: BTreeMap<String, u64>,
    /// Outcome of each run, by the id of its request.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub runs: BTreeMap<String, String>,
    /// Attempts that failed to connect and were retried at the next target.
    pub not_connected: u64,
    /// Attempts that broke off after the connection was established and were retried at the next
    /// target.
    pub broken: u64,
    /// Requests without a final answer.
    pub lost: u64,
    /// Ids of some of the lost requests.
    pub lost_ids: Vec<String>,
    /// Number of answers that violate a guarantee, by violation.
    pub faults: BTreeMap<Violation, u64>,
    /// Some of the answers that violate a guarantee.
    pub faulty: Vec<String>,
    /// Latency of the answers, measured from the due time.
    pub latency: LatencyPercentiles,
}

impl LoadReport {
    /// Returns the number of runs with this outcome.
    pub fn outcome_count(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }

    /// Returns the request ids of the runs with this outcome.
    pub fn run_ids_with_outcome(&self, outcome: &str) -> Vec<&str> {
        let runs = self.runs.iter().filter(|(_, ended)| *ended == outcome);
        runs.map(|(id, _)| id.as_str()).collect()
    }
}

/// Latency percentiles, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencyPercentiles {
    /// Median latency.
    pub p50_us: u64,
    /// Latency that 99 in 100 answers don't exceed.
    pub p99_us: u64,
    /// Latency that 999 in 1,000 answers don't exceed.
    pub p999_us: u64,
    /// Maximum latency.
    pub max_us: u64,
}

/// A recorder of the requests of one worker.
#[derive(Default)]
pub(super) struct Recorder {
    pub(super) sent: u64,
    pub(super) not_connected: u64,
    pub(super) broken: u64,
    report: LoadReport,
    shards_answered: u64,
    shards_total: u64,
    latency: Option<Histogram<u64>>,
}

impl Recorder {
    pub(super) fn record_search(
        &mut self,
        answer_latency: Duration,
        in_time: bool,
        body: &Value,
        faults: BTreeSet<Violation>,
    ) {
        let count = |name: &str| body["coverage"][name].as_u64().unwrap_or(0);
        let (answered, total) = (count("shards_answered"), count("shards_total"));
        self.shards_answered += answered;
        self.shards_total += total;
        self.report.searched += 1;
        self.report.covered_whole += u64::from(answered == total);
        if let Some(snapshot) = body["snapshot"].as_u64() {
            *self.report.snapshots.entry(snapshot).or_default() += 1;
        }
        self.record_answer(answer_latency, in_time);
        self.record_faults(faults, body);
    }

    pub(super) fn record_run(
        &mut self,
        id: &str,
        answer_latency: Duration,
        in_time: bool,
        body: &Value,
        faults: BTreeSet<Violation>,
    ) {
        let outcome = body["outcome"].as_str().unwrap_or_default();
        self.record_outcome(id, outcome);
        self.record_answer(answer_latency, in_time);
        self.record_faults(faults, body);
    }

    pub(super) fn record_refusal(
        &mut self,
        id: &str,
        kind: RequestKind,
        status: u16,
        body: &Value,
        faults: BTreeSet<Violation>,
    ) {
        let code = body["code"].as_str().unwrap_or("none");
        let refusals = &mut self.report.refusals;
        *refusals.entry(format!("{status} {code}")).or_default() += 1;
        if kind == RequestKind::Run {
            let outcome = if body["ran"] == false {
                "not_run"
            } else {
                "unknown"
            };
            self.record_outcome(id, outcome);
        }
        self.record_faults(faults, body);
    }

    pub(super) fn record_lost_request(&mut self, id: String) {
        self.report.lost += 1;
        self.report.lost_ids.push(id);
        self.report.lost_ids.truncate(MAX_REPORTED_EXAMPLES);
    }

    fn record_outcome(&mut self, id: &str, outcome: &str) {
        let outcomes = &mut self.report.outcomes;
        *outcomes.entry(outcome.to_owned()).or_default() += 1;
        self.report.runs.insert(id.to_owned(), outcome.to_owned());
    }

    fn record_answer(&mut self, answer_latency: Duration, in_time: bool) {
        self.report.answered += 1;
        self.report.in_time += u64::from(in_time);
        let latency = self.latency.get_or_insert_with(new_histogram);
        latency.saturating_record(answer_latency.as_micros() as u64);
    }

    fn record_faults(&mut self, faults: BTreeSet<Violation>, body: &Value) {
        for fault in faults {
            *self.report.faults.entry(fault).or_default() += 1;
            self.report.faulty.push(format!("{fault}: {body}"));
        }
        self.report.faulty.truncate(MAX_REPORTED_EXAMPLES);
    }

    pub(super) fn merge(&mut self, other: Recorder) {
        self.sent += other.sent;
        self.not_connected += other.not_connected;
        self.broken += other.broken;
        self.shards_answered += other.shards_answered;
        self.shards_total += other.shards_total;
        if let Some(latency) = other.latency {
            let all = self.latency.get_or_insert_with(new_histogram);
            all.add(latency)
                .expect("all histograms have the same range");
        }
        let (all, report) = (&mut self.report, other.report);
        all.answered += report.answered;
        all.in_time += report.in_time;
        all.searched += report.searched;
        all.covered_whole += report.covered_whole;
        all.lost += report.lost;
        all.runs.extend(report.runs);
        all.lost_ids.extend(report.lost_ids);
        all.lost_ids.truncate(MAX_REPORTED_EXAMPLES);
        all.faulty.extend(report.faulty);
        all.faulty.truncate(MAX_REPORTED_EXAMPLES);
        add_counts(&mut all.snapshots, report.snapshots);
        add_counts(&mut all.refusals, report.refusals);
        add_counts(&mut all.outcomes, report.outcomes);
        add_counts(&mut all.faults, report.faults);
    }

    pub(super) fn report(self) -> LoadReport {
        let latency = self.latency.unwrap_or_else(new_histogram);
        LoadReport {
            sent: self.sent,
            not_connected: self.not_connected,
            broken: self.broken,
            in_time_per_mille: 1_000 * self.report.in_time / self.sent.max(1),
            coverage_per_mille: 1_000 * self.shards_answered / self.shards_total.max(1),
            latency: LatencyPercentiles {
                p50_us: latency.value_at_quantile(0.5),
                p99_us: latency.value_at_quantile(0.99),
                p999_us: latency.value_at_quantile(0.999),
                max_us: latency.max(),
            },
            ..self.report
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)
        .expect("the range fits three digits")
}

fn add_counts<K>(to: &mut BTreeMap<K, u64>, from: BTreeMap<K, u64>)
where
    K: Ord,
{
    for (key, count) in from {
        *to.entry(key).or_default() += count;
    }
}
