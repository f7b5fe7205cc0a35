//! Which request ends the targets that run it.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

/// Stands for all requests with the same path, customer and body: half of a SHA-256, in text 32
/// hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestMark(pub u128);

impl fmt::Display for RequestMark {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for RequestMark {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// A request that was at a target when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRun {
    /// The request.
    pub mark: RequestMark,
    /// How long its answer had been under way; nothing if none had begun.
    pub ran: Option<Duration>,
}
