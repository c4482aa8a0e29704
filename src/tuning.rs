//! Derives the configuration of each decision package from the settings.

use hemlockrouter_config::Settings;
use hemlockrouter_limit::Config as LimitConfig;
use hemlockrouter_member::Config as MemberConfig;
use hemlockrouter_route::RunConfig;
use hemlockrouter_route::SearcherConfig;

/// Validity of a ticket, in milliseconds.
pub(crate) const TICKET_VALIDITY_MS: u64 = 600_000;

/// Factor that converts a percentage into a fraction.
const FRACTION_PER_PERCENT: f64 = 0.01;

/// Returns the configuration of the membership.
pub(crate) fn member_config(settings: &Settings) -> MemberConfig {
    let timing = &settings.timing;
    MemberConfig::default()
        .probe_interval_ms(timing.probe_every_ms)
        .probe_timeout_ms(timing.probe_timeout_ms)
        .suspicion_timeout_ms(timing.suspect_ms)
        .lease_ms(timing.lease_ms)
        .holder_margin_ms(timing.lease_margin_ms)
        .lease_renew_interval_ms(timing.lease_renew_ms)
}

/// Returns the configuration of the limiter.
pub(crate) fn limiter_config(settings: &Settings) -> LimitConfig {
    LimitConfig::new().queue_max(settings.limits.queue_max)
}

/// Returns the configuration of the searcher.
pub(crate) fn searcher_config(settings: &Settings) -> SearcherConfig {
    let timing = &settings.timing;
    SearcherConfig::new()
        .zone(&settings.zone)
        .hedge_quantile(f64::from(timing.hedge_quantile_percent) * FRACTION_PER_PERCENT)
        .max_hedge_share(f64::from(timing.hedge_budget_percent) * FRACTION_PER_PERCENT)
        .max_retry_share(f64::from(timing.retry_budget_percent) * FRACTION_PER_PERCENT)
        .max_in_flight(settings.limits.requests_max)
}

/// Returns the configuration of the runner.
pub(crate) fn runner_config(settings: &Settings) -> RunConfig {
    RunConfig::new()
        .zone(&settings.zone)
        .max_stored_requests(settings.limits.tickets_max)
}
