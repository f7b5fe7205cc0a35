//! Reading the rows of the head, the records and the change log.

use domain::ConfigRevision;
use domain::record::RecordKind;
use platform::{RowExpectation, RowRead, TableStore, keys};
use serde::Serialize;

use super::{AmendError, ChangeEntry, ConfigHead, Expect, StoredRecord};

/// A record's row with the expectation for its next write.
#[derive(Debug)]
pub(super) struct RecordRead {
    pub(super) stored: Option<StoredRecord>,
    pub(super) expectation: RowExpectation,
}

impl RecordRead {
    pub(super) fn satisfies(&self, expect: Expect) -> bool {
        match expect {
            Expect::Any => true,
            Expect::Absent => self.stored.is_none(),
            Expect::Revision(revision) => self
                .stored
                .as_ref()
                .is_some_and(|stored| stored.revision == revision),
        }
    }
}

/// The head row with the expectation for its next write.
#[derive(Debug)]
pub(super) struct HeadRead {
    pub(super) head: ConfigHead,
    pub(super) expectation: RowExpectation,
}

/// A change with the token of its amendment.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangeRow {
    /// The change as stored in the log.
    pub entry: ChangeEntry,
    /// Token of the amendment's transaction.
    pub token: String,
}

fn parse_row<V: serde::de::DeserializeOwned>(
    key: &str,
    value: serde_json::Value,
) -> Result<V, AmendError> {
    serde_json::from_value(value).map_err(|_| AmendError::MalformedRow(key.to_owned()))
}

pub(super) fn to_value<V: Serialize>(
    key: &str,
    value: &V,
) -> Result<serde_json::Value, AmendError> {
    serde_json::to_value(value).map_err(|_| AmendError::MalformedRow(key.to_owned()))
}

pub(super) async fn read_head<T: TableStore>(table: &T) -> Result<HeadRead, AmendError> {
    match table.read(keys::CONFIG_HEAD, None).await? {
        RowRead::Found(row) => Ok(HeadRead {
            head: parse_row(keys::CONFIG_HEAD, row.value)?,
            expectation: RowExpectation::Version(row.version),
        }),
        RowRead::Absent | RowRead::Unchanged => Ok(HeadRead {
            head: ConfigHead::default(),
            expectation: RowExpectation::Absent,
        }),
    }
}

pub(super) async fn read_record<T: TableStore>(
    table: &T,
    kind: RecordKind,
    name: &str,
) -> Result<RecordRead, AmendError> {
    let key = keys::record_key(kind, name);
    match table.read(&key, None).await? {
        RowRead::Found(row) => Ok(RecordRead {
            stored: Some(parse_row(&key, row.value)?),
            expectation: RowExpectation::Version(row.version),
        }),
        RowRead::Absent | RowRead::Unchanged => Ok(RecordRead {
            stored: None,
            expectation: RowExpectation::Absent,
        }),
    }
}

/// Reads a change; none when it was compacted or never made.
///
/// # Errors
///
/// [`AmendError::Store`] when the table can't be read, [`AmendError::MalformedRow`] when the row
/// can't be parsed.
pub async fn read_change<T: TableStore>(
    table: &T,
    revision: ConfigRevision,
) -> Result<Option<ChangeRow>, AmendError> {
    let key = keys::change_key(revision);
    match table.read(&key, None).await? {
        RowRead::Found(row) => Ok(Some(ChangeRow {
            entry: parse_row(&key, row.value)?,
            token: row.token,
        })),
        RowRead::Absent | RowRead::Unchanged => Ok(None),
    }
}
