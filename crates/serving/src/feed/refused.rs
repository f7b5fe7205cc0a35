//! Rows that were read and not taken.

use domain::EraVersion;

use super::delta::StoreRow;

/// Why a row was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// Exactly this version is held.
    Known,
    /// A newer version is held.
    Older,
    /// A read of the whole table has shown that the row was removed since.
    RemovedSince,
    /// Its version is of another era of the store.
    OtherEra,
    /// Its version is the last number, which would hide all later writes.
    LastVersion,
}

impl RefusalReason {
    /// Name in log lines and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Older => "older",
            Self::RemovedSince => "removed_since",
            Self::OtherEra => "other_era",
            Self::LastVersion => "last_version",
        }
    }
}

/// A row that was read and not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedRow {
    /// Key within the table.
    pub key: String,
    /// Its version.
    pub version: EraVersion,
    /// Version that speaks against it, if any is known.
    pub held: Option<EraVersion>,
    /// Why it was not taken.
    pub reason: RefusalReason,
}

impl RefusedRow {
    pub(super) fn new(row: &StoreRow, held: Option<EraVersion>, reason: RefusalReason) -> Self {
        Self {
            key: row.key.clone(),
            version: row.version,
            held,
            reason,
        }
    }
}
