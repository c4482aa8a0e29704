//! Claims: names of requests that callers chose, written to the platform's store.
//!
//! The create-only write of a claim decides which instance may run the request. The nonce in it
//! tells an instance whether a claim that it finds is its own, also when the answer to its write
//! was lost.

use std::fmt::Write;

use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::Digest;
use sha2::Sha256;

use super::ticket::hex_u64;

/// Who may run the request of an idempotency key, as the store holds it.
#[serde_as]
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The instance that alone may run it.
    pub instance: InstanceId,
    /// Drawn at random for this claim.
    pub nonce: u64,
    /// The SHA-256 hash of the request's body.
    #[serde_as(as = "Hex")]
    pub body_hash: [u8; 32],
    /// The operation.
    pub operation: OperationKey,
}

/// Names a claim: a hash of the customer and the idempotency key.
///
/// Customers choose their keys and distrust one another, so the hash must be one for which nobody
/// can find two inputs that agree.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct ClaimName([u8; 16]);

impl ClaimName {
    /// Returns the name for `key` of the customer called `customer`.
    pub(super) fn new(customer: &str, key: &str) -> ClaimName {
        // The length keeps ("ab", "c") and ("a", "bc") apart.
        let hash = Sha256::new()
            .chain_update((customer.len() as u64).to_be_bytes())
            .chain_update(customer)
            .chain_update(key)
            .finalize();
        let mut name = [0; 16];
        name.copy_from_slice(&hash[..16]);
        ClaimName(name)
    }

    /// Returns the last part of the store's key.
    pub(super) fn text(&self) -> String {
        let mut text = String::with_capacity(32);
        for byte in self.0 {
            write!(text, "{byte:02x}").expect("writing to a string succeeds");
        }
        text
    }

    /// Returns what names the claim to the instance that made it.
    pub(super) fn token(&self, nonce: u64) -> String {
        format!("k-{}-{nonce:016x}", self.text())
    }

    /// Reads a token: the name and the nonce of a claim.
    pub(super) fn parse_token(token: &str) -> Option<(ClaimName, u64)> {
        let (name, nonce) = token.strip_prefix("k-")?.split_once('-')?;
        if name.len() != 32 || !name.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let name = u128::from_str_radix(name, 16).ok()?;
        Some((ClaimName(name.to_be_bytes()), hex_u64(nonce)?))
    }
}
