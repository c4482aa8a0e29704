//! Tests that a note is either applied completely, or rejected with an error that names the line.

use hemlockrouter_config::apply_accepted_note;
use hemlockrouter_config::Note;
use hemlockrouter_types::prelude::*;
use insta::assert_snapshot;

const FIRST_NOTE: &str = r#"{
    "id": "first", "author": "kim",
    "added": {
        "zones": { "z1": { "region": "r1" }, "z2": { "region": "r1" } },
        "upstreams": {
            "u1": { "address": "127.0.0.1:1", "zone": "z1", "slots": 2, "connections": 25 },
            "u2": { "address": "127.0.0.1:2", "zone": "z2", "slots": 2, "connections": 25 }
        },
        "customers": {
            "c1": {
                "key_sha256": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
                "max_in_flight": 10, "max_per_second": 10
            }
        },
        "searches": { "c1/s1": { "shards": { "a": ["u1"], "b": ["u1", "u2"] } } },
        "operations": { "c1/o1": { "upstreams": ["u2"] } }
    }
}"#;

fn catalog_after_first_note() -> Catalog {
    let note = Note::parse(FIRST_NOTE, "first").expect("the note is well formed");
    note.apply(&Catalog::default(), ConfigNumber(1))
        .expect("the note checks")
}

/// Applies a second note, with the given sections, to the catalogue of the first note.
fn apply_second_note(sections: &str) -> Result<Catalog, String> {
    let text = format!("{{\n\"id\": \"n\", \"author\": \"lee\",\n{sections}\n}}");
    let note = Note::parse(&text, "note").map_err(|err| err.to_string())?;
    note.apply(&catalog_after_first_note(), ConfigNumber(2))
        .map_err(|err| err.to_string())
}

#[test]
fn invalid_notes_give_errors_with_line_and_field() {
    let upstream = |fields: &str| {
        format!(
            r#""added": {{"upstreams": {{"u3": {{"slots": 2, "connections": 25, {fields}}}}}}}"#
        )
    };
    let notes = [
        String::new(),
        String::from(r#""added": {"zone": {}}"#),
        String::from(r#""added": {"zones": {"z1": {"region": "r"}}}"#),
        String::from(r#""added": {"zones": {"z/3": {"region": "r"}}}"#),
        String::from(r#""added": {"zones": {"z3": {}}}"#),
        upstream(r#""address": "127.0.0.1:1", "zone": "z1""#),
        upstream(r#""address": "127.0.0.1:3", "zone": "z3""#),
        upstream(r#""address": "127.0.0.1:3", "zone": "z1", "cold_slots": 3"#),
        upstream(r#""address": "127.0.0.1:3", "zone": "z1", "colt_slots": 1"#),
        String::from(r#""changed": {"upstreams": {"u1": {"slots": 0}}}"#),
        String::from(r#""changed": {"customers": {"c2": {"max_in_flight": 1}}}"#),
        String::from(r#""changed": {"customers": {"c1": {"key_sha256": "the key itself"}}}"#),
        String::from("\"changed\": {\"searches\": {\"c1/s1\": {\"shards\": {\n\"a\": [\"u9\"]}}}}"),
        String::from(r#""changed": {"searches": {"c1/s1": {"map": 1}}}"#),
        String::from(r#""changed": {"searches": {"s1": {"map": 2}}}"#),
        String::from(r#""changed": {"operations": {"c1/o1": {"upstreams": []}}}"#),
        String::from(r#""changed": {"operations": {"c1/o1": {"upstreams": ["u1", "u1"]}}}"#),
        String::from(r#""withdrawn": {"zones": ["z1"]}"#),
        String::from(r#""withdrawn": {"customers": ["c1"]}"#),
        String::from("\"withdrawn\": {\"searches\": [\"c1/s1\"],\n\"upstreams\": [\"u2\"]}"),
        String::from(r#""withdrawn": {"upstreams": ["u9"]}"#),
    ];
    let error_messages = notes.map(|note| apply_second_note(&note).expect_err("the note is wrong"));
    assert_snapshot!(error_messages.join("\n"), @r#"
    note:1: expected something added, changed or withdrawn
    note:3: added.zone: unknown field; did you mean "zones"?
    note:3: added.zones.z1: the zone exists already; change it under "changed"
    note:3: added.zones.z/3: expected a name of 1 to 64 letters, digits, '.', '_' or '-'
    note:3: added.zones.z3.region: missing; expected the name of a region
    note:3: added.upstreams.u3.address: upstream "u1" has the same address
    note:3: added.upstreams.u3: there is no zone "z3"
    note:3: added.upstreams.u3.cold_slots: expected at most slots (2), found 3
    note:3: added.upstreams.u3.colt_slots: unknown field; did you mean "cold_slots"?
    note:3: changed.upstreams.u1.slots: expected a whole number from 1 to 1000000, found 0
    note:3: changed.customers.c2: there is no such customer
    note:3: changed.customers.c1.key_sha256: expected the SHA-256 hash of the customer's key, as 64 hexadecimal digits
    note:4: changed.searches.c1/s1: there is no upstream "u9"
    note:3: changed.searches.c1/s1.map: expected a number above 1, found 1
    note:3: changed.searches.s1: expected a name of the form "customer/name"
    note:3: changed.operations.c1/o1.upstreams: expected at least one upstream
    note:3: changed.operations.c1/o1.upstreams[1]: is given twice
    note:3: withdrawn.zones.z1: upstream "u1" is still in the zone
    note:3: withdrawn.customers.c1: the customer still has the search "s1"
    note:4: withdrawn.upstreams.u2: the operation "o1" still uses the upstream
    note:3: withdrawn.upstreams.u9: there is no such upstream
    "#);
}

#[test]
fn one_note_can_move_a_search_and_withdraw_its_old_upstreams() {
    let catalog = apply_second_note(
        r#""added": {"upstreams": {"u3": {"address": "127.0.0.1:3", "zone": "z2", "slots": 2,
            "connections": 25}}},
        "changed": {"searches": {"c1/s1": {"shards": {"a": ["u3"], "b": ["u2"]}}}},
        "withdrawn": {"upstreams": ["u1"], "zones": ["z1"]}"#,
    );
    let catalog = catalog.expect("the note checks");
    let customer = catalog.find_customer("c1").expect("the customer stays");
    let search = catalog
        .find_search(customer, "s1")
        .and_then(|key| catalog.searches.get(key));
    let search = search.expect("the search stays");
    assert_eq!(search.map, MapVersion(1), "the shards are the same ones");
    assert_eq!(
        search.shards[0].upstreams,
        [catalog.find_upstream("u3").expect("it was added")]
    );
    assert_eq!(catalog.find_upstream("u1"), None);
}

#[test]
fn changing_the_shards_of_a_search_increments_its_map_version() {
    let map = |shards: &str| {
        let catalog = apply_second_note(&format!(
            r#""changed": {{"searches": {{"c1/s1": {shards}}}}}"#
        ));
        let catalog = catalog.expect("the note checks");
        let search = catalog
            .searches
            .iter()
            .next()
            .expect("there is one search")
            .1
            .map;
        search.0
    };
    assert_eq!(map(r#"{"shards": {"a": ["u1"]}}"#), 2);
    assert_eq!(map(r#"{"shards": {"b": ["u1"], "a": ["u1"]}}"#), 2);
    assert_eq!(map(r#"{"map": 9}"#), 9);
    assert_eq!(map(r#"{"weight": 2}"#), 1);
}

#[test]
fn invalid_note_in_the_store_changes_only_the_catalog_number() {
    let before = catalog_after_first_note();
    let accepted = apply_accepted_note(&before, ConfigNumber(2), b"{}");
    assert!(accepted.skip_error.is_some());
    let expected = Catalog {
        number: ConfigNumber(2),
        ..before
    };
    assert_eq!(accepted.catalog, expected);
}

#[test]
fn note_with_a_used_id_is_rejected() {
    let again = Note::parse(FIRST_NOTE, "first").expect("the note is well formed");
    let err = again
        .apply(&catalog_after_first_note(), ConfigNumber(2))
        .expect_err("the id was used");
    assert_snapshot!(err, @r#"
    first:2: id: a note with this id was accepted as number 1; choose another id
    "#);
}
