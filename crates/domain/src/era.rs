//! Versions of a store that may be restored from an older copy.
//!
//! A restore takes the store's counter of versions back, and numbers are given out again with other content.
//! So a number means something only beside the era in which it was given out. [`EraVersion`] has no order:
//! two of them are compared with [`EraVersion::compare`], which says so if their eras differ.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::RowVersion;

/// Bits of a fencing number that hold the version: a thousand writes a second for more than thirty years.
const VERSION_BITS: u32 = 40;

/// An era of the store, which ends when the store is restored from a copy.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Era of a store that states none.
    pub const UNSTATED: Self = Self(0);
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A version of the store, in the era in which it was given out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct EraVersion {
    era: StoreEra,
    version: RowVersion,
}

impl EraVersion {
    /// Creates a version of an era.
    #[must_use]
    pub fn new(era: StoreEra, version: RowVersion) -> Self {
        Self { era, version }
    }

    /// Version that a row has before its first write in an era.
    #[must_use]
    pub fn absent(era: StoreEra) -> Self {
        Self::new(era, RowVersion(0))
    }

    /// Era in which it was given out.
    #[must_use]
    pub fn era(self) -> StoreEra {
        self.era
    }

    /// The number, for a reader whose numbers are all of `era`; `None` if this one is of another.
    #[must_use]
    pub fn within(self, era: StoreEra) -> Option<RowVersion> {
        (self.era == era).then_some(self.version)
    }

    /// A number for fences and epochs: it rises with versions, and with eras however their versions compare. Of an
    /// era that is unstated it is the version.
    #[must_use]
    pub fn fencing_number(self) -> u64 {
        let era = self.era.0.min(u64::MAX >> VERSION_BITS);
        let version = self.version.0.min((1 << VERSION_BITS) - 1);
        (era << VERSION_BITS) | version
    }

    /// The newer one of two versions of one era; this one if their eras differ.
    #[must_use]
    pub fn max_within(self, other: Self) -> Self {
        match self.compare(other) {
            Some(Ordering::Less) => other,
            _ => self,
        }
    }

    /// How two versions compare; `None` if they are of different eras.
    #[must_use]
    pub fn compare(self, other: Self) -> Option<Ordering> {
        let version = other.within(self.era)?;
        Some(self.version.cmp(&version))
    }
}

impl fmt::Display for EraVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.version)
    }
}
