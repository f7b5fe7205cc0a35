//! Tests of reading settings files: findings with their paths, defaults and units.

use control::ControlSettings;
use control::config::ConfigSettings;
use control::members::MemberSettings;
use entry::EntrySettings;
use platform::BudgetSettings;
use serde_json::{Value, json};
use settings::{NodeSettings, SecretText, fields};

fn minimal_settings() -> Value {
    json!({
        "node": "e0", "region": "dakar", "domain": "plateau", "listen": "127.0.0.1:7100",
        "platform": {
            "table": "127.0.0.1:7001", "objects": "127.0.0.1:7002", "hostlist": "127.0.0.1:7003",
        },
    })
}

fn finding_paths(file: &Value) -> Vec<String> {
    let findings = NodeSettings::from_value(file).expect_err("the settings are invalid");
    findings
        .as_slice()
        .iter()
        .map(|finding| finding.path.clone())
        .collect()
}

/// Defaults are stated in the catalogue and in the settings of each component. If they differed,
/// the documentation would be wrong.
#[test]
fn defaults_match_components() {
    let settings = NodeSettings::from_value(&minimal_settings()).expect("valid settings");
    assert_eq!(settings.config, ConfigSettings::default());
    assert_eq!(settings.members, MemberSettings::default());
    assert_eq!(settings.entry, EntrySettings::default());
    assert_eq!(settings.control_settings(), ControlSettings::default());
    assert_eq!(settings.budget, BudgetSettings::default());
}

#[test]
fn all_findings_reported() {
    let mut file = minimal_settings();
    file["listen"] = json!("localhost");
    file["platform"]["timeout"] = json!("2 fortnights");
    file["entry"] = json!({ "max_body": "1TiB", "silense": "3s" });
    file.as_object_mut().expect("an object").remove("domain");
    let mut paths = finding_paths(&file);
    paths.sort();
    assert_eq!(
        paths,
        [
            "domain",
            "entry.max_body",
            "entry.silense",
            "listen",
            "platform.timeout"
        ]
    );
}

#[test]
fn similar_key_suggested() {
    let mut file = minimal_settings();
    file["entry"] = json!({ "silense": "3s" });
    let findings = NodeSettings::from_value(&file).expect_err("the settings are invalid");
    assert_eq!(findings.as_slice()[0].advice, "did you mean silence?");
}

#[test]
fn units_converted() {
    let mut file = minimal_settings();
    file["entry"] = json!({ "silence": "1s 500ms", "max_body": "64KiB" });
    let settings = NodeSettings::from_value(&file).expect("valid settings");
    assert_eq!(settings.entry.silence_ms, 1_500);
    assert_eq!(settings.entry.max_body_bytes, 64 << 10);
}

#[test]
fn defaults_within_bounds() {
    for field in fields() {
        let Some(default) = field.default_value() else {
            continue;
        };
        assert!(
            field.parse(&default).is_some(),
            "{} is outside its bounds",
            field.path()
        );
    }
}

/// Debug output of secrets must be redacted, so that logs can be shared.
#[test]
fn secret_redacted() {
    let secret = SecretText::new("a-very-secret-operators-key").expect("long enough");
    assert!(!format!("{secret:?}").contains("secret-operators"));
    assert!(SecretText::new("short").is_err());
}

#[test]
fn settings_page_up_to_date() {
    let page = include_str!("../../../docs/SETTINGS.md");
    assert!(
        page == settings::page::settings_page(),
        "docs/SETTINGS.md is out of date; print it with: cargo run -p settings --example page"
    );
}

/// Each value is within its bounds, but together they would let a node stop serving after one lost
/// response, or a host serve two replicas. Loading the settings must report this.
#[test]
fn invalid_combinations_reported() {
    let mut file = minimal_settings();
    file["config"] = json!({ "poll": "5s", "confirm": "6s" });
    file["assembly"] = json!({ "rest": "1s" });
    assert_eq!(finding_paths(&file), ["config.confirm", "assembly.rest"]);
}
