//! Lookup of a customer by its bearer key.
//!
//! The configuration holds the SHA-256 hash of each customer's key. A presented key is hashed, the
//! index is searched by the first bytes of the hash, and the full hashes are then compared in
//! constant time. If the index has no match, the hash is compared with a decoy, so the duration
//! does not reveal whether the first bytes matched. The cost does not grow with the number of
//! customers. The lookup by the first bytes reveals nothing about keys: an attacker who wants a
//! particular hash must try keys, and learns no more from trying them here than offline.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The entry that is compared if the index has no match. No key is known to have this hash.
const DECOY_ENTRIES: &[KeyEntry] = &[KeyEntry {
    hash: [0; 32],
    customer: None,
}];

/// An index of customers by the hashes of their bearer keys.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    /// The entries by the first eight bytes of their hashes. Almost every bucket has one entry.
    buckets: BTreeMap<u64, Vec<KeyEntry>>,
}

#[derive(Clone, Copy, Debug)]
struct KeyEntry {
    hash: [u8; 32],
    customer: Option<CustomerKey>,
}

impl KeyIndex {
    /// Creates an index of a catalogue's customers.
    pub fn new(catalog: &Catalog) -> KeyIndex {
        let mut index = KeyIndex::default();
        for (key, customer) in catalog.customers.iter() {
            let hash = customer.key_sha256;
            let bucket = index.buckets.entry(hash_prefix(&hash)).or_default();
            bucket.push(KeyEntry {
                hash,
                customer: Some(key),
            });
        }
        index
    }

    /// Returns the customer with the bearer key `bearer_key`.
    pub fn find(&self, bearer_key: &str) -> Option<CustomerKey> {
        let presented_hash: [u8; 32] = Sha256::digest(bearer_key.as_bytes()).into();
        let bucket = self.buckets.get(&hash_prefix(&presented_hash));
        let mut found = None;
        for entry in bucket.map_or(DECOY_ENTRIES, Vec::as_slice) {
            if entry.hash.ct_eq(&presented_hash).into() {
                found = entry.customer;
            }
        }
        found
    }
}

/// Returns the customer with the bearer key `bearer_key`, without an index. The cost grows with the
/// number of customers, and does not depend on which customer matches or on whether one does.
pub fn find_customer_by_key(catalog: &Catalog, bearer_key: &str) -> Option<CustomerKey> {
    let presented_hash: [u8; 32] = Sha256::digest(bearer_key.as_bytes()).into();
    let mut found = None;
    for (key, customer) in catalog.customers.iter() {
        if customer.key_sha256.ct_eq(&presented_hash).into() {
            found = Some(key);
        }
    }
    found
}

fn hash_prefix(hash: &[u8; 32]) -> u64 {
    let bytes = hash[..8].try_into().expect("a hash has 32 bytes");
    u64::from_be_bytes(bytes)
}
