//! Checking a settings file against the catalogue.

use domain::FindingList;
use serde_json::{Map, Value};

use crate::catalogue::{SECTIONS, fields};
use crate::field::SettingField;

/// Greatest edit distance at which a known key is suggested for an unknown one.
const SUGGESTION_DISTANCE: usize = 4;

/// Checks a settings file and returns it in typed form: defaults filled in, times in milliseconds
/// under `…_ms`, sizes in bytes under `…_bytes`.
///
/// # Errors
///
/// Every finding with its JSON path.
pub fn read_settings(file: &Value) -> Result<Value, FindingList> {
    let mut findings = FindingList::default();
    let Some(top) = file.as_object() else {
        findings.add(".", "the file is no JSON object", "start it with '{'");
        return Err(findings);
    };
    find_unknown_keys(top, &mut findings);
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
        let place = if field.section.is_empty() {
            &mut typed
        } else {
            let entry = typed
                .entry(field.section)
                .or_insert_with(|| Value::Object(Map::new()));
            let Some(place) = entry.as_object_mut() else {
                continue;
            };
            place
        };
        place.insert(field.typed_key(), value);
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
        return field.default_value().and_then(|value| field.typed(&value));
    };
    let typed = field.typed(given);
    if typed.is_none() {
        findings.add(
            field.path(),
            format!("{given} can't be used"),
            field.advice(),
        );
    }
    typed
}

fn find_unknown_keys(top: &Map<String, Value>, findings: &mut FindingList) {
    for (key, value) in top {
        if SECTIONS.contains(&key.as_str()) {
            find_unknown_in_section(key, value, findings);
            continue;
        }
        let known: Vec<&str> = keys_of("")
            .into_iter()
            .chain(SECTIONS.iter().copied())
            .collect();
        if known.contains(&key.as_str()) {
            continue;
        }
        findings.add(key.clone(), "unknown setting", suggestion(key, &known));
    }
}

fn find_unknown_in_section(section: &str, value: &Value, findings: &mut FindingList) {
    let Some(object) = value.as_object() else {
        findings.add(
            section,
            "not an object",
            "write the section's settings between braces",
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
            suggestion(key, &known),
        );
    }
}

fn keys_of(section: &str) -> Vec<&'static str> {
    fields()
        .filter(|field| field.section == section)
        .map(|field| field.key)
        .collect()
}

fn suggestion(key: &str, known: &[&str]) -> String {
    let nearest = known
        .iter()
        .map(|other| (strsim::damerau_levenshtein(key, other), *other))
        .min()
        .filter(|(distance, _)| *distance <= SUGGESTION_DISTANCE);
    match nearest {
        Some((_, other)) => format!("did you mean {other}?"),
        None => format!("known here: {}", known.join(", ")),
    }
}
