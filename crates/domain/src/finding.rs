//! Findings about bad input, each with its place, collected and reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One thing that is wrong with an input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordFinding {
    /// Where: a JSON path such as `spec.grants[0].model`.
    #[serde(rename = "place")]
    pub path: String,
    /// What is wrong there.
    pub problem: String,
    /// What to write instead; empty where nothing useful can be said.
    pub advice: String,
}

/// All findings about one input, in the order of their places.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingList {
    findings: Vec<RecordFinding>,
}

impl FindingList {
    /// Adds a finding.
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

    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// The findings so far.
    #[must_use]
    pub fn as_slice(&self) -> &[RecordFinding] {
        &self.findings
    }

    /// Returns `value` when nothing was found.
    ///
    /// # Errors
    ///
    /// The list itself when it holds a finding.
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
