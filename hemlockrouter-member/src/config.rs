//! Settings of membership, leases and the configuration relay: intervals, timeouts and limits.

/// Settings of a [`Member`](crate::Member). Every instance of a zone must have the same `lease_ms`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Config {
    pub(crate) probe_interval_ms: u64,
    pub(crate) probe_timeout_ms: u64,
    pub(crate) indirect_probes: usize,
    pub(crate) suspicion_timeout_ms: u64,
    pub(crate) rumours_per_message: usize,
    pub(crate) contact_interval_ms: u64,
    pub(crate) compare_interval_ms: u64,
    pub(crate) list_lag_ms: u64,
    pub(crate) refusal_is_proof: bool,
    pub(crate) lease_ms: u64,
    pub(crate) holder_margin_ms: u64,
    pub(crate) lease_renew_interval_ms: u64,
    pub(crate) lease_request_retry_ms: u64,
    pub(crate) relay_fan_out: usize,
    pub(crate) pull_jitter_max_ms: u64,
    pub(crate) retained_notes_max: usize,
    pub(crate) retained_notes_max_bytes: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            probe_interval_ms: 1_000,
            probe_timeout_ms: 400,
            indirect_probes: 3,
            suspicion_timeout_ms: 2_500,
            rumours_per_message: 6,
            contact_interval_ms: 2_000,
            compare_interval_ms: 10_000,
            list_lag_ms: 60_000,
            refusal_is_proof: true,
            lease_ms: 7_000,
            holder_margin_ms: 500,
            lease_renew_interval_ms: 3_500,
            lease_request_retry_ms: 500,
            relay_fan_out: 4,
            pull_jitter_max_ms: 500,
            retained_notes_max: 256,
            retained_notes_max_bytes: 1 << 20,
        }
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $type:ty;)*) => {
        impl Config {
            $(
                $(#[$doc])*
                pub fn $name(mut self, $name: $type) -> Config {
                    self.$name = $name;
                    self
                }
            )*
        }
    };
}

setters! {
    /// Sets the interval at which a peer of the own zone is probed, in milliseconds. Default 1,000.
    probe_interval_ms: u64;
    /// Sets the time after which a probe without an answer is repeated through other peers, in
    /// milliseconds. Default 400.
    probe_timeout_ms: u64;
    /// Sets how many peers are asked to repeat a probe that was not answered. Default 3.
    indirect_probes: usize;
    /// Sets how long a suspect may refute the suspicion before it is declared dead, in
    /// milliseconds. Default 2,500.
    suspicion_timeout_ms: u64;
    /// Sets how many rumours one message carries. Default 6.
    rumours_per_message: usize;
    /// Sets the average interval at which a contact of the zone probes a contact of another zone,
    /// in milliseconds. Default 2,000.
    contact_interval_ms: u64;
    /// Sets the average interval at which an instance compares its table of one zone with a peer's,
    /// in milliseconds. Default 10,000.
    compare_interval_ms: u64;
    /// Sets how far the platform's list may lag, in milliseconds: after this time a dead instance
    /// that was never listed counts as missing from the list. Default 60,000.
    list_lag_ms: u64;
    /// Sets whether a refused connection to a dead instance proves that its process has ended.
    /// Default true. Set it to false where a proxy or firewall between instances of one zone may
    /// refuse connections to an instance that is still running.
    refusal_is_proof: bool;
    /// Sets how long a promise binds the instance that gave it, in milliseconds. Default 7,000.
    lease_ms: u64;
    /// Sets how much earlier than its guards the holder of a lease considers it ended, in
    /// milliseconds. The margin covers clocks that run at different rates. Default 500.
    holder_margin_ms: u64;
    /// Sets the interval at which leases are renewed, in milliseconds. Default 3,500.
    lease_renew_interval_ms: u64;
    /// Sets the time after which a lease request that was refused or not answered is repeated, in
    /// milliseconds. Default 500.
    lease_request_retry_ms: u64;
    /// Sets how many other instances one instance passes a release note on to. Default 4.
    relay_fan_out: usize;
    /// Sets the longest wait before an instance that lacks release notes pulls them, in
    /// milliseconds. Default 500.
    pull_jitter_max_ms: u64;
    /// Sets how many release notes are kept for peers that lack them. Default 256.
    retained_notes_max: usize;
    /// Sets how many bytes of release notes are kept for peers that lack them. Default 1 MiB.
    retained_notes_max_bytes: usize;
}
