//! Typed identifiers and counters.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest identifier that is accepted, in bytes; table keys and log lines stay short.
pub const MAX_ID_BYTES: usize = 128;

/// Why a text is no identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is empty.
    #[error("an identifier must not be empty")]
    Empty,
    /// The text is longer than [`MAX_ID_BYTES`].
    #[error("an identifier has at most {MAX_ID_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    /// The text holds a character outside `a-z A-Z 0-9 . _ : -`.
    #[error("an identifier holds letters, digits, '.', '_', ':' and '-' only, not {0:?}")]
    BadCharacter(char),
}

fn checked_text(text: &str) -> Result<Arc<str>, IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong(text.len()));
    }
    for letter in text.chars() {
        let fine = letter.is_ascii_alphanumeric() || matches!(letter, '.' | '_' | ':' | '-');
        if fine {
            continue;
        }
        return Err(IdError::BadCharacter(letter));
    }
    Ok(Arc::from(text))
}

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                checked_text(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                checked_text(&text).map(Self)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    )*};
}

text_ids! {
    /// A host that runs one rank of a replica.
    HostId;
    /// A failure domain: what may be lost at once.
    DomainId;
    /// A fabric domain: the hosts that share a fast interconnect.
    FabricId;
    /// A region of failure domains.
    RegionId;
    /// A customer.
    CustomerId;
    /// A replica of a model: one target made of several hosts.
    ReplicaId;
    /// An entry host's process, renewed at every start.
    NodeId;
    /// A model that callers name in their requests.
    ModelName;
    /// A version of a model's weights.
    VersionName;
    /// An adapter of a model.
    AdapterName;
    /// A plain service beside the model engines.
    ServiceName;
    /// One attempt to run a request on a target.
    AttemptId;
    /// A caller's request, the same over all its attempts.
    RequestId;
    /// The name of a lease row.
    LeaseName;
    /// A token that marks a write, so that a lost answer can be settled by reading back.
    WriteToken;
    /// The name of an operator's record within its kind.
    RecordName;
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The counter one higher.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    )*};
}

counters! {
    /// A lease's epoch, raised at every change of holder; orders carry it as fencing number.
    LeaseEpoch;
    /// A replica's incarnation, raised at every change of its hosts.
    IncarnationNumber;
    /// A revision of the configuration as a whole.
    ConfigRevision;
    /// A host's boot number, new after every restart of its engine.
    BootNumber;
    /// A table row's version, raised at every write to the table.
    RowVersion;
}
