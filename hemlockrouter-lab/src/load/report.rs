//! What came of the load.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::Value;

use super::check::Fault;
use super::plan::Task;

/// Broken promises that are described at length; the rest are only counted.
const FAULTS_SHOWN: usize = 10;

/// Largest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;

/// Significant digits of the latencies.
const DIGITS: u8 = 3;

/// What came of the load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Requests that fell due and were sent.
    pub sent: u64,
    /// Searches that got an answer, and runs that ended with an outcome.
    pub answered: u64,
    /// Those of them that came within the deadline, counted from the due time.
    pub in_time: u64,
    /// `in_time` among a thousand sent.
    pub in_time_per_mille: u64,
    /// Searches that were answered.
    pub searched: u64,
    /// Searches whose answer covers every shard.
    pub covered_whole: u64,
    /// Shards answered among a thousand, over all answered searches.
    pub coverage_per_mille: u64,
    /// Snapshots that answers came from, with their numbers of answers.
    pub snapshots: BTreeMap<u64, u64>,
    /// Refusals by status and code.
    pub refusals: BTreeMap<String, u64>,
    /// Runs by outcome; refused ones count as what the refusal says.
    pub outcomes: BTreeMap<String, u64>,
    /// The outcome of each run, by the id of its request.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub runs: BTreeMap<String, String>,
    /// Attempts that got no connection, and were repeated elsewhere.
    pub not_connected: u64,
    /// Attempts that broke off after the connection was made, and were repeated elsewhere.
    pub broken: u64,
    /// Requests that got no final answer.
    pub lost: u64,
    /// The ids of some of the lost requests.
    pub lost_ids: Vec<String>,
    /// Answers that break a promise, by promise.
    pub faults: BTreeMap<Fault, u64>,
    /// Some of these answers.
    pub faulty: Vec<String>,
    /// Latency of the answers from their due time.
    pub latency: Latency,
}

impl Report {
    /// Returns the number of runs with this outcome.
    pub fn outcome(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }

    /// Returns the ids of the requests of runs with this outcome.
    pub fn ids_of(&self, outcome: &str) -> Vec<&str> {
        let runs = self.runs.iter().filter(|(_, ended)| *ended == outcome);
        runs.map(|(id, _)| id.as_str()).collect()
    }
}

/// Percentiles of latency, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Latency {
    /// The median.
    pub p50_us: u64,
    /// 99 in 100 are no longer than this.
    pub p99_us: u64,
    /// 999 in 1,000 are no longer than this.
    pub p999_us: u64,
    /// The longest.
    pub max_us: u64,
}

/// Gathers what one worker saw.
#[derive(Default)]
pub(super) struct Recorder {
    pub(super) sent: u64,
    pub(super) not_connected: u64,
    pub(super) broken: u64,
    report: Report,
    shards_answered: u64,
    shards_total: u64,
    latency: Option<Histogram<u64>>,
}

impl Recorder {
    pub(super) fn searched(
        &mut self,
        took: Duration,
        in_time: bool,
        body: &Value,
        faults: BTreeSet<Fault>,
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
        self.answered(took, in_time);
        self.fault(faults, body);
    }

    pub(super) fn ran(
        &mut self,
        id: &str,
        took: Duration,
        in_time: bool,
        body: &Value,
        faults: BTreeSet<Fault>,
    ) {
        let outcome = body["outcome"].as_str().unwrap_or_default();
        self.outcome(id, outcome);
        self.answered(took, in_time);
        self.fault(faults, body);
    }

    pub(super) fn refused(
        &mut self,
        id: &str,
        task: Task,
        status: u16,
        body: &Value,
        faults: BTreeSet<Fault>,
    ) {
        let code = body["code"].as_str().unwrap_or("none");
        let refusals = &mut self.report.refusals;
        *refusals.entry(format!("{status} {code}")).or_default() += 1;
        if task == Task::Run {
            let outcome = if body["ran"] == false {
                "not_run"
            } else {
                "unknown"
            };
            self.outcome(id, outcome);
        }
        self.fault(faults, body);
    }

    pub(super) fn lose(&mut self, id: String) {
        self.report.lost += 1;
        self.report.lost_ids.push(id);
        self.report.lost_ids.truncate(FAULTS_SHOWN);
    }

    fn outcome(&mut self, id: &str, outcome: &str) {
        let outcomes = &mut self.report.outcomes;
        *outcomes.entry(outcome.to_owned()).or_default() += 1;
        self.report.runs.insert(id.to_owned(), outcome.to_owned());
    }

    fn answered(&mut self, took: Duration, in_time: bool) {
        self.report.answered += 1;
        self.report.in_time += u64::from(in_time);
        let latency = self.latency.get_or_insert_with(new_histogram);
        latency.saturating_record(took.as_micros() as u64);
    }

    fn fault(&mut self, faults: BTreeSet<Fault>, body: &Value) {
        for fault in faults {
            *self.report.faults.entry(fault).or_default() += 1;
            self.report.faulty.push(format!("{fault}: {body}"));
        }
        self.report.faulty.truncate(FAULTS_SHOWN);
    }

    pub(super) fn merge(&mut self, other: Recorder) {
        self.sent += other.sent;
        self.not_connected += other.not_connected;
        self.broken += other.broken;
        self.shards_answered += other.shards_answered;
        self.shards_total += other.shards_total;
        if let Some(latency) = other.latency {
            let all = self.latency.get_or_insert_with(new_histogram);
            all.add(latency).expect("histograms are of one shape");
        }
        let (all, report) = (&mut self.report, other.report);
        all.answered += report.answered;
        all.in_time += report.in_time;
        all.searched += report.searched;
        all.covered_whole += report.covered_whole;
        all.lost += report.lost;
        all.runs.extend(report.runs);
        all.lost_ids.extend(report.lost_ids);
        all.lost_ids.truncate(FAULTS_SHOWN);
        all.faulty.extend(report.faulty);
        all.faulty.truncate(FAULTS_SHOWN);
        add_all(&mut all.snapshots, report.snapshots);
        add_all(&mut all.refusals, report.refusals);
        add_all(&mut all.outcomes, report.outcomes);
        add_all(&mut all.faults, report.faults);
    }

    pub(super) fn report(self) -> Report {
        let latency = self.latency.unwrap_or_else(new_histogram);
        Report {
            sent: self.sent,
            not_connected: self.not_connected,
            broken: self.broken,
            in_time_per_mille: 1_000 * self.report.in_time / self.sent.max(1),
            coverage_per_mille: 1_000 * self.shards_answered / self.shards_total.max(1),
            latency: Latency {
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
    Histogram::new_with_max(LATENCY_MAX_US, DIGITS).expect("the range fits three digits")
}

fn add_all<K>(to: &mut BTreeMap<K, u64>, from: BTreeMap<K, u64>)
where
    K: Ord,
{
    for (key, count) in from {
        *to.entry(key).or_default() += count;
    }
}
