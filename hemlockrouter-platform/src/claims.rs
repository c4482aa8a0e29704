//! Claims of requests that must not be repeated.
//!
//! A caller's idempotency key is claimed by a create-only write before anything is dispatched: of
//! all instances that get the same key, one wins. The claim's bytes hold a nonce, so that an
//! instance whose answer was lost can read the key back and see whether it was its own write that
//! took effect.

use crate::store::Guard;
use crate::store::Store;
use crate::store::Written;

/// Where claims stand in the store.
pub const CLAIMS_PREFIX: &str = "hemlockrouter/claims/";

/// How often a write whose answer was lost is settled before the claim is given up.
const SETTLE_MAX: usize = 2;

/// How a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claimed {
    /// The claim stands, and is this one.
    Won,
    /// An earlier claim stands; its bytes.
    Taken(Vec<u8>),
    /// The store did not answer. The claim may stand all the same, or come to stand later; whoever
    /// made it must not run the request, and may say that it did not run.
    Unavailable {
        /// Whether the claim may stand.
        maybe: bool,
    },
}

/// Claims `key`, the part after [`CLAIMS_PREFIX`]. `claim` must be unique to this call: it holds
/// a nonce.
pub fn claim<S>(store: &S, key: &str, claim: &[u8]) -> Claimed
where
    S: Store + ?Sized,
{
    let key = format!("{CLAIMS_PREFIX}{key}");
    let mut maybe = false;
    for _ in 0..SETTLE_MAX {
        match store.write(&key, claim, Guard::Absent) {
            Written::Yes => return Claimed::Won,
            Written::NotSent => return Claimed::Unavailable { maybe },
            Written::No => {}
            Written::Unknown => maybe = true,
        }
        let Ok(read) = store.get_latest(&key) else {
            return Claimed::Unavailable { maybe };
        };
        match read.entry {
            Some(entry) if entry.value == claim => return Claimed::Won,
            Some(entry) => return Claimed::Taken(entry.value),
            // The write did not take effect so far. Writing the same again is safe.
            None => {}
        }
    }
    Claimed::Unavailable { maybe }
}
