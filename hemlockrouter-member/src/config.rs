//! How often instances probe, how long leases last, how much news travels.

/// Settings of a [`Member`](crate::Member). Every instance of a zone must have the same `lease_ms`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Config {
    pub(crate) probe_every_ms: u64,
    pub(crate) probe_timeout_ms: u64,
    pub(crate) indirect_probes: usize,
    pub(crate) suspicion_ms: u64,
    pub(crate) rumours_per_message: usize,
    pub(crate) contact_every_ms: u64,
    pub(crate) compare_every_ms: u64,
    pub(crate) list_lag_ms: u64,
    pub(crate) refusal_is_proof: bool,
    pub(crate) lease_ms: u64,
    pub(crate) margin_ms: u64,
    pub(crate) renew_every_ms: u64,
    pub(crate) ask_again_ms: u64,
    pub(crate) fan_out: usize,
    pub(crate) pull_jitter_ms: u64,
    pub(crate) tail_notes: usize,
    pub(crate) tail_bytes: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            probe_every_ms: 1_000,
            probe_timeout_ms: 400,
            indirect_probes: 3,
            suspicion_ms: 2_500,
            rumours_per_message: 6,
            contact_every_ms: 2_000,
            compare_every_ms: 10_000,
            list_lag_ms: 60_000,
            refusal_is_proof: true,
            lease_ms: 7_000,
            margin_ms: 500,
            renew_every_ms: 3_500,
            ask_again_ms: 500,
            fan_out: 4,
            pull_jitter_ms: 500,
            tail_notes: 256,
            tail_bytes: 1 << 20,
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
    /// How often a peer of the own zone is probed, in milliseconds. Default 1,000.
    probe_every_ms: u64;
    /// When a probe without an answer is repeated through other peers, in milliseconds. Default 400.
    probe_timeout_ms: u64;
    /// How many peers are asked to repeat such a probe. Default 3.
    indirect_probes: usize;
    /// How long a suspect may refute before it counts as dead, in milliseconds. Default 2,500.
    suspicion_ms: u64;
    /// How many rumours one message carries. Default 6.
    rumours_per_message: usize;
    /// How often a contact of the zone talks to a contact of another one, in milliseconds. Default
    /// 2,000.
    contact_every_ms: u64;
    /// How often an instance compares its table of one zone with a peer's, in milliseconds. Default
    /// 10,000.
    compare_every_ms: u64;
    /// How far the platform's list may lag, in milliseconds: the time after which a dead instance
    /// that was never listed counts as missing from the list. Default 60,000.
    list_lag_ms: u64;
    /// Whether a refused connection to a dead instance proves that its process has ended. Default
    /// true; set it to false where something between instances of one zone refuses connections in
    /// the place of an instance that may be running.
    refusal_is_proof: bool;
    /// How long a promise binds the instance that gave it, in milliseconds. Default 7,000.
    lease_ms: u64;
    /// By how much earlier the holder stops, in milliseconds; covers clocks that run at different
    /// rates. Default 500.
    margin_ms: u64;
    /// How often leases are renewed, in milliseconds. Default 3,500.
    renew_every_ms: u64;
    /// When an unanswered or refused ask is repeated, in milliseconds. Default 500.
    ask_again_ms: u64;
    /// How many instances one instance passes a note to. Default 4.
    fan_out: usize;
    /// The longest wait before a lagging instance pulls, in milliseconds. Default 500.
    pull_jitter_ms: u64;
    /// How many notes are kept for lagging peers. Default 256.
    tail_notes: usize;
    /// How many bytes of notes are kept for lagging peers. Default 1 MiB.
    tail_bytes: usize;
}
