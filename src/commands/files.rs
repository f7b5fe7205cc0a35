//! Reading records from files, with every finding and its place.

use std::path::{Path, PathBuf};

use domain::{FindingList, RecordSpec};
use eyre::WrapErr;
use serde_json::Value;
use wire::record::{RecordEnvelope, RecordError};

/// Reads and checks the records of every file.
///
/// # Errors
///
/// All findings of all files together, each with its file, record and JSON path.
pub fn read_files(files: &[PathBuf]) -> eyre::Result<Vec<RecordEnvelope>> {
    let mut frames = Vec::new();
    let mut findings = FindingList::default();
    for file in files {
        let value = read_json(file)?;
        let single = !value.is_array();
        let values = match value {
            Value::Array(values) => values,
            other => vec![other],
        };
        for (index, value) in values.into_iter().enumerate() {
            let place = if single {
                file.display().to_string()
            } else {
                format!("{}[{index}]", file.display())
            };
            frames.extend(read_record(value, &place, &mut findings));
        }
    }
    findings
        .into_result(frames)
        .map_err(|findings| eyre::eyre!("the records can't be used:\n{findings}"))
}

fn read_json(file: &Path) -> eyre::Result<Value> {
    let text =
        std::fs::read_to_string(file).wrap_err_with(|| format!("can't read {}", file.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{} is no JSON", file.display()))
}

fn read_record(value: Value, place: &str, findings: &mut FindingList) -> Option<RecordEnvelope> {
    let frame: RecordEnvelope = match serde_json::from_value(value) {
        Ok(frame) => frame,
        Err(error) => {
            let advice = "a record has schema, kind, name and spec";
            findings.add(place, error.to_string(), advice);
            return None;
        }
    };
    match RecordSpec::try_from(frame.clone()) {
        Ok(_) => Some(frame),
        Err(RecordError::Invalid(found)) => {
            for finding in found.as_slice() {
                let place = format!("{place} ({}): {}", frame.name, finding.path);
                findings.add(place, finding.problem.clone(), finding.advice.clone());
            }
            None
        }
        Err(error) => {
            findings.add(format!("{place} ({})", frame.name), error.to_string(), "");
            None
        }
    }
}
