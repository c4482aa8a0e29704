//! The text form of experiment reports.

use std::fmt::Write;

use super::ExperimentReport;
use super::Scenario;

/// Share of the calm service from which service counts as recovered.
const RECOVERED_SHARE: f64 = 0.99;

/// Formats reports as a text table with one line for each report.
pub fn table(reports: &[ExperimentReport]) -> String {
    let mut text = String::from(
        "deployment scenario     policy         queries | p50 ms p99 ms p99.9 ms | single p99 \
         | cover % whole % service % refused % | extra % carried % | cold peak passed | lost untrue   shed late | back s\n",
    );
    for report in reports {
        let options = &report.options;
        writeln!(
            text,
            "{:<10} {:<12} {:<14} {:>7} | {:>6.1} {:>6.1} {:>8.1} | {:>10.1} | {:>7.2} {:>7.2} {:>9.2} \
             {:>9.2} | {:>7.2} {:>9.1} | {:>9} {:>6} | {:>4} {:>6} {:>6} {:>4} | {:>6}",
            options.deployment.to_string(),
            options.scenario.to_string(),
            options.policy.to_string(),
            report.queries,
            report.fan_out.p50_ms,
            report.fan_out.p99_ms,
            report.fan_out.p999_ms,
            report.single.p99_ms,
            report.coverage_percent,
            report.whole_percent,
            report.service_percent,
            report.refused_percent,
            report.extra_percent,
            report.carried_percent,
            report.peak_cold,
            report.cold_bound_passed,
            report.lost,
            report.untrue_refusals,
            report.shed,
            report.late_work,
            format_recovery_time(report),
        )
        .expect("writing to a string succeeds");
    }
    text
}

/// Formats the time that service took to recover after the zone was back, in seconds.
fn format_recovery_time(report: &ExperimentReport) -> String {
    if report.options.scenario != Scenario::ZoneOut {
        return "-".to_owned();
    }
    match report.seconds_until_recovery(RECOVERED_SHARE) {
        Some(seconds) => seconds.to_string(),
        None => "never".to_owned(),
    }
}
