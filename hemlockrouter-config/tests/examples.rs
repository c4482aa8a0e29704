//! Tests that the example settings can be parsed, and that the example note can be applied.

use hemlockrouter_config::find_customer_by_key;
use hemlockrouter_config::BaseDocument;
use hemlockrouter_config::KeyIndex;
use hemlockrouter_config::Note;
use hemlockrouter_config::Settings;
use hemlockrouter_types::prelude::*;

const EXAMPLE_SETTINGS: &str = include_str!("../../examples/settings.jsonc");
const EXAMPLE_NOTE: &str = include_str!("../../examples/note.jsonc");

#[test]
fn example_settings_can_be_parsed() {
    let settings = Settings::parse(EXAMPLE_SETTINGS, "examples/settings.jsonc").unwrap();
    assert_eq!(settings.zone, "daegu-1");
    assert_eq!(settings.limits.body_max_bytes, 65_536);
}

#[test]
fn example_note_can_be_applied() {
    let note = Note::parse(EXAMPLE_NOTE, "examples/note.jsonc").unwrap();
    let catalog = note.apply(&Catalog::default(), ConfigNumber(1)).unwrap();
    assert_eq!(catalog.number, ConfigNumber(1));
    let teachers = catalog.find_customer("teachers").unwrap();
    let halls = catalog.find_search(teachers, "halls").unwrap();
    assert_eq!(catalog.searches.get(halls).unwrap().shards.len(), 2);
    let key = "example-key-of-teachers";
    assert_eq!(find_customer_by_key(&catalog, key), Some(teachers));
    assert_eq!(KeyIndex::new(&catalog).find(key), Some(teachers));
    assert_eq!(KeyIndex::new(&catalog).find("another"), None);
    assert_eq!(
        BaseDocument::decode(&BaseDocument::encode(&catalog)),
        Ok(catalog)
    );
}
