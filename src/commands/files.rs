//! Reading and validating records in files.

use std::path::{Path, PathBuf};

use domain::{FindingList, RecordSpec};
use eyre::WrapErr;
use serde_json::Value;
use wire::record::{RecordEnvelope, RecordError};

/// Reads and validates the records of all files.
///
/// # Errors
///
/// All findings of all files together, each with its file, record and JSON path. A file that can't
/// be read or is not JSON ends the check at once.
pub fn read_files(files: &[PathBuf]) -> eyre::Result<Vec<RecordEnvelope>> {
    let mut records = Vec::new();
    let mut findings = FindingList::default();
    for file in files {
        let value = read_json(file)?;
        let single = !value.is_array();
        let values = match value {
            Value::Array(values) => values,
            other => vec![other],
        };
        for (index, value) in values.into_iter().enumerate() {
            let location = if single {
                file.display().to_string()
            } else {
                format!("{}[{index}]", file.display())
            };
            records.extend(read_record(value, &location, &mut findings));
        }
    }
    findings
        .into_result(records)
        .map_err(|findings| eyre::eyre!("the records are invalid:\n{findings}"))
}

fn read_json(file: &Path) -> eyre::Result<Value> {
    let text =
        std::fs::read_to_string(file).wrap_err_with(|| format!("can't read {}", file.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{} is not valid JSON", file.display()))
}

fn read_record(value: Value, location: &str, findings: &mut FindingList) -> Option<RecordEnvelope> {
    let envelope: RecordEnvelope = match serde_json::from_value(value) {
        Ok(envelope) => envelope,
        Err(error) => {
            let advice = "write a record as an object with schema, kind, name and spec";
            findings.add(location, error.to_string(), advice);
            return None;
        }
    };
    match RecordSpec::try_from(envelope.clone()) {
        Ok(_) => Some(envelope),
        Err(RecordError::Invalid(invalid)) => {
            for finding in invalid.as_slice() {
                let location = format!("{location} ({}): {}", envelope.name, finding.path);
                findings.add(location, finding.problem.clone(), finding.advice.clone());
            }
            None
        }
        Err(error) => {
            findings.add(
                format!("{location} ({})", envelope.name),
                error.to_string(),
                "",
            );
            None
        }
    }
}
