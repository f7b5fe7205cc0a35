//! Reading records and their history for operators.

use domain::ConfigRevision;
use domain::record::RecordKind;
use platform::{RowRead, StoreError, TableStore, keys};

use crate::amend::{AmendError, ChangeRow, ConfigHead, StoredRecord, read_change};

/// Filter for the change log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HistoryQuery {
    /// Only changes to records of this kind.
    pub kind: Option<RecordKind>,
    /// Only changes to records of this name.
    pub name: Option<String>,
    /// Only changes up to and including this revision; without it the newest change comes first.
    pub before: Option<ConfigRevision>,
    /// Maximum number of changes.
    pub limit: usize,
}

/// Status of an amendment whose response was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AmendmentStatus {
    /// It is accepted.
    Accepted,
    /// It was not accepted and never will be.
    NotAccepted,
    /// It may still take effect: no other amendment took its revision yet.
    Pending,
    /// Its change-log row was compacted, so its outcome is no longer known.
    Compacted,
}

/// Reads one record.
///
/// # Errors
///
/// [`AmendError::Store`] when the table can't be read, [`AmendError::MalformedRow`] when the row
/// can't be parsed.
pub async fn get_record<T: TableStore>(
    table: &T,
    kind: RecordKind,
    name: &str,
) -> Result<Option<StoredRecord>, AmendError> {
    let key = keys::record_key(kind, name);
    match table.read(&key, None).await? {
        RowRead::Found(row) => serde_json::from_value(row.value)
            .map(Some)
            .map_err(|_| AmendError::MalformedRow(key)),
        RowRead::Absent | RowRead::Unchanged => Ok(None),
    }
}

/// Reads all records, or those of one kind, ordered by kind and name.
///
/// # Errors
///
/// [`AmendError::Store`] when the table can't be read, [`AmendError::MalformedRow`] for the first
/// row that can't be parsed.
pub async fn list_records<T: TableStore>(
    table: &T,
    kind: Option<RecordKind>,
) -> Result<Vec<StoredRecord>, AmendError> {
    let prefix = match kind {
        Some(kind) => keys::record_key(kind, ""),
        None => keys::RECORDS.to_owned(),
    };
    let mut records = Vec::new();
    for row in table.scan(&prefix).await? {
        let key = row.key;
        let record =
            serde_json::from_value(row.value).map_err(|_| AmendError::MalformedRow(key))?;
        records.push(record);
    }
    Ok(records)
}

/// Reads the revision of the configuration's head; 0 before the first record.
///
/// # Errors
///
/// [`AmendError::Store`] when the table can't be read, [`AmendError::MalformedRow`] when the row
/// can't be parsed.
pub async fn config_head<T: TableStore>(table: &T) -> Result<ConfigRevision, AmendError> {
    match table.read(keys::CONFIG_HEAD, None).await? {
        RowRead::Found(row) => serde_json::from_value::<ConfigHead>(row.value)
            .map(|head| head.revision)
            .map_err(|_| AmendError::MalformedRow(keys::CONFIG_HEAD.to_owned())),
        RowRead::Absent | RowRead::Unchanged => Ok(ConfigRevision(0)),
    }
}

/// Reads changes, newest first, as far back as the change log reaches.
///
/// # Errors
///
/// [`AmendError::Store`] when the table can't be read, [`AmendError::MalformedRow`] for the first
/// row that can't be parsed.
pub async fn read_history<T: TableStore>(
    table: &T,
    query: &HistoryQuery,
) -> Result<Vec<ChangeRow>, AmendError> {
    let mut changes = Vec::new();
    for row in table.scan(keys::CONFIG_LOG).await?.into_iter().rev() {
        if changes.len() >= query.limit {
            break;
        }
        let key = row.key;
        let entry: crate::amend::ChangeEntry =
            serde_json::from_value(row.value).map_err(|_| AmendError::MalformedRow(key))?;
        let wanted = query.kind.is_none_or(|kind| kind == entry.kind)
            && query.name.as_ref().is_none_or(|name| *name == entry.name)
            && query.before.is_none_or(|before| entry.revision <= before);
        if !wanted {
            continue;
        }
        changes.push(ChangeRow {
            entry,
            token: row.token,
        });
    }
    Ok(changes)
}

/// Determines the outcome of an amendment that ended with [`AmendError::Unsettled`].
///
/// The change-log row of a revision is inserted once and never rewritten, so the token in it is
/// final. While the revision is unused, a delayed send can still take effect.
///
/// # Errors
///
/// [`AmendError::Store`] when the table can't be read, [`AmendError::MalformedRow`] when a row
/// can't be parsed.
pub async fn amendment_status<T: TableStore>(
    table: &T,
    revision: ConfigRevision,
    token: &str,
) -> Result<AmendmentStatus, AmendError> {
    if let Some(row) = read_change(table, revision).await? {
        if row.token == token {
            return Ok(AmendmentStatus::Accepted);
        }
        return Ok(AmendmentStatus::NotAccepted);
    }
    if config_head(table).await? < revision {
        return Ok(AmendmentStatus::Pending);
    }
    // The row may have been inserted between the two reads.
    match read_change(table, revision).await? {
        Some(row) if row.token == token => Ok(AmendmentStatus::Accepted),
        Some(_) => Ok(AmendmentStatus::NotAccepted),
        None => Ok(AmendmentStatus::Compacted),
    }
}

impl From<AmendError> for StoreError {
    fn from(error: AmendError) -> Self {
        match error {
            AmendError::Store(error) => error,
            other => Self::Malformed(other.to_string()),
        }
    }
}
