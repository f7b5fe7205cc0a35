//! Typed identifiers and counters.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of an identifier in bytes, which keeps table keys and log lines short.
pub const MAX_ID_BYTES: usize = 128;

/// Why a string is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The string is empty.
    #[error("an identifier must not be empty")]
    Empty,
    /// The string is longer than [`MAX_ID_BYTES`].
    #[error("an identifier must not be longer than {MAX_ID_BYTES} bytes, got {0}")]
    TooLong(usize),
    /// The string contains a character other than `a-z A-Z 0-9 . _ : -`.
    #[error("an identifier may contain only letters, digits, '.', '_', ':' and '-', not {0:?}")]
    InvalidCharacter(char),
}

fn validate_id(text: &str) -> Result<Arc<str>, IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong(text.len()));
    }
    for character in text.chars() {
        let valid = character.is_ascii_alphanumeric() || matches!(character, '.' | '_' | ':' | '-');
        if valid {
            continue;
        }
        return Err(IdError::InvalidCharacter(character));
    }
    Ok(Arc::from(text))
}

macro_rules! string_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate_id(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                validate_id(&text).map(Self)
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

string_ids! {
    /// A machine that runs one rank of a replica.
    HostId;
    /// A failure domain: hosts that may fail together.
    DomainId;
    /// A fabric domain: hosts that share a fast interconnect.
    FabricId;
    /// A region, which contains several failure domains.
    RegionId;
    /// A customer, the owner of API keys, grants and a share.
    CustomerId;
    /// A replica of a model: one target formed by several hosts.
    ReplicaId;
    /// An entry node process; a new id is generated at every start.
    NodeId;
    /// A model as named in requests.
    ModelName;
    /// A version of a model's weights.
    VersionName;
    /// An adapter (fine-tuned weights) of a model.
    AdapterName;
    /// A plain HTTP service, as opposed to a model engine.
    ServiceName;
    /// One attempt to run a request on a target.
    AttemptId;
    /// A client's request; shared by all its attempts.
    RequestId;
    /// The name of a lease, part of its table key.
    LeaseName;
    /// A token stored with a write. If the response is lost, reading the token back tells whether
    /// the write took effect.
    WriteToken;
    /// The name of an operator's record, unique within its kind.
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
            /// Returns the counter plus one; `None` at the end of its range, after which it would start again below all
            /// others.
            #[must_use]
            pub fn next(self) -> Option<Self> {
                self.0.checked_add(1).map(Self)
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
    /// A lease epoch, raised at every change of holder; orders carry it as their fencing token.
    LeaseEpoch;
    /// A replica's incarnation, raised when its hosts, model, version, adapters or role change.
    IncarnationNumber;
    /// A revision of the whole configuration.
    ConfigRevision;
    /// A host's boot number, which rises at every restart of its engine.
    BootNumber;
    /// The version of a table row, taken from a counter that rises at every write to the table.
    RowVersion;
}
