//! Tests that the base document of a catalogue of the size that the design targets fits into a few
//! values of the store, and preserves all keys.

use hemlockrouter_config::note::NOTE_MAX_BYTES;
use hemlockrouter_config::BaseDocument;

#[path = "support/large.rs"]
mod large;

use large::large_catalog;
use large::test_upstream;

const CUSTOMER_COUNT: u32 = 500;

#[test]
fn large_base_document_fits_into_three_store_values() {
    let catalog = large_catalog(CUSTOMER_COUNT);
    let document = BaseDocument::encode(&catalog);
    assert!(
        document.len() <= 3 * NOTE_MAX_BYTES,
        "{} bytes",
        document.len()
    );
    assert_eq!(BaseDocument::decode(&document).as_ref(), Ok(&catalog));
}

#[test]
fn additions_get_the_same_keys_after_decoding_a_base_document() {
    let mut catalog = large_catalog(CUSTOMER_COUNT);
    let removed_key = catalog.upstreams.iter().nth(3).expect("there are many").0;
    catalog.upstreams.remove(removed_key);
    let mut decoded =
        BaseDocument::decode(&BaseDocument::encode(&catalog)).expect("it was encoded");
    let zone = catalog.find_zone("zone-0").expect("it was added");
    let added = catalog.upstreams.insert(test_upstream(9_999, zone));
    assert_eq!(decoded.upstreams.insert(test_upstream(9_999, zone)), added);
    assert_ne!(added, removed_key);
}
