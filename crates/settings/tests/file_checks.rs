//! Reading a settings file: findings with their places, defaults, units.

use control::ControlSettings;
use control::config::ConfigSettings;
use control::members::MemberSettings;
use entry::EntrySettings;
use platform::BudgetSettings;
use serde_json::{Value, json};
use settings::{NodeSettings, SecretText, fields};

fn smallest() -> Value {
    json!({
        "node": "e0", "region": "dakar", "domain": "plateau", "listen": "127.0.0.1:7100",
        "platform": {
            "table": "127.0.0.1:7001", "objects": "127.0.0.1:7002", "hostlist": "127.0.0.1:7003",
        },
    })
}

fn findings_of(file: &Value) -> Vec<String> {
    let findings = NodeSettings::from_value(file).expect_err("findings");
    findings
        .as_slice()
        .iter()
        .map(|finding| finding.path.clone())
        .collect()
}

/// The parts' own defaults and the catalogue's are written in two places; when they differ, the
/// docs promise what the node does not do.
#[test]
fn defaults_agree() {
    let settings = NodeSettings::from_value(&smallest()).expect("fine");
    assert_eq!(settings.config, ConfigSettings::default());
    assert_eq!(settings.members, MemberSettings::default());
    assert_eq!(settings.entry, EntrySettings::default());
    assert_eq!(settings.control_settings(), ControlSettings::default());
    assert_eq!(settings.budget, BudgetSettings::default());
}

#[test]
fn all_findings() {
    let mut file = smallest();
    file["listen"] = json!("localhost");
    file["platform"]["timeout"] = json!("2 fortnights");
    file["entry"] = json!({ "max_body": "1TiB", "silense": "3s" });
    file.as_object_mut().expect("an object").remove("domain");
    let mut places = findings_of(&file);
    places.sort();
    assert_eq!(
        places,
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
fn key_suggested() {
    let mut file = smallest();
    file["entry"] = json!({ "silense": "3s" });
    let findings = NodeSettings::from_value(&file).expect_err("a finding");
    assert_eq!(findings.as_slice()[0].advice, "did you mean silence?");
}

#[test]
fn units_read() {
    let mut file = smallest();
    file["entry"] = json!({ "silence": "1s 500ms", "max_body": "64KiB" });
    let settings = NodeSettings::from_value(&file).expect("fine");
    assert_eq!(settings.entry.silence_ms, 1_500);
    assert_eq!(settings.entry.max_body_bytes, 64 << 10);
}

#[test]
fn bounds_kept() {
    for field in fields() {
        let Some(default) = field.default_value() else {
            continue;
        };
        assert!(
            field.typed(&default).is_some(),
            "{} is outside its bounds",
            field.path()
        );
    }
}

/// An operator turns on debug output to look into a failure and sends the log to a colleague. The
/// keys must not be in it.
#[test]
fn secret_hidden() {
    let secret = SecretText::new("a-very-secret-operators-key").expect("long enough");
    assert!(!format!("{secret:?}").contains("secret-operators"));
    assert!(SecretText::new("short").is_err());
}

#[test]
fn page_current() {
    let page = include_str!("../../../docs/SETTINGS.md");
    assert!(
        page == settings::page::settings_page(),
        "docs/SETTINGS.md is not what the catalogue says: cargo run -p settings --example page"
    );
}

/// Each value is within its bounds, and together they let a node leave service after one lost
/// answer, or a host serve two replicas. The operator must hear of it before the node starts.
#[test]
fn rules_between() {
    let mut file = smallest();
    file["config"] = json!({ "poll": "5s", "confirm": "6s" });
    file["assembly"] = json!({ "rest": "1s" });
    assert_eq!(findings_of(&file), ["config.confirm", "assembly.rest"]);
}
