//! The example deployments: records, customers, prompts and calls from `examples/`.

use std::str::FromStr;

use eyre::WrapErr;
use serde::Deserialize;
use serde_json::Value;

/// An example deployment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Deployment {
    /// The licence desk in Dakar.
    #[default]
    Ndiaye,
    /// The badge agency in Romania.
    Agency,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "ndiaye" => Ok(Self::Ndiaye),
            "agency" => Ok(Self::Agency),
            _ => Err("write ndiaye or agency".to_owned()),
        }
    }
}

/// Who calls what in a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerConfig {
    /// The model.
    pub model: String,
    /// The plain service.
    pub service: String,
    /// Path of a call that may run once only, below the service.
    pub non_repeatable: String,
    /// Path of a call that may be repeated, below the service.
    pub repeatable: String,
    /// The customers.
    pub customers: Vec<CustomerConfig>,
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerConfig {
    /// Its name in the records.
    pub name: String,
    /// Its bearer key.
    pub key: String,
    /// Its part of the requests.
    pub weight: u32,
}

impl CallerConfig {
    /// Path of the non-repeatable call at an entry.
    #[must_use]
    pub fn non_repeatable_path(&self) -> String {
        format!("/v1/services/{}/{}", self.service, self.non_repeatable)
    }

    /// Path of the repeatable call at an entry.
    #[must_use]
    pub fn repeatable_path(&self) -> String {
        format!("/v1/services/{}/{}", self.service, self.repeatable)
    }
}

impl Deployment {
    /// The records.
    ///
    /// # Errors
    ///
    /// When the example is broken.
    pub fn records(self) -> eyre::Result<Vec<Value>> {
        let text = match self {
            Self::Ndiaye => include_str!("../../../examples/ndiaye/records.json"),
            Self::Agency => include_str!("../../../examples/agency/records.json"),
        };
        serde_json::from_str(text).wrap_err("in records.json of the example")
    }

    /// Who calls what.
    ///
    /// # Errors
    ///
    /// When the example is broken.
    pub fn callers(self) -> eyre::Result<CallerConfig> {
        let text = match self {
            Self::Ndiaye => include_str!("../../../examples/ndiaye/callers.json"),
            Self::Agency => include_str!("../../../examples/agency/callers.json"),
        };
        serde_json::from_str(text).wrap_err("in callers.json of the example")
    }

    /// Bodies of non-repeatable calls: payments or awards.
    ///
    /// # Errors
    ///
    /// When the example is broken.
    pub fn calls(self) -> eyre::Result<Vec<Value>> {
        let text = match self {
            Self::Ndiaye => include_str!("../../../examples/ndiaye/payments.json"),
            Self::Agency => include_str!("../../../examples/agency/awards.json"),
        };
        serde_json::from_str(text).wrap_err("in the calls of the example")
    }

    /// Prompts, one a line.
    #[must_use]
    pub fn prompts(self) -> Vec<&'static str> {
        let text = match self {
            Self::Ndiaye => include_str!("../../../examples/ndiaye/prompts.txt"),
            Self::Agency => include_str!("../../../examples/agency/prompts.txt"),
        };
        text.lines().collect()
    }

    /// Its region.
    #[must_use]
    pub fn region(self) -> &'static str {
        match self {
            Self::Ndiaye => "dakar",
            Self::Agency => "centru",
        }
    }

    /// Its failure domains.
    #[must_use]
    pub fn domains(self) -> [&'static str; 3] {
        match self {
            Self::Ndiaye => ["plateau", "medina", "pikine"],
            Self::Agency => ["sibiu", "brasov", "alba"],
        }
    }
}
