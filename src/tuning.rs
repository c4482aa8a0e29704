//! Derives the configuration of each decision package from the settings.

use hemlockrouter_config::Settings;
use hemlockrouter_limit::Config as LimitConfig;
use hemlockrouter_member::Config as MemberConfig;
use hemlockrouter_route::Config as SearchConfig;
use hemlockrouter_route::RunConfig;

/// Validity of a ticket, in milliseconds.
pub(crate) const TICKET_MS: u64 = 600_000;

/// Factor that converts a percentage into a fraction.
const PERCENT: f64 = 0.01;

/// Returns the configuration of the membership.
pub(crate) fn member(settings: &Settings) -> MemberConfig {
    let timing = &settings.timing;
    MemberConfig::default()
        .probe_every_ms(timing.probe_every_ms)
        .probe_timeout_ms(timing.probe_timeout_ms)
        .suspicion_ms(timing.suspect_ms)
        .lease_ms(timing.lease_ms)
        .margin_ms(timing.lease_margin_ms)
        .renew_every_ms(timing.lease_renew_ms)
}

/// Returns the configuration of the limiter.
pub(crate) fn limiter(settings: &Settings) -> LimitConfig {
    LimitConfig::new().queue_max(settings.limits.queue_max)
}

/// Returns the configuration of the searcher.
pub(crate) fn searcher(settings: &Settings) -> SearchConfig {
    let timing = &settings.timing;
    SearchConfig::new()
        .zone(&settings.zone)
        .hedge_quantile(f64::from(timing.hedge_quantile_percent) * PERCENT)
        .hedge_share(f64::from(timing.hedge_budget_percent) * PERCENT)
        .retry_share(f64::from(timing.retry_budget_percent) * PERCENT)
        .max_in_flight(settings.limits.requests_max)
}

/// Returns the configuration of the runner.
pub(crate) fn runner(settings: &Settings) -> RunConfig {
    RunConfig::new()
        .zone(&settings.zone)
        .max_remembered(settings.limits.tickets_max)
}
