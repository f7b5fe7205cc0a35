//! Secrets, from a file or from the environment; never from the settings file itself.

use std::fmt;
use std::path::Path;

/// Shortest secret that is accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// A secret. Its debug form hides it, so that no log can show it.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

/// Why a secret can't be had.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SecretError {
    /// The file can't be read.
    #[error("the secret's file {path} can't be read: {problem}")]
    File {
        /// The path.
        path: String,
        /// Why.
        problem: String,
    },
    /// The variable is not set.
    #[error("the environment variable {0} is not set")]
    Variable(String),
    /// The secret is too short.
    #[error("a secret needs at least {MIN_SECRET_BYTES} bytes")]
    Short,
}

impl SecretText {
    /// A secret from text; white space around it is dropped.
    ///
    /// # Errors
    ///
    /// [`SecretError::Short`].
    pub fn new(text: &str) -> Result<Self, SecretError> {
        let text = text.trim();
        if text.len() < MIN_SECRET_BYTES {
            return Err(SecretError::Short);
        }
        Ok(Self(text.to_owned()))
    }

    /// A secret from a file.
    ///
    /// # Errors
    ///
    /// [`SecretError`].
    pub fn from_file(path: &Path) -> Result<Self, SecretError> {
        let text = std::fs::read_to_string(path).map_err(|error| SecretError::File {
            path: path.display().to_string(),
            problem: error.to_string(),
        })?;
        Self::new(&text)
    }

    /// A secret from the environment.
    ///
    /// # Errors
    ///
    /// [`SecretError`].
    pub fn from_variable(name: &str) -> Result<Self, SecretError> {
        let text = std::env::var(name).map_err(|_| SecretError::Variable(name.to_owned()))?;
        Self::new(&text)
    }

    /// The secret itself.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretText(…)")
    }
}
