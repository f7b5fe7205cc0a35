//! Rows of a table of the store, and what of a table is passed on.

use bytes::Bytes;
use domain::EraVersion;

/// A row of a copied table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRow {
    /// Key within the table.
    pub key: String,
    /// Value as the store holds it; `None` if the row was removed.
    pub value: Option<Bytes>,
    /// Version of the last write.
    pub version: EraVersion,
}

/// What another node lacks of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableDelta {
    /// Version up to which the receiver knows the table afterwards.
    pub version: EraVersion,
    /// Whether these are all rows of the table, so that any other row was removed.
    pub is_full: bool,
    /// Rows in the order of their versions.
    pub rows: Vec<StoreRow>,
    /// Span of versions in which rows may have come and gone unseen by the sender, if there is one.
    /// The receiver can't tell others of their removal either.
    pub gap: Option<VersionGap>,
}

/// Versions before and after changes that were not seen one by one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionGap {
    /// Version known before.
    pub before: EraVersion,
    /// Version known after.
    pub after: EraVersion,
}
