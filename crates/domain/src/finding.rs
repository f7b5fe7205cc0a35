//! Validation findings: each names the path of an invalid value, and all are reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One problem found while validating an input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordFinding {
    /// JSON path of the invalid value, such as `spec.grants[0].model`.
    #[serde(rename = "place")]
    pub path: String,
    /// What is wrong with the value.
    pub problem: String,
    /// How to fix it; empty if there is no useful advice.
    pub advice: String,
}

/// All findings about one input, in the order in which they were added.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingList {
    findings: Vec<RecordFinding>,
}

impl FindingList {
    /// Appends a finding.
    pub fn add(
        &mut self,
        path: impl Into<String>,
        problem: impl Into<String>,
        advice: impl Into<String>,
    ) {
        self.findings.push(RecordFinding {
            path: path.into(),
            problem: problem.into(),
            advice: advice.into(),
        });
    }

    /// Whether the input is valid so far.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// The findings in the order in which they were added.
    #[must_use]
    pub fn as_slice(&self) -> &[RecordFinding] {
        &self.findings
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// The list itself if it is not empty.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            return Ok(value);
        }
        Err(self)
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{}: {}", finding.path, finding.problem)?;
            if finding.advice.is_empty() {
                continue;
            }
            write!(formatter, " ({})", finding.advice)?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}
