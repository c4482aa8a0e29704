//! Tests that the table of settings in docs/OPERATIONS.md lists every limit and timing, with its
//! default and range.

use hemlockrouter_config::Settings;

const OPERATIONS_PAGE: &str = include_str!("../../docs/OPERATIONS.md");
const EXAMPLE_SETTINGS: &str = include_str!("../../examples/settings.jsonc");

/// Parses the example settings with one more field, and returns the error message.
fn error_message(section: &str, field: &str, value: &str) -> String {
    let limits_offset = EXAMPLE_SETTINGS
        .find("    \"limits\"")
        .expect("limits follow the required fields");
    let text = format!(
        "{}\"{section}\": {{ \"{field}\": {value} }} }}",
        &EXAMPLE_SETTINGS[..limits_offset]
    );
    let settings = Settings::parse(&text, "settings");
    settings.expect_err("the value is wrong").to_string()
}

#[test]
fn documented_defaults_and_ranges_match_the_settings() {
    let limits_offset = EXAMPLE_SETTINGS
        .find("    \"limits\"")
        .expect("limits follow the required fields");
    let default = Settings::parse(
        &format!("{} }}", &EXAMPLE_SETTINGS[..limits_offset]),
        "settings",
    );
    let default = default.expect("the settings are good");
    let debug_text = format!("{:?} {:?}", default.limits, default.timing);
    let mut documented = 0;
    for row in OPERATIONS_PAGE.lines() {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let Some((section, field)) = cells
            .get(1)
            .and_then(|name| name.trim_matches('`').split_once('.'))
            .filter(|(section, _)| matches!(*section, "limits" | "timing"))
        else {
            continue;
        };
        documented += 1;
        let default = format!("{field}: {}", cells[2].replace(',', ""));
        let ends = [",", " }"].map(|end| format!("{default}{end}"));
        assert!(
            ends.iter().any(|text| debug_text.contains(text)),
            "{default}"
        );
        let range = cells[3].replace(',', "");
        let message = error_message(section, field, "-1");
        assert!(
            message.contains(&format!("from {range}, found")),
            "{message}"
        );
    }
    assert_eq!(documented, debug_text.matches(": ").count());
}
