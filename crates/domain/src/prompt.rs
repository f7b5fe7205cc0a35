//! Parts of prompts.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Id of a part of a prompt; requests whose prompts have the part in common name the same id.
///
/// It is printed in hexadecimal, at least eight digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPartId(pub u128);

impl fmt::Display for PromptPartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
