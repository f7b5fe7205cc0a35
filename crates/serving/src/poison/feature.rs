//! What requests may have in common that crashes targets.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use domain::PromptPartId;

/// Identifies all requests with the same path, customer and body.
///
/// It is the first half of a SHA-256 hash, printed as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(pub u128);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Prefix of the text form of a prompt part. Fingerprints have none.
const PART_PREFIX: &str = "part-";

/// One thing that requests may have in common.
///
/// Its text form is `part-` with the id of the part, or the fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestFeature {
    /// A part of the prompt, wherever it stands in it.
    Part(PromptPartId),
    /// Everything: the same request, sent again.
    Whole(RequestFingerprint),
}

/// Text that is no request feature.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a request feature is a hexadecimal number, after `part-` if it is a prompt part: {0}")]
pub struct FeatureError(#[from] ParseIntError);

impl fmt::Display for RequestFeature {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(formatter, "{PART_PREFIX}{part}"),
            Self::Whole(fingerprint) => fingerprint.fmt(formatter),
        }
    }
}

impl FromStr for RequestFeature {
    type Err = FeatureError;

    fn from_str(text: &str) -> Result<Self, FeatureError> {
        match text.strip_prefix(PART_PREFIX) {
            Some(part) => Ok(Self::Part(part.parse()?)),
            None => Ok(Self::Whole(text.parse()?)),
        }
    }
}
