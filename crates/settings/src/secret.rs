//! Secrets, which are read from files or environment variables, never from the settings file.

use std::fmt;
use std::path::Path;

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// A secret. Its `Debug` output is redacted, so that it can't appear in logs.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(String);

/// Why a secret can't be loaded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SecretError {
    /// The file can't be read.
    #[error("can't read the secret file {path}: {problem}")]
    File {
        /// Path of the secret file.
        path: String,
        /// Error of the file system.
        problem: String,
    },
    /// The environment variable is not set or isn't valid Unicode.
    #[error("the environment variable {0} is not set")]
    Variable(String),
    /// The secret is shorter than [`MIN_SECRET_BYTES`].
    #[error("a secret must have at least {MIN_SECRET_BYTES} bytes")]
    TooShort,
}

impl SecretText {
    /// Creates a secret; leading and trailing whitespace is removed.
    ///
    /// # Errors
    ///
    /// [`SecretError::TooShort`] if fewer than [`MIN_SECRET_BYTES`] remain.
    pub fn new(text: &str) -> Result<Self, SecretError> {
        let text = text.trim();
        if text.len() < MIN_SECRET_BYTES {
            return Err(SecretError::TooShort);
        }
        Ok(Self(text.to_owned()))
    }

    /// Reads a secret from a file.
    ///
    /// # Errors
    ///
    /// [`SecretError::File`] when it can't be read, [`SecretError::TooShort`] when its trimmed
    /// content is shorter than [`MIN_SECRET_BYTES`].
    pub fn from_file(path: &Path) -> Result<Self, SecretError> {
        let text = std::fs::read_to_string(path).map_err(|error| SecretError::File {
            path: path.display().to_string(),
            problem: error.to_string(),
        })?;
        Self::new(&text)
    }

    /// Reads a secret from an environment variable.
    ///
    /// # Errors
    ///
    /// [`SecretError::Variable`] when it is not set or isn't valid Unicode,
    /// [`SecretError::TooShort`] when its trimmed value is shorter than [`MIN_SECRET_BYTES`].
    pub fn from_variable(name: &str) -> Result<Self, SecretError> {
        let text = std::env::var(name).map_err(|_| SecretError::Variable(name.to_owned()))?;
        Self::new(&text)
    }

    /// Returns the secret in plain text.
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
