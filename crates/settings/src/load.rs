//! Reading and checking a settings file.

use std::path::Path;

use domain::FindingList;
use serde_json::Value;

use crate::node::NodeSettings;
use crate::reader::read_settings;
use crate::rules::check_rules;

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {path}: {problem}")]
    File {
        /// The path.
        path: String,
        /// Why.
        problem: String,
    },
    /// The file is no JSON.
    #[error("{path} is no JSON: {problem}")]
    Json {
        /// The path.
        path: String,
        /// Why, with line and column.
        problem: String,
    },
    /// Its content breaks rules.
    #[error("{path} has {} finding(s):\n{findings}", findings.as_slice().len())]
    Findings {
        /// The path.
        path: String,
        /// The findings.
        findings: FindingList,
    },
}

impl NodeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::File {
            path: shown.clone(),
            problem: error.to_string(),
        })?;
        let file: Value = serde_json::from_str(&text).map_err(|error| SettingsError::Json {
            path: shown.clone(),
            problem: error.to_string(),
        })?;
        Self::from_value(&file).map_err(|findings| SettingsError::Findings {
            path: shown,
            findings,
        })
    }

    /// Checks settings that are already JSON.
    ///
    /// # Errors
    ///
    /// Every finding.
    pub fn from_value(file: &Value) -> Result<Self, FindingList> {
        let typed = read_settings(file)?;
        let settings: Self = serde_json::from_value(typed).map_err(|error| {
            let mut findings = FindingList::default();
            let advice = "report this: the catalogue lacks a check";
            findings.add(".", error.to_string(), advice);
            findings
        })?;
        check_rules(&settings)?;
        Ok(settings)
    }
}
