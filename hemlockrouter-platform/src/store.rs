//! The key-value store, as the rest of the product sees it.
//!
//! The trait is as narrow as what the protocols need, so that another store can stand behind it.
//! Its methods return outcomes: that the store does not answer is expected, and a write may have
//! taken effect although no answer came.

use derive_more::Display;

/// A key-value store with compare-and-swap and blocking reads.
pub trait Store: Send + Sync {
    /// Reads `key`. While the store fails over, it may return an old value.
    ///
    /// # Errors
    ///
    /// [`Down`] if no answer came, or none that could be understood.
    fn get(&self, key: &str) -> Result<Read, Down>;

    /// Reads `key` as it is: a write that ended before the call began is seen. It costs the store
    /// more than [`get`](Store::get).
    ///
    /// # Errors
    ///
    /// As [`get`](Store::get).
    fn get_latest(&self, key: &str) -> Result<Read, Down>;

    /// Waits up to `wait_ms` milliseconds until `key` has changed since a read that returned
    /// `index`, and reads it. It may return earlier without a change, and an old value like
    /// [`get`](Store::get).
    ///
    /// # Errors
    ///
    /// As [`get`](Store::get).
    fn wait(&self, key: &str, index: u64, wait_ms: u64) -> Result<Read, Down>;

    /// Returns the keys that begin with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// As [`get`](Store::get).
    fn keys(&self, prefix: &str) -> Result<Vec<String>, Down>;

    /// Writes `value` under `key` if `guard` allows it.
    fn write(&self, key: &str, value: &[u8], guard: Guard) -> Written;

    /// Deletes `key`.
    fn delete(&self, key: &str) -> Written;
}

/// What a read of one key returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Read {
    /// Names the state that was read; [`Store::wait`] waits for a later one.
    pub index: u64,
    /// The value, or nothing if there is no such key.
    pub entry: Option<Entry>,
}

/// A value and its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// Changes with each write of the key.
    pub version: u64,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Guard {
    /// The key does not exist.
    Absent,
    /// The key exists in this version.
    Version(u64),
    /// None: the write replaces whatever is there.
    Any,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Written {
    /// It took effect.
    Yes,
    /// It took no effect, since its guard did not hold.
    No,
    /// It took no effect, since it did not reach the store or the store turned it away.
    NotSent,
    /// No answer came: it took effect, or will, or never does.
    Unknown,
}

/// The store or the list did not answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("the platform does not answer: {why}")]
pub struct Down {
    /// What was seen.
    pub why: String,
}

impl Down {
    /// Makes one from what was seen.
    pub fn new<W>(why: W) -> Down
    where
        W: ToString,
    {
        Down {
            why: why.to_string(),
        }
    }
}

impl std::error::Error for Down {}
