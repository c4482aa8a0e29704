//! Interface of the key-value store for the rest of the product.
//!
//! The trait offers only what the protocols need, so that other stores can implement it. Its
//! methods return typed outcomes, because an unavailable store is an expected condition and a write
//! may take effect even if no response arrives.

use derive_more::Display;

/// A key-value store with compare-and-swap and blocking reads.
pub trait Store: Send + Sync {
    /// Reads `key`. The value may be stale while the store fails over.
    ///
    /// # Errors
    ///
    /// [`PlatformUnavailable`] if no response arrived, or the response could not be decoded.
    fn get(&self, key: &str) -> Result<ReadResult, PlatformUnavailable>;

    /// Reads `key` with a consistent read, which sees every write that ended before the call began. A
    /// consistent read costs the store more than [`get`](Store::get).
    ///
    /// # Errors
    ///
    /// Same as [`get`](Store::get).
    fn get_latest(&self, key: &str) -> Result<ReadResult, PlatformUnavailable>;

    /// Waits up to `wait_ms` milliseconds until `key` has changed since a read that returned
    /// `index`, and then reads `key`. The call may return early without a change, and the value may be
    /// stale as in [`get`](Store::get).
    ///
    /// # Errors
    ///
    /// Same as [`get`](Store::get).
    fn wait(&self, key: &str, index: u64, wait_ms: u64) -> Result<ReadResult, PlatformUnavailable>;

    /// Returns the keys that begin with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// Same as [`get`](Store::get).
    fn keys(&self, prefix: &str) -> Result<Vec<String>, PlatformUnavailable>;

    /// Writes `value` under `key` if the condition `guard` holds.
    fn write(&self, key: &str, value: &[u8], guard: WriteCondition) -> WriteOutcome;

    /// Deletes `key`.
    fn delete(&self, key: &str) -> WriteOutcome;
}

/// The result of reading one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadResult {
    /// Index of the state that was read; [`Store::wait`] waits for a later state.
    pub index: u64,
    /// The value and its version, or `None` if the key does not exist.
    pub entry: Option<Entry>,
}

/// A value and its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// Version number, which changes with each write of the key.
    pub version: u64,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCondition {
    /// The key does not exist.
    IfAbsent,
    /// The key exists and has this version.
    IfVersion(u64),
    /// No condition: the write replaces any value.
    Unconditional,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied,
    /// The write took no effect because its condition did not hold.
    ConditionFailed,
    /// The write took no effect because it did not reach the store or the store rejected it.
    NotApplied,
    /// No usable response arrived: the write has taken effect, may take effect later, or never will.
    Unknown,
}

/// Error for a call to the store or the instance list that got no usable response.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("the platform does not answer: {reason}")]
pub struct PlatformUnavailable {
    /// Description of the failure.
    pub reason: String,
}

impl PlatformUnavailable {
    /// Creates the error from a description of the failure.
    pub fn new<W>(reason: W) -> PlatformUnavailable
    where
        W: ToString,
    {
        PlatformUnavailable {
            reason: reason.to_string(),
        }
    }
}

impl std::error::Error for PlatformUnavailable {}
