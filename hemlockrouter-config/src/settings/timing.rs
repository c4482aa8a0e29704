//! The settings for intervals, timeouts, and hedge and retry budgets.

use crate::document::JsonObject;
use crate::error::Error;
use crate::error::ErrorKind;

/// The known fields of the settings' `timing` object.
const TIMING_FIELDS: &[&str] = &[
    "deadline_max_ms",
    "probe_every_ms",
    "probe_timeout_ms",
    "suspect_ms",
    "lease_ms",
    "lease_margin_ms",
    "lease_renew_ms",
    "upstream_connect_ms",
    "watch_ms",
    "store_retry_min_ms",
    "store_retry_max_ms",
    "shutdown_ms",
    "hedge_quantile_percent",
    "hedge_budget_percent",
    "retry_budget_percent",
];

/// Intervals, timeouts, and hedge and retry budgets of one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Timing {
    /// The longest deadline that a caller may ask for, in milliseconds. Default: 60,000.
    pub deadline_max_ms: u64,
    /// The interval between two probes of other instances, in milliseconds. Default: 1,000.
    pub probe_every_ms: u64,
    /// The timeout of a probe, in milliseconds. Default: 400.
    pub probe_timeout_ms: u64,
    /// The time within which a suspected instance can refute the suspicion, in milliseconds.
    /// Default: 2,500.
    pub suspect_ms: u64,
    /// The duration of an ownership lease after its last renewal, in milliseconds. Default: 7,000.
    pub lease_ms: u64,
    /// The time before the end of its lease at which an owner stops dispatching, in milliseconds.
    /// Default: 500.
    pub lease_margin_ms: u64,
    /// The interval between two renewals of a lease, in milliseconds. Default: 3,500.
    pub lease_renew_ms: u64,
    /// The timeout for connecting to an upstream, in milliseconds. Default: 500.
    pub upstream_connect_ms: u64,
    /// The time for which one blocking read of the store waits for a new note, in milliseconds.
    /// Default: 30,000.
    pub watch_ms: u64,
    /// The first backoff before a retry of a failed store call, in milliseconds. The backoff
    /// doubles after each failure. Default: 500.
    pub store_retry_min_ms: u64,
    /// The longest backoff before a retry of a failed store call, in milliseconds. Default: 10,000.
    pub store_retry_max_ms: u64,
    /// The time for which a graceful shutdown waits for requests in flight, in milliseconds.
    /// Default: 30,000.
    pub shutdown_ms: u64,
    /// The quantile of a shard's own latency after which a slow sub-request is hedged, in percent.
    /// Default: 95.
    pub hedge_quantile_percent: u32,
    /// The largest number of hedges per hundred sub-requests. Default: 5.
    pub hedge_budget_percent: u32,
    /// The largest number of retries per hundred sub-requests. Default: 5.
    pub retry_budget_percent: u32,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            deadline_max_ms: 60_000,
            probe_every_ms: 1_000,
            probe_timeout_ms: 400,
            suspect_ms: 2_500,
            lease_ms: 7_000,
            lease_margin_ms: 500,
            lease_renew_ms: 3_500,
            upstream_connect_ms: 500,
            watch_ms: 30_000,
            store_retry_min_ms: 500,
            store_retry_max_ms: 10_000,
            shutdown_ms: 30_000,
            hedge_quantile_percent: 95,
            hedge_budget_percent: 5,
            retry_budget_percent: 5,
        }
    }
}

impl Timing {
    pub(super) fn read(settings: &JsonObject<'_, '_>) -> Result<Timing, Error> {
        let default = Timing::default();
        let Some(field) = settings.get("timing") else {
            return Ok(default);
        };
        let object = field.object(TIMING_FIELDS)?;
        let timing = Timing {
            deadline_max_ms: object.number_or(
                "deadline_max_ms",
                default.deadline_max_ms,
                1,
                600_000,
            )?,
            probe_every_ms: object.number_or(
                "probe_every_ms",
                default.probe_every_ms,
                10,
                60_000,
            )?,
            probe_timeout_ms: object.number_or(
                "probe_timeout_ms",
                default.probe_timeout_ms,
                1,
                60_000,
            )?,
            suspect_ms: object.number_or("suspect_ms", default.suspect_ms, 10, 600_000)?,
            lease_ms: object.number_or("lease_ms", default.lease_ms, 100, 600_000)?,
            lease_margin_ms: object.number_or(
                "lease_margin_ms",
                default.lease_margin_ms,
                1,
                60_000,
            )?,
            lease_renew_ms: object.number_or(
                "lease_renew_ms",
                default.lease_renew_ms,
                10,
                60_000,
            )?,
            upstream_connect_ms: object.number_or(
                "upstream_connect_ms",
                default.upstream_connect_ms,
                1,
                60_000,
            )?,
            watch_ms: object.number_or("watch_ms", default.watch_ms, 100, 600_000)?,
            store_retry_min_ms: object.number_or(
                "store_retry_min_ms",
                default.store_retry_min_ms,
                10,
                60_000,
            )?,
            store_retry_max_ms: object.number_or(
                "store_retry_max_ms",
                default.store_retry_max_ms,
                10,
                600_000,
            )?,
            shutdown_ms: object.number_or("shutdown_ms", default.shutdown_ms, 100, 600_000)?,
            hedge_quantile_percent: object.number_or(
                "hedge_quantile_percent",
                default.hedge_quantile_percent,
                50,
                99,
            )?,
            hedge_budget_percent: object.number_or(
                "hedge_budget_percent",
                default.hedge_budget_percent,
                0,
                100,
            )?,
            retry_budget_percent: object.number_or(
                "retry_budget_percent",
                default.retry_budget_percent,
                0,
                100,
            )?,
        };
        timing.check(&object)?;
        Ok(timing)
    }

    /// Checks fields that constrain each other.
    fn check(&self, object: &JsonObject<'_, '_>) -> Result<(), Error> {
        if self.lease_margin_ms + self.lease_renew_ms >= self.lease_ms {
            let message = format!(
                "lease_renew_ms ({}) and lease_margin_ms ({}) together must be less than \
                 lease_ms ({})",
                self.lease_renew_ms, self.lease_margin_ms, self.lease_ms
            );
            return Err(object.error(ErrorKind::Conflict, message));
        }
        if self.probe_timeout_ms > self.probe_every_ms {
            let message = format!(
                "probe_timeout_ms ({}) must be at most probe_every_ms ({})",
                self.probe_timeout_ms, self.probe_every_ms
            );
            return Err(object.error(ErrorKind::Conflict, message));
        }
        if self.store_retry_min_ms > self.store_retry_max_ms {
            let message = format!(
                "store_retry_min_ms ({}) must be at most store_retry_max_ms ({})",
                self.store_retry_min_ms, self.store_retry_max_ms
            );
            return Err(object.error(ErrorKind::Conflict, message));
        }
        Ok(())
    }
}
