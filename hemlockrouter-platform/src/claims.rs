//! Claims that keep a request from running twice.
//!
//! An instance claims the caller's idempotency key by a create-only write before it dispatches
//! anything. If several instances receive the same key, exactly one claim succeeds. The bytes of a
//! claim contain a nonce. An instance that got no response to its write can therefore read the key
//! back and see whether the stored claim is its own.

use crate::store::Store;
use crate::store::WriteCondition;
use crate::store::WriteOutcome;

/// Prefix of the keys of claims in the store.
pub const CLAIMS_PREFIX: &str = "hemlockrouter/claims/";

/// Maximum number of times that a claim is written and read back before the outcome is
/// [`ClaimOutcome::Unavailable`].
const CLAIM_ATTEMPTS_MAX: usize = 2;

/// The outcome of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The store holds the claim of this call.
    Won,
    /// The store already holds another claim, whose bytes these are.
    HeldByOther(Vec<u8>),
    /// The store did not answer. The claim may have taken effect, or may still take effect later. The
    /// instance that made the claim must not run the request, and may report that the request did not
    /// run.
    Unavailable {
        /// Whether the claim may have taken effect.
        may_have_taken_effect: bool,
    },
}

/// Claims the idempotency key `key`, which is stored under [`CLAIMS_PREFIX`]. The bytes of `claim`
/// must be unique to this call, so they contain a nonce.
pub fn claim<S>(store: &S, key: &str, claim: &[u8]) -> ClaimOutcome
where
    S: Store + ?Sized,
{
    let key = format!("{CLAIMS_PREFIX}{key}");
    let mut may_have_taken_effect = false;
    for _ in 0..CLAIM_ATTEMPTS_MAX {
        match store.write(&key, claim, WriteCondition::IfAbsent) {
            WriteOutcome::Applied => return ClaimOutcome::Won,
            WriteOutcome::NotApplied => {
                return ClaimOutcome::Unavailable {
                    may_have_taken_effect,
                }
            }
            WriteOutcome::ConditionFailed => {}
            WriteOutcome::Unknown => may_have_taken_effect = true,
        }
        let Ok(read) = store.get_latest(&key) else {
            return ClaimOutcome::Unavailable {
                may_have_taken_effect,
            };
        };
        match read.entry {
            Some(entry) if entry.value == claim => return ClaimOutcome::Won,
            Some(entry) => return ClaimOutcome::HeldByOther(entry.value),
            // The write has not taken effect yet. Repeating the identical write is safe.
            None => {}
        }
    }
    ClaimOutcome::Unavailable {
        may_have_taken_effect,
    }
}
