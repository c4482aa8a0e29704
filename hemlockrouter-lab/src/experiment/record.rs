//! The record of each simulated query, and the report computed from the records.

use hemlockrouter_types::prelude::*;
use serde::Serialize;

use super::fake::FakeUpstream;
use super::layout::Layout;
use super::layout::QueryKind;
use super::ExperimentOptions;

/// The outcome of a query as its caller sees it.
#[derive(Clone, Debug)]
pub(super) enum QueryOutcome {
    /// The query was answered with results of these shards.
    Answered {
        shards: Vec<ShardNo>,
    },
    Refused(RefusalReason),
}

/// The record of one query.
pub(super) struct QueryRecord {
    pub(super) kind: usize,
    pub(super) entry: usize,
    pub(super) sent_us: u64,
    pub(super) ended_us: u64,
    pub(super) outcome: Option<QueryOutcome>,
    /// Number of times that an upstream began to work on each shard.
    pub(super) start_counts: Vec<u8>,
    /// Time at which an upstream first completed each shard.
    pub(super) completed_us: Vec<Option<u64>>,
}

/// The measured time interval.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeasuredInterval {
    pub(super) from_us: u64,
    pub(super) until_us: u64,
}

/// The results of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// Options of the experiment.
    pub options: ExperimentOptions,
    /// Number of queries sent.
    pub queries: u64,
    /// Latency of the answered fan-out queries, in milliseconds.
    pub fan_out: LatencyPercentiles,
    /// Latency of the answered single-shard queries, in milliseconds.
    pub single: LatencyPercentiles,
    /// Share of their shards that answers to fan-out queries cover, in percent.
    pub coverage_percent: f64,
    /// Share of queries that were answered in time with all shards, by weight, in percent.
    pub whole_percent: f64,
    /// Share of queries that were answered in time, by weight and coverage, in percent.
    pub service_percent: f64,
    /// Share of queries that were refused, in percent.
    pub refused_percent: f64,
    /// Extra sub-requests that upstreams began beyond the first for each shard, in percent.
    pub extra_percent: f64,
    /// Share of the slots of fan-out services that answered shards occupied, in percent.
    pub carried_percent: f64,
    /// Number of queries without a final answer or refusal.
    pub lost: u64,
    /// Number of refusals that stated "not run" although an upstream began to work on the query.
    pub untrue_refusals: u64,
    /// Maximum number of requests in flight at a cold upstream.
    pub peak_cold: usize,
    /// Number of times that requests in flight exceeded the cold limit of an upstream whose cold
    /// state the router could know.
    pub cold_bound_passed: u64,
    /// Number of sub-requests that upstreams shed.
    pub shed: u64,
    /// Number of sub-requests that reached a zone more than 3 s after the zone was taken out of
    /// service.
    pub late_work: u64,
    /// Share of queries answered in time, as in `service_percent`, for each second of sending.
    pub seconds: Vec<f64>,
}

impl ExperimentReport {
    /// Returns the recovery time in seconds after the start of the second half of the run.
    ///
    /// From then on, each second had at least `share` of the mean service of the first quarter. The
    /// result is `None` if the last second had less. In [`Scenario::ZoneOut`] the first quarter is
    /// calm, and the zone is back in service from the second half on.
    ///
    /// [`Scenario::ZoneOut`]: super::Scenario::ZoneOut
    pub fn seconds_until_recovery(&self, share: f64) -> Option<usize> {
        let (before, after) = self.seconds.split_at(self.seconds.len() / 2);
        let calm = &before[..before.len() / 2];
        let wanted = share * calm.iter().sum::<f64>() / calm.len() as f64;
        let last_below = after.iter().rposition(|service| *service < wanted);
        let recovered_after = last_below.map_or(0, |second| second + 1);
        (recovered_after < after.len()).then_some(recovered_after)
    }
}

/// Latency percentiles, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencyPercentiles {
    /// Median latency.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency.
    pub p999_ms: f64,
}

impl QueryRecord {
    fn covered_shard_count(&self) -> u32 {
        self.answered_shards().len() as u32
    }

    fn answered_shards(&self) -> &[ShardNo] {
        match &self.outcome {
            Some(QueryOutcome::Answered { shards }) => shards,
            _ => &[],
        }
    }

    /// Returns the number of answered shards that an upstream completed within `window`.
    fn covered_within(&self, window: MeasuredInterval) -> u64 {
        let shards = self.answered_shards().iter();
        let completed_us = shards.filter_map(|shard| self.completed_us[usize::from(shard.0)]);
        completed_us.filter(|at_us| window.contains(*at_us)).count() as u64
    }

    /// Returns whether the query was refused as not run although an upstream began to work on it.
    fn is_false_not_run(&self) -> bool {
        let not_run = match &self.outcome {
            Some(QueryOutcome::Refused(reason)) => *reason != RefusalReason::Coverage,
            _ => false,
        };
        not_run && self.start_counts.iter().any(|begun| *begun > 0)
    }
}

impl LatencyPercentiles {
    fn new(mut latencies_us: Vec<u64>) -> LatencyPercentiles {
        latencies_us.sort_unstable();
        let quantile = |quantile: f64| {
            let rank = (latencies_us.len() as f64 * quantile).ceil() as usize;
            let value_us = latencies_us.get(rank.max(1) - 1);
            value_us.map_or(0.0, |us| *us as f64 / 1_000.0)
        };
        LatencyPercentiles {
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
        }
    }
}

/// Sums over the queries sent within the measured time.
#[derive(Default)]
struct QuerySums {
    queries: u64,
    refused: u64,
    lost: u64,
    false_not_run: u64,
    weight: f64,
    whole: f64,
    service: f64,
    answered_shards: u64,
    searched_shards: u64,
    first_attempts: u64,
    extra: u64,
    fan_out_us: Vec<u64>,
    single_us: Vec<u64>,
}

impl QuerySums {
    fn add_record(&mut self, record: &QueryRecord, kind: &QueryKind) {
        let weight = f64::from(kind.weight);
        let covered = record.covered_shard_count();
        self.queries += 1;
        self.weight += weight;
        self.service += weight * f64::from(covered) / f64::from(kind.shards);
        self.whole += f64::from(u32::from(covered == kind.shards)) * weight;
        self.false_not_run += u64::from(record.is_false_not_run());
        match &record.outcome {
            None => self.lost += 1,
            Some(QueryOutcome::Refused(_)) => self.refused += 1,
            Some(QueryOutcome::Answered { .. }) => self.add_answer(record, kind),
        }
        for begun in &record.start_counts {
            self.first_attempts += u64::from(*begun > 0);
            self.extra += u64::from(begun.saturating_sub(1));
        }
    }

    fn add_answer(&mut self, record: &QueryRecord, kind: &QueryKind) {
        let latency_us = record.ended_us - record.sent_us;
        if kind.is_fan_out() {
            self.fan_out_us.push(latency_us);
            self.answered_shards += u64::from(record.covered_shard_count());
            self.searched_shards += u64::from(kind.shards);
        } else {
            self.single_us.push(latency_us);
        }
    }
}

/// Computes the report from the records of all queries.
pub(super) fn build_report(
    options: ExperimentOptions,
    layout: &Layout,
    window: MeasuredInterval,
    records: &[QueryRecord],
    fakes: &[FakeUpstream],
    late_work: u64,
) -> ExperimentReport {
    let mut sums = QuerySums::default();
    for record in records {
        if window.contains(record.sent_us) {
            sums.add_record(record, &layout.kinds[record.kind]);
        }
    }
    ExperimentReport {
        options,
        queries: sums.queries,
        coverage_percent: percent(sums.answered_shards as f64, sums.searched_shards as f64),
        whole_percent: percent(sums.whole, sums.weight),
        service_percent: percent(sums.service, sums.weight),
        refused_percent: percent(sums.refused as f64, sums.queries as f64),
        extra_percent: percent(sums.extra as f64, sums.first_attempts as f64),
        carried_percent: carried_percent(layout, window, records),
        lost: sums.lost,
        untrue_refusals: sums.false_not_run,
        peak_cold: fakes
            .iter()
            .map(|fake| fake.peak_cold_in_flight)
            .max()
            .unwrap_or(0),
        cold_bound_passed: fakes.iter().map(|fake| fake.cold_limit_exceeded).sum(),
        shed: fakes.iter().map(|fake| fake.shed).sum(),
        late_work,
        seconds: service_by_second(layout, window, records),
        fan_out: LatencyPercentiles::new(sums.fan_out_us),
        single: LatencyPercentiles::new(sums.single_us),
    }
}

/// Returns the share of the slots that answered shards of fan-out queries occupied, in percent.
///
/// A shard counts if its upstream completed it within the window, since its query may end much
/// later, up to its deadline.
fn carried_percent(layout: &Layout, window: MeasuredInterval, records: &[QueryRecord]) -> f64 {
    let mut busy_us = 0;
    for record in records {
        let kind = &layout.kinds[record.kind];
        if kind.is_fan_out() {
            busy_us += record.covered_within(window) * kind.serve_us;
        }
    }
    let slots_us = u64::from(layout.fan_out_slots()) * (window.until_us - window.from_us);
    percent(busy_us as f64, slots_us as f64)
}

/// Returns the share of queries answered in time for each second, by weight and coverage.
fn service_by_second(
    layout: &Layout,
    window: MeasuredInterval,
    records: &[QueryRecord],
) -> Vec<f64> {
    let count = (window.until_us - window.from_us) / 1_000_000;
    let mut sums = Vec::new();
    sums.resize_with(count as usize, QuerySums::default);
    for record in records {
        if window.contains(record.sent_us) {
            let second = (record.sent_us - window.from_us) / 1_000_000;
            sums[second as usize].add_record(record, &layout.kinds[record.kind]);
        }
    }
    let service = sums.iter().map(|sums| percent(sums.service, sums.weight));
    service.collect()
}

fn percent(part: f64, whole: f64) -> f64 {
    match whole > 0.0 {
        true => 100.0 * part / whole,
        false => 0.0,
    }
}

impl MeasuredInterval {
    pub(super) fn contains(&self, at_us: u64) -> bool {
        (self.from_us..self.until_us).contains(&at_us)
    }
}
