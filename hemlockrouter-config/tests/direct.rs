//! Tests of the settings of an instance that dispatches to upstreams directly.

use hemlockrouter_config::DirectSettings;
use hemlockrouter_config::DispatchMode;
use hemlockrouter_config::ErrorKind;

/// The settings template that the platform renders for each instance.
const SETTINGS_TEMPLATE: &str = include_str!("../../deploy/settings.jsonc");

/// The template's placeholders and their values, as JSON or as plain text.
const TEMPLATE_VALUES: &[(&str, &str)] = &[
    ("{{nodeName|json}}", "\"frontend-daegu-a-1\""),
    ("{{zone|json}}", "\"daegu-a\""),
    (
        "{{zones|json}}",
        r#"{"daegu-a":"yeongnam","seoul-b":"sudogwon"}"#,
    ),
    ("{{listen.front|json}}", "\"10.1.0.9:8104\""),
    ("{{listen.ready|json}}", "\"10.1.0.9:8108\""),
    ("{{platform.address|json}}", "\"10.200.1.7:8102\""),
    ("{{ip}}", "10.1.0.9"),
    ("{{listen.control|json}}", "\"10.1.0.9:8106\""),
    (
        "{{#seeds}}{{.|json}}{{,}}{{/seeds}}",
        r#""10.1.0.9:8106","10.2.0.21:8106""#,
    ),
    ("{{limits.memoryMb|json}}", "260"),
    ("{{limits.cpuShare|json}}", "0.25"),
    ("{{bounds.configApplyMs|json}}", "3000"),
    ("{{bounds.evacuateMs|json}}", "5000"),
    ("{{bounds.drainMs|json}}", "3000"),
    ("{{bounds.graceS|json}}", "6"),
    ("{{bounds.contactMs|json}}", "5000"),
    ("{{bounds.retryBudgetRatio|json}}", "0.2"),
    ("{{bounds.retryWindowS|json}}", "10"),
    ("{{bounds.retrySlack|json}}", "58"),
    ("{{bounds.warmupOverage|json}}", "1.5"),
    ("{{bounds.warmupSlack|json}}", "5"),
];

fn render_template() -> String {
    let filled =
        TEMPLATE_VALUES
            .iter()
            .fold(String::from(SETTINGS_TEMPLATE), |text, (field, value)| {
                assert!(text.contains(field), "the template does not use {field}");
                text.replace(field, value)
            });
    assert!(!filled.contains("{{"), "a field is not filled in: {filled}");
    filled
}

#[test]
fn deployed_settings_template_parses() {
    let text = render_template();
    assert_eq!(
        DispatchMode::from_settings(&text, "boot"),
        Ok(DispatchMode::Direct)
    );
    let settings = DirectSettings::parse(&text, "boot").expect("the settings are in order");
    insta::assert_debug_snapshot!(settings);
}

#[test]
fn dispatch_field_selects_the_settings_format() {
    assert_eq!(
        DispatchMode::from_settings("{}", "a"),
        Ok(DispatchMode::ThroughOwners)
    );
    assert_eq!(
        DispatchMode::from_settings(r#"{"dispatch": "owners"}"#, "a"),
        Ok(DispatchMode::ThroughOwners)
    );
    let err = DispatchMode::from_settings(r#"{"dispatch": "magic"}"#, "a").unwrap_err();
    assert_eq!(
        err.to_string(),
        r#"a:1: dispatch: expected "owners" or "direct", found "magic""#
    );
}

#[test]
fn invalid_direct_settings_give_errors_with_position_and_expected_value() {
    let text = render_template();
    let cases = [
        ("\"zone\":", "\"zon\":", ErrorKind::UnknownField),
        ("\"daegu-a\",", "\"busan-x\",", ErrorKind::NotFound),
        ("\"10.1.0.9:8104\"", "8104", ErrorKind::InvalidValue),
        (
            "\"shutdown_s\": 6",
            "\"shutdown_s\": \"soon\"",
            ErrorKind::InvalidValue,
        ),
        (
            "\"repeat_ratio\": 0.2",
            "\"repeat_ratio\": -1",
            ErrorKind::InvalidValue,
        ),
        ("10.1.0.9:8108", "10.1.0.9:8104", ErrorKind::Conflict),
        (
            "\"memory_mb\": 260",
            "\"memory_mb\": 1",
            ErrorKind::InvalidValue,
        ),
        ("10.2.0.21:8106", "a seed", ErrorKind::InvalidValue),
        (
            "\"protocol\": \"corporation\",",
            "",
            ErrorKind::MissingField,
        ),
        (
            "\"log\":",
            "\"sharing\": {\"parts_min\": 0},\n    \"log\":",
            ErrorKind::InvalidValue,
        ),
        (
            "\"log\":",
            "\"sharing\": {\"parts\": 4},\n    \"log\":",
            ErrorKind::UnknownField,
        ),
    ];
    let errors = cases.map(|(from, to, kind)| {
        let broken = text.replacen(from, to, 1);
        assert_ne!(broken, text, "{from} is not in the template");
        let err = DirectSettings::parse(&broken, "boot").unwrap_err();
        assert_eq!(err.kind(), kind, "{err}");
        err.to_string()
    });
    insta::assert_snapshot!(errors.join("\n"));
}

/// Settings that differ from the deployed settings in every field that can have another value.
const DIFFERENT_SETTINGS: &str = r#"{
    "dispatch": "direct",
    "protocol": "corporation",
    "name": "other",
    "zone": "seoul-b",
    "zones": {"seoul-b": "sudogwon"},
    "callers_listen": "10.1.0.8:1",
    "ready_listen": "10.1.0.8:2",
    "metrics_listen": "10.1.0.8:3",
    "relay_listen": "10.1.0.8:4",
    "seeds": ["10.1.0.8:9"],
    "memory_mb": 99,
    "cpu_share": 0.5,
    "registry_address": "10.1.0.8:5",
    "bounds": {
        "in_force_ms": 800,
        "evacuate_ms": 700,
        "drain_ms": 200,
        "shutdown_s": 9,
        "catch_up_ms": 900,
        "repeat_ratio": 0.3,
        "repeat_window_s": 9,
        "repeat_allowance": 9,
        "cold_overage": 9,
        "cold_slack": 9,
    },
    "sharing": {"parts_min": 9, "parts_each": 9},
    "log": {"level": "error", "filter": "hemlockrouter=trace"},
}"#;

#[test]
fn reload_adopts_live_fields_and_names_fixed_fields() {
    let mut settings = DirectSettings::parse(&render_template(), "a").expect("they are in order");
    let newer = DirectSettings::parse(DIFFERENT_SETTINGS, "b").expect("they are in order");
    let changed = settings.diff(&newer);
    insta::assert_debug_snapshot!(changed);
    settings.apply_reload(&newer);
    let remaining_changes = settings.diff(&newer);
    assert!(remaining_changes.live.is_empty(), "{remaining_changes:?}");
    assert_eq!(remaining_changes.fixed, changed.fixed);
}
