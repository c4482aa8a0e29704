//! Claims: records in the platform's store for requests whose identifiers the callers chose.
//!
//! The create-only write of a claim decides which instance may run the request. An instance
//! recognises its own claim by the nonce in it, even if the answer to the write was lost.

use std::fmt::Write;

use hemlockrouter_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::Digest;
use sha2::Sha256;

use super::ticket::parse_hex_u64;

/// Record in the store of the instance that may run the request of an idempotency key.
#[serde_as]
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The only instance that may run the request.
    pub instance: InstanceId,
    /// A random number that identifies this claim.
    pub nonce: u64,
    /// The SHA-256 hash of the request's body.
    #[serde_as(as = "Hex")]
    pub body_hash: [u8; 32],
    /// The operation of the request.
    pub operation: OperationKey,
}

/// Identifier of a claim: a hash of the customer and the idempotency key.
///
/// Customers choose their keys and distrust one another, so the hash must be collision-resistant.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct ClaimName([u8; 16]);

impl ClaimName {
    /// Creates the identifier for the idempotency key `key` of the customer named `customer`.
    pub(super) fn new(customer: &str, key: &str) -> ClaimName {
        // The length prefix distinguishes ("ab", "c") from ("a", "bc").
        let hash = Sha256::new()
            .chain_update((customer.len() as u64).to_be_bytes())
            .chain_update(customer)
            .chain_update(key)
            .finalize();
        let mut name = [0; 16];
        name.copy_from_slice(&hash[..16]);
        ClaimName(name)
    }

    /// Returns the last segment of the claim's key in the store, in hexadecimal.
    pub(super) fn hex_text(&self) -> String {
        let mut text = String::with_capacity(32);
        for byte in self.0 {
            write!(text, "{byte:02x}").expect("writing to a string succeeds");
        }
        text
    }

    /// Returns the token that identifies the claim to the instance that wrote it.
    pub(super) fn token(&self, nonce: u64) -> String {
        format!("k-{}-{nonce:016x}", self.hex_text())
    }

    /// Parses a token into the identifier and the nonce of a claim.
    pub(super) fn parse_token(token: &str) -> Option<(ClaimName, u64)> {
        let (name, nonce) = token.strip_prefix("k-")?.split_once('-')?;
        if name.len() != 32 || !name.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let name = u128::from_str_radix(name, 16).ok()?;
        Some((ClaimName(name.to_be_bytes()), parse_hex_u64(nonce)?))
    }
}
