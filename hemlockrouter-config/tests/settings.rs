//! Tests that invalid settings are rejected with the file, the line, the field and the expected
//! value.

use hemlockrouter_config::Settings;
use insta::assert_snapshot;

const VALID_SETTINGS: &str = r#"{
    // A comment.
    "zone": "z1",
    "callers_listen": "127.0.0.1:1",
    "operators_listen": "127.0.0.1:2",
    "instances_listen": "127.0.0.1:3",
    "platform": { "store_address": "127.0.0.1:8500" },
    "keys": { "operators_key_env": "HEMLOCK_TEST_A", "instances_key_env": "HEMLOCK_TEST_B" },
    "timing": { "lease_ms": 9000 },
}"#;

/// Replaces a part of the valid settings, and returns the resulting error message.
fn error_message(part: &str, other: &str) -> String {
    assert!(VALID_SETTINGS.contains(part));
    let settings = Settings::parse(&VALID_SETTINGS.replacen(part, other, 1), "settings.jsonc");
    settings.expect_err("the settings are wrong").to_string()
}

#[test]
fn invalid_settings_give_errors_with_line_and_field() {
    let error_messages = [
        error_message("\"zone\": \"z1\",", ""),
        error_message("\"z1\"", "\"z 1\""),
        error_message("\"z1\"", "{}"),
        error_message("\"zone\"", "\"zones\""),
        error_message("\"zone\": \"z1\"", "\"zone\": \"z1\", \"zone\": \"z2\""),
        error_message("\"127.0.0.1:2\"", "\"localhost:2\""),
        error_message("127.0.0.1:2", "127.0.0.1:1"),
        error_message("127.0.0.1:3", "0.0.0.0:3"),
        error_message("127.0.0.1:8500", "127.0.0.1:0"),
        error_message("{ \"store_address\": \"127.0.0.1:8500\" }", "{}"),
        error_message("\"operators_key_env\": \"HEMLOCK_TEST_A\",", ""),
        error_message(
            "{ \"operators_key_env\"",
            "{ \"operators_key_file\": \"f\", \"operators_key_env\"",
        ),
        error_message("9000", "-1"),
        error_message("9000", "3.5"),
        error_message("9000", "1500"),
        error_message("\"lease_ms\"", "\"leas_ms\""),
        error_message("\"timing\"", "\"log\""),
        error_message("{ \"lease_ms\": 9000 }", "[]"),
        error_message("9000 }", "9000"),
        error_message(VALID_SETTINGS, ""),
    ];
    assert_snapshot!(error_messages.join("\n"), @r#"
    settings.jsonc:1: zone: missing; expected the name of the availability zone
    settings.jsonc:3: zone: expected a name of 1 to 64 letters, digits, '.', '_' or '-', found "z 1"
    settings.jsonc:3: zone: expected a name, found an object
    settings.jsonc:3: zones: unknown field; did you mean "zone"?
    settings.jsonc:3: zone: is given twice; first on line 3
    settings.jsonc:5: operators_listen: expected an IP address with a port, such as "10.0.0.7:8080", found "localhost:2"
    settings.jsonc:5: operators_listen: is the same address as callers_listen
    settings.jsonc:6: instances_listen: other instances can't connect to an unspecified address; set instances_advertise
    settings.jsonc:7: platform.store_address: expected an address and a port that others can connect to, found "127.0.0.1:0"
    settings.jsonc:7: platform.store_address: missing; expected an address with a port
    settings.jsonc:8: keys: expected operators_key_file or operators_key_env
    settings.jsonc:8: keys.operators_key_env: operators_key_file is given too; expected one of the two
    settings.jsonc:9: timing.lease_ms: expected a whole number from 100 to 600000, found -1
    settings.jsonc:9: timing.lease_ms: expected a whole number from 100 to 600000, found 3.5
    settings.jsonc:9: timing: lease_renew_ms (3500) and lease_margin_ms (500) together must be less than lease_ms (1500)
    settings.jsonc:9: timing.leas_ms: unknown field; did you mean "lease_ms"?
    settings.jsonc:9: log.lease_ms: unknown field; expected one of level, filter
    settings.jsonc:9: timing: expected an object, found a list
    settings.jsonc:1: not JSON with comments: Unterminated object
    settings.jsonc:1: expected an object, found nothing
    "#);
}

#[test]
fn keys_are_loaded_from_their_sources_and_never_appear_in_errors() {
    let settings =
        Settings::parse(VALID_SETTINGS, "settings.jsonc").expect("the settings are good");
    let load = |a: &str, b: &str| {
        std::env::set_var("HEMLOCK_TEST_A", a);
        std::env::set_var("HEMLOCK_TEST_B", b);
        settings.load_keys()
    };
    let valid_key = "operators-key-0123";
    let keys = load(&format!(" {valid_key}\n"), "instances-key-0123").expect("the keys are good");
    assert!(keys.operators.matches(valid_key));
    assert!(!format!("{keys:?}").contains("0123"));
    let refused = [
        load(valid_key, "too-short"),
        load(valid_key, valid_key),
        load("with a space inside", valid_key),
    ];
    let error_messages = refused.map(|keys| keys.expect_err("the keys are wrong").to_string());
    assert_snapshot!(error_messages.join("\n"), @r#"
    settings.jsonc:8: keys.instances_key_env: the key is shorter than 16 characters
    settings.jsonc:8: keys.instances_key_env: the key is the same as the operators' key
    settings.jsonc:8: keys.operators_key_env: the key holds a character other than visible ASCII
    "#);
    let missing = VALID_SETTINGS.replace(
        "\"operators_key_env\": \"HEMLOCK_TEST_A\"",
        "\"operators_key_file\": \"/none\"",
    );
    let missing = Settings::parse(&missing, "settings.jsonc").expect("the settings are good");
    assert_snapshot!(missing.load_keys().expect_err("there is no such file"), @r#"
    settings.jsonc:8: keys.operators_key_file: can't read /none: No such file or directory (os error 2)
    "#);
}
