//! Validates a settings file against the catalogue.

use domain::FindingList;
use serde_json::{Map, Value};

use crate::catalogue::{SECTIONS, fields};
use crate::field::SettingField;

/// Maximum edit distance at which a known key is suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 4;

/// Validates a settings file and returns its typed form: defaults are filled in, durations become
/// milliseconds under `…_ms`, and sizes become bytes under `…_bytes`.
///
/// # Errors
///
/// All findings with their JSON paths.
pub fn read_settings(file: &Value) -> Result<Value, FindingList> {
    let mut findings = FindingList::default();
    let Some(top) = file.as_object() else {
        findings.add(".", "the file is not a JSON object", "start it with '{'");
        return Err(findings);
    };
    report_unknown_keys(top, &mut findings);
    let mut typed = Map::new();
    for field in fields() {
        let section = if field.section.is_empty() {
            Some(top)
        } else {
            top.get(field.section).and_then(Value::as_object)
        };
        let given = section.and_then(|section| section.get(field.key));
        let Some(value) = field_value(field, given, &mut findings) else {
            continue;
        };
        let target = if field.section.is_empty() {
            &mut typed
        } else {
            let entry = typed
                .entry(field.section)
                .or_insert_with(|| Value::Object(Map::new()));
            let Some(target) = entry.as_object_mut() else {
                continue;
            };
            target
        };
        target.insert(field.typed_key(), value);
    }
    findings.into_result(Value::Object(typed))
}

fn field_value(
    field: &SettingField,
    given: Option<&Value>,
    findings: &mut FindingList,
) -> Option<Value> {
    let Some(given) = given else {
        if field.required {
            findings.add(field.path(), "missing", field.advice());
        }
        return field.default_value().and_then(|value| field.parse(&value));
    };
    let typed = field.parse(given);
    if typed.is_none() {
        findings.add(
            field.path(),
            format!("{given} is not a valid value"),
            field.advice(),
        );
    }
    typed
}

fn report_unknown_keys(top: &Map<String, Value>, findings: &mut FindingList) {
    for (key, value) in top {
        if SECTIONS.contains(&key.as_str()) {
            report_unknown_in_section(key, value, findings);
            continue;
        }
        let known: Vec<&str> = keys_of("")
            .into_iter()
            .chain(SECTIONS.iter().copied())
            .collect();
        if known.contains(&key.as_str()) {
            continue;
        }
        findings.add(
            key.clone(),
            "unknown setting",
            unknown_key_advice(key, &known),
        );
    }
}

fn report_unknown_in_section(section: &str, value: &Value, findings: &mut FindingList) {
    let Some(object) = value.as_object() else {
        findings.add(
            section,
            "not an object",
            "write the settings of the section in braces",
        );
        return;
    };
    let known = keys_of(section);
    for key in object.keys() {
        if known.contains(&key.as_str()) {
            continue;
        }
        findings.add(
            format!("{section}.{key}"),
            "unknown setting",
            unknown_key_advice(key, &known),
        );
    }
}

fn keys_of(section: &str) -> Vec<&'static str> {
    fields()
        .filter(|field| field.section == section)
        .map(|field| field.key)
        .collect()
}

fn unknown_key_advice(key: &str, known: &[&str]) -> String {
    let nearest = known
        .iter()
        .map(|other| (strsim::damerau_levenshtein(key, other), *other))
        .min()
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE);
    match nearest {
        Some((_, other)) => format!("did you mean {other}?"),
        None => format!("known settings: {}", known.join(", ")),
    }
}
