//! Loading and validating a settings file.

use std::path::Path;

use domain::FindingList;
use serde_json::Value;

use crate::node::NodeSettings;
use crate::reader::read_settings;
use crate::rules::check_rules;

/// Why a settings file can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {path}: {problem}")]
    File {
        /// Path of the settings file.
        path: String,
        /// Error of the file system.
        problem: String,
    },
    /// The file isn't valid JSON.
    #[error("{path} is not valid JSON: {problem}")]
    Json {
        /// Path of the settings file.
        path: String,
        /// Error of the parser, with line and column.
        problem: String,
    },
    /// The settings are invalid.
    #[error("{path} has {} finding(s):\n{findings}", findings.as_slice().len())]
    Findings {
        /// Path of the settings file.
        path: String,
        /// All findings with their JSON paths.
        findings: FindingList,
    },
}

impl NodeSettings {
    /// Loads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] when the file can't be read, isn't JSON or contains invalid settings.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let displayed = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError::File {
            path: displayed.clone(),
            problem: error.to_string(),
        })?;
        let file: Value = serde_json::from_str(&text).map_err(|error| SettingsError::Json {
            path: displayed.clone(),
            problem: error.to_string(),
        })?;
        Self::from_value(&file).map_err(|findings| SettingsError::Findings {
            path: displayed,
            findings,
        })
    }

    /// Validates settings that are already parsed as JSON.
    ///
    /// # Errors
    ///
    /// All findings of the catalogue's checks; if there are none, all findings of [`check_rules`].
    pub fn from_value(file: &Value) -> Result<Self, FindingList> {
        let typed = read_settings(file)?;
        let settings: Self = serde_json::from_value(typed).map_err(|error| {
            let mut findings = FindingList::default();
            let advice = "report this as a bug: the settings catalogue lacks a check";
            findings.add(".", error.to_string(), advice);
            findings
        })?;
        check_rules(&settings)?;
        Ok(settings)
    }
}
