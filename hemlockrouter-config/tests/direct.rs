//! Tests of the settings of an instance that dispatches to upstreams directly.

use hemlockrouter_config::DirectSettings;
use hemlockrouter_config::DispatchMode;
use hemlockrouter_config::ErrorKind;
use proptest::prelude::*;

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

/// The figures of the template: each field with the least and the greatest value allowed.
const FIGURES: &[(&str, f64, f64)] = &[
    ("memory_mb", 16.0, 1_048_576.0),
    ("cpu_share", 0.0, 1_024.0),
    ("in_force_ms", 500.0, 600_000.0),
    ("evacuate_ms", 500.0, 600_000.0),
    ("drain_ms", 100.0, 600_000.0),
    ("shutdown_s", 0.0, 600.0),
    ("catch_up_ms", 500.0, 600_000.0),
    ("repeat_ratio", 0.0, 10.0),
    ("repeat_window_s", 1.0, 600.0),
    ("repeat_allowance", 0.0, 1e6),
    ("cold_overage", 0.0, 100.0),
    ("cold_slack", 0.0, 1e6),
];

/// Returns the template with another value for a figure.
fn render_with_figure(name: &str, value: &str) -> String {
    let text = render_template();
    let lines = text.lines().map(|line| {
        let is_figure = line.trim_start().starts_with(&format!("\"{name}\":"));
        match is_figure {
            true => format!("\"{name}\": {value},"),
            false => String::from(line),
        }
    });
    let changed = lines.collect::<Vec<_>>().join("\n");
    assert!(changed.contains(&format!("\"{name}\": {value},")));
    changed
}

/// Returns a figure of loaded settings, in the unit of the settings.
fn figure(settings: &DirectSettings, name: &str) -> f64 {
    match name {
        "memory_mb" => settings.memory_bytes as f64 / f64::from(1 << 20),
        "cpu_share" => f64::from(settings.cpu_permille) / 1_000.0,
        "in_force_ms" => settings.in_force_ms as f64,
        "evacuate_ms" => settings.evacuate_ms as f64,
        "drain_ms" => settings.drain_ms as f64,
        "shutdown_s" => settings.shutdown_ms as f64 / 1_000.0,
        "catch_up_ms" => settings.catch_up_ms as f64,
        "repeat_ratio" => settings.repeat_ratio,
        "repeat_window_s" => settings.repeat_window_ms as f64 / 1_000.0,
        "repeat_allowance" => settings.repeat_allowance,
        "cold_overage" => settings.cold_overage,
        "cold_slack" => settings.cold_slack,
        _ => unreachable!("{name} is no figure"),
    }
}

/// Returns what the platform may write for a figure: any number in any notation, true, false,
/// nothing, and what no page allows.
fn figure_text() -> impl Strategy<Value = String> {
    prop_oneof![
        (0_u32..10_000).prop_map(|whole| whole.to_string()),
        (0_u32..10_000).prop_map(|whole| format!("{whole}.0")),
        (0.0..10_000.0).prop_map(|number: f64| number.to_string()),
        (0.0..10_000.0).prop_map(|number: f64| format!("{number:e}")),
        any::<f64>().prop_map(|number| format!("{number:e}")),
        prop::sample::select(vec![
            "true", "false", "null", "\"soon\"", "[]", "{}", "1e999"
        ])
        .prop_map(String::from),
    ]
}

proptest! {
    /// Guards against a process that does not start because of one figure (review 12).
    #[test]
    fn figures_of_any_form_are_used_or_replaced(
        (name, min, max) in prop::sample::select(FIGURES),
        value in figure_text(),
    ) {
        let loaded = DirectSettings::load(&render_with_figure(name, &value), "boot");
        let loaded = loaded.expect("one figure does not make settings unusable");
        let used = figure(&loaded.settings, name);
        let number: Option<f64> = value.parse().ok().filter(|number: &f64| number.is_finite());
        match number.filter(|number| (min..=max).contains(number)) {
            Some(number) => {
                // Durations are cut to whole milliseconds, and shares to a thousandth.
                prop_assert!((used - number).abs() <= 1.0, "{number} became {used}");
                prop_assert_eq!(&loaded.replaced, &[]);
            }
            None => {
                prop_assert!((min..=max).contains(&used), "{value} became {used}");
                prop_assert_eq!(loaded.replaced.len(), 1);
            }
        }
    }
}

/// Guards against a figure that bounds nothing and becomes the shortest bound (soak seed 9000).
#[test]
fn figures_below_zero_give_the_default() {
    let text = render_with_figure("drain_ms", "-3000.0");
    let loaded = DirectSettings::load(&text, "boot").expect("the rest is in order");
    assert_eq!(loaded.settings.drain_ms, 3_000);
    let text = render_with_figure("drain_ms", "20");
    let loaded = DirectSettings::load(&text, "boot").expect("the rest is in order");
    assert_eq!(loaded.settings.drain_ms, 100);
}

/// Guards against a fraction that is lost or refused (review 12).
#[test]
fn fractions_of_bounds_are_kept() {
    let load = |name, value| {
        let loaded = DirectSettings::load(&render_with_figure(name, value), "boot");
        loaded.expect("fractions are allowed").settings
    };
    assert_eq!(load("shutdown_s", "6.5").shutdown_ms, 6_500);
    assert_eq!(load("repeat_window_s", "9.25").repeat_window_ms, 9_250);
    assert_eq!(load("drain_ms", "2999.9").drain_ms, 2_999);
    assert_eq!(load("memory_mb", "2.6e2").memory_bytes, 260 << 20);
}

/// Guards against one address that keeps a process from starting (review 12).
#[test]
fn seeds_and_optional_ports_that_cannot_be_used_are_left_out() {
    let text = render_template()
        .replace("\"10.2.0.21:8106\"", "\"a seed\"")
        .replace("\"10.1.0.9:7380\"", "null");
    let loaded = DirectSettings::load(&text, "boot").expect("the rest is in order");
    assert_eq!(loaded.settings.seeds.len(), 1);
    assert_eq!(loaded.settings.metrics_listen, None);
    assert_eq!(loaded.replaced.len(), 2);
}
