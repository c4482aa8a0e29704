//! Benchmarks of applying a note, encoding and decoding the base document, and finding a customer by
//! its key, in catalogues of up to the size that the design targets.

use std::hint::black_box;

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::Criterion;
use hemlockrouter_config::apply_accepted_note;
use hemlockrouter_config::BaseDocument;
use hemlockrouter_config::KeyIndex;

#[path = "../tests/support/large.rs"]
mod large;

use large::large_catalog;
use large::test_upstream;

const UPSTREAM_CHANGE_NOTE: &[u8] = br#"{
    "id": "n", "author": "kim",
    "changed": { "upstreams": { "hall-finder-7-0": { "in_service": false } } }
}"#;

fn bench_notes_and_base(c: &mut Criterion) {
    for customers in [10, 500] {
        let mut catalog = large_catalog(customers);
        let zone = catalog.find_zone("zone-0").expect("it was added");
        catalog.upstreams.insert(test_upstream(9_999, zone));
        let number = catalog.number.next();
        c.bench_function(&format!("accept a note, {customers} customers"), |b| {
            b.iter(|| apply_accepted_note(black_box(&catalog), number, UPSTREAM_CHANGE_NOTE));
        });
    }
    let catalog = large_catalog(500);
    let document = BaseDocument::encode(&catalog);
    c.bench_function("encode the base document", |b| {
        b.iter(|| BaseDocument::encode(&catalog))
    });
    c.bench_function("decode the base document", |b| {
        b.iter(|| BaseDocument::decode(&document))
    });
}

fn bench_key_lookup(c: &mut Criterion) {
    for customers in [10, 500] {
        let index = KeyIndex::new(&large_catalog(customers));
        c.bench_function(
            &format!("find no customer by key, {customers} customers"),
            |b| {
                b.iter(|| index.find(black_box("demo-customer-key-0123456789abcdef")));
            },
        );
    }
}

criterion_group!(benches, bench_notes_and_base, bench_key_lookup);
criterion_main!(benches);
