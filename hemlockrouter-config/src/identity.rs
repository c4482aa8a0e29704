//! Which customer a bearer key belongs to.
//!
//! The configuration holds the SHA-256 hash of each customer's key. A presented key is hashed, the
//! hash is looked up by its first bytes, and the whole is then compared in constant time, with a
//! decoy where nothing was found. So an unknown key costs what a wrong one costs, and the cost does
//! not grow with the number of customers. Looking up by the first bytes of a hash tells nothing
//! about keys: whoever wants a certain hash has to try keys, and learns no more from trying here
//! than offline.

use std::collections::BTreeMap;

use hemlockrouter_types::prelude::*;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// What is compared where no customer is found. No key is known to have this hash.
const DECOY: &[Entry] = &[Entry {
    hash: [0; 32],
    customer: None,
}];

/// Finds customers by their bearer keys.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    /// By the first eight bytes of the hash, which all but name one customer.
    customers: BTreeMap<u64, Vec<Entry>>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    hash: [u8; 32],
    customer: Option<CustomerKey>,
}

impl KeyIndex {
    /// Builds the index of a catalogue's customers.
    pub fn new(catalog: &Catalog) -> KeyIndex {
        let mut index = KeyIndex::default();
        for (key, customer) in catalog.customers.iter() {
            let hash = customer.key_sha256;
            let bucket = index.customers.entry(prefix(&hash)).or_default();
            bucket.push(Entry {
                hash,
                customer: Some(key),
            });
        }
        index
    }

    /// Returns the customer whose key `bearer` is.
    pub fn find(&self, bearer: &str) -> Option<CustomerKey> {
        let presented: [u8; 32] = Sha256::digest(bearer.as_bytes()).into();
        let bucket = self.customers.get(&prefix(&presented));
        let mut found = None;
        for entry in bucket.map_or(DECOY, Vec::as_slice) {
            if entry.hash.ct_eq(&presented).into() {
                found = entry.customer;
            }
        }
        found
    }
}

/// Returns the customer whose key `bearer` is, without an index: the cost grows with the number of
/// customers, and is the same whichever of them is found, or none.
pub fn find_customer_by_key(catalog: &Catalog, bearer: &str) -> Option<CustomerKey> {
    let presented: [u8; 32] = Sha256::digest(bearer.as_bytes()).into();
    let mut found = None;
    for (key, customer) in catalog.customers.iter() {
        if customer.key_sha256.ct_eq(&presented).into() {
            found = Some(key);
        }
    }
    found
}

fn prefix(hash: &[u8; 32]) -> u64 {
    let bytes = hash[..8].try_into().expect("a hash has 32 bytes");
    u64::from_be_bytes(bytes)
}
