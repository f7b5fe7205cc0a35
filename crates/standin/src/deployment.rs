//! The example deployments, read from `examples/` at compile time.

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
            _ => Err("expected ndiaye or agency".to_owned()),
        }
    }
}

/// The calls of a deployment and the customers that make them.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerConfig {
    /// Name of the model that chats ask for.
    pub model: String,
    /// Name of the plain service that is called.
    pub service: String,
    /// Path, below the service, of a call that must not be executed twice.
    pub non_repeatable: String,
    /// Path, below the service, of a call that is safe to repeat.
    pub repeatable: String,
    /// The customers that requests are divided among; the first one is the example customer.
    pub customers: Vec<CustomerConfig>,
}

/// A customer as a caller: its credentials and its share of the load.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerConfig {
    /// Its name in the records.
    pub name: String,
    /// Bearer token that it authenticates with.
    pub key: String,
    /// Relative share of the requests of a load.
    pub weight: u32,
}

impl CallerConfig {
    /// Returns the path of the non-repeatable call at an entry.
    #[must_use]
    pub fn non_repeatable_path(&self) -> String {
        format!("/v1/services/{}/{}", self.service, self.non_repeatable)
    }

    /// Returns the path of the repeatable call at an entry.
    #[must_use]
    pub fn repeatable_path(&self) -> String {
        format!("/v1/services/{}/{}", self.service, self.repeatable)
    }
}

impl Deployment {
    /// Returns the records of the example, as an operator would apply them.
    ///
    /// # Errors
    ///
    /// Returns an error if the file of the example is malformed.
    pub fn records(self) -> eyre::Result<Vec<Value>> {
        let text = match self {
            Self::Ndiaye => include_str!("../../../examples/ndiaye/records.json"),
            Self::Agency => include_str!("../../../examples/agency/records.json"),
        };
        serde_json::from_str(text).wrap_err("invalid records.json of the example")
    }

    /// Returns the calls and customers of the example.
    ///
    /// # Errors
    ///
    /// Returns an error if the file of the example is malformed.
    pub fn callers(self) -> eyre::Result<CallerConfig> {
        let text = match self {
            Self::Ndiaye => include_str!("../../../examples/ndiaye/callers.json"),
            Self::Agency => include_str!("../../../examples/agency/callers.json"),
        };
        serde_json::from_str(text).wrap_err("invalid callers.json of the example")
    }

    /// Returns bodies of non-repeatable calls: payments or awards.
    ///
    /// # Errors
    ///
    /// Returns an error if the file of the example is malformed.
    pub fn calls(self) -> eyre::Result<Vec<Value>> {
        let text = match self {
            Self::Ndiaye => include_str!("../../../examples/ndiaye/payments.json"),
            Self::Agency => include_str!("../../../examples/agency/awards.json"),
        };
        serde_json::from_str(text).wrap_err("invalid calls of the example")
    }

    /// Returns the example prompts, one per line of the file.
    #[must_use]
    pub fn prompts(self) -> Vec<&'static str> {
        let text = match self {
            Self::Ndiaye => include_str!("../../../examples/ndiaye/prompts.txt"),
            Self::Agency => include_str!("../../../examples/agency/prompts.txt"),
        };
        text.lines().collect()
    }

    /// Returns the region that entries and hosts belong to.
    #[must_use]
    pub fn region(self) -> &'static str {
        match self {
            Self::Ndiaye => "dakar",
            Self::Agency => "centru",
        }
    }

    /// Returns the failure domains that the quickstart spreads entries and fabric domains over.
    #[must_use]
    pub fn domains(self) -> [&'static str; 3] {
        match self {
            Self::Ndiaye => ["plateau", "medina", "pikine"],
            Self::Agency => ["sibiu", "brasov", "alba"],
        }
    }
}
