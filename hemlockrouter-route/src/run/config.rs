//! Configuration of a [`Runner`](super::Runner).

/// Configuration of a [`Runner`](super::Runner), with chained setters.
///
/// # Examples
///
/// ```
/// use hemlockrouter_route::RunConfig;
///
/// let config = RunConfig::new().zone("north").outcome_ttl_ms(300_000);
/// # let _ = config;
/// ```
#[derive(Clone, Debug)]
pub struct RunConfig {
    pub(crate) zone: String,
    pub(crate) ticket_ttl_ms: u64,
    pub(crate) outcome_ttl_ms: u64,
    pub(crate) max_stored_requests: usize,
    pub(crate) max_stored_requests_per_customer: usize,
    pub(crate) max_stored_body_bytes: usize,
    pub(crate) max_forwards: usize,
    pub(crate) max_callers_per_request: usize,
    pub(crate) max_tries: u8,
    pub(crate) answer_margin_ms: u64,
    pub(crate) retry_after_min_ms: u32,
    pub(crate) retry_after_max_ms: u32,
}

impl RunConfig {
    /// Creates the default configuration.
    pub fn new() -> RunConfig {
        RunConfig {
            zone: String::new(),
            ticket_ttl_ms: 600_000,
            outcome_ttl_ms: 600_000,
            max_stored_requests: 100_000,
            max_stored_requests_per_customer: 20_000,
            max_stored_body_bytes: 32 << 20,
            max_forwards: 4_096,
            max_callers_per_request: 16,
            max_tries: 8,
            answer_margin_ms: 10,
            retry_after_min_ms: 50,
            retry_after_max_ms: 5_000,
        }
    }

    /// Sets the name of this instance's availability zone, whose upstreams are preferred. Default:
    /// none.
    pub fn zone(mut self, name: &str) -> RunConfig {
        self.zone = name.to_owned();
        self
    }

    /// Sets the validity period of a ticket, in milliseconds. Default: 600,000.
    pub fn ticket_ttl_ms(mut self, ticket_ttl_ms: u64) -> RunConfig {
        self.ticket_ttl_ms = ticket_ttl_ms;
        self
    }

    /// Sets how long the outcome of a request is kept, in milliseconds. Default: 600,000. A request
    /// with a ticket is kept at least until the ticket expires.
    pub fn outcome_ttl_ms(mut self, outcome_ttl_ms: u64) -> RunConfig {
        self.outcome_ttl_ms = outcome_ttl_ms;
        self
    }

    /// Sets the maximum number of requests that are kept. Further ones are refused. Default:
    /// 100,000.
    pub fn max_stored_requests(mut self, requests: usize) -> RunConfig {
        self.max_stored_requests = requests;
        self
    }

    /// Sets the maximum number of requests of one customer that are kept. Default: 20,000.
    pub fn max_stored_requests_per_customer(mut self, requests: usize) -> RunConfig {
        self.max_stored_requests_per_customer = requests;
        self
    }

    /// Sets the maximum total size of the answers that are kept, in bytes. Default: 32 MiB. Beyond
    /// it the oldest answers are dropped, and a repeat of their request gets
    /// [`Unknown`](hemlockrouter_wire::run::RunOutcome::Unknown).
    pub fn max_stored_body_bytes(mut self, bytes: usize) -> RunConfig {
        self.max_stored_body_bytes = bytes;
        self
    }

    /// Sets the maximum number of requests that are forwarded and not yet answered. Default: 4,096.
    pub fn max_forwards(mut self, requests: usize) -> RunConfig {
        self.max_forwards = requests;
        self
    }

    /// Sets the maximum number of callers that wait for the same request. Default: 16.
    pub fn max_callers_per_request(mut self, callers: usize) -> RunConfig {
        self.max_callers_per_request = callers;
        self
    }

    /// Sets the maximum number of upstreams that are tried one after another while each replies
    /// that it did not run the request. Default: 8.
    pub fn max_tries(mut self, tries: u8) -> RunConfig {
        self.max_tries = tries.max(1);
        self
    }

    /// Sets how long before the deadline the caller is answered, in milliseconds. An upstream's
    /// owner gets a deadline that is earlier by the same margin again, so that its refusal is back
    /// in time. Default: 10, and at most a tenth of the time between start and deadline.
    pub fn answer_margin_ms(mut self, answer_margin_ms: u64) -> RunConfig {
        self.answer_margin_ms = answer_margin_ms;
        self
    }

    /// Sets the bounds of the retry-after time in refusals, in milliseconds. Default: 50 to 5,000.
    pub fn retry_after_ms(mut self, min_ms: u32, max_ms: u32) -> RunConfig {
        self.retry_after_min_ms = min_ms.min(max_ms);
        self.retry_after_max_ms = max_ms;
        self
    }
}

impl Default for RunConfig {
    fn default() -> RunConfig {
        RunConfig::new()
    }
}
