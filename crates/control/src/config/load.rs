//! Fetching the configuration changes that a node lacks.

use domain::ConfigRevision;
use platform::{ObjectStore, RowRead, StoreError, TableStore, keys};
use serde::{Deserialize, Serialize};

use crate::amend::{ChangeEntry, ConfigHead, StoredRecord, read_change};

use super::state::ConfigSnapshot;

/// A node that lacks more changes than this reads the snapshot instead. After half an hour offline
/// at peak load about 50 rows are missing; 410 nodes that start at once must not read thousands of
/// rows each from a table limited to two thousand reads a second.
const MAX_CHANGE_READS: u64 = 64;

/// Scans of all records in one call before it fails.
const SCAN_ATTEMPTS: u32 = 3;

/// The row that names the newest snapshot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPointer {
    /// Revision of the newest snapshot in the object store.
    pub revision: ConfigRevision,
    /// Rows of the change log up to this revision are deleted.
    pub compacted: ConfigRevision,
}

/// What brings a node from its revision up to the head.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigUpdate {
    /// Applied before the changes; none when the changes suffice.
    pub snapshot: Option<ConfigSnapshot>,
    /// The changes after the snapshot, in order.
    pub changes: Vec<ChangeEntry>,
}

/// Fetches the update from revision `applied` to revision `head`.
///
/// There are three ways, tried in order of cost: the rows of the change log; the newest snapshot
/// and the rows after it; a scan of all records between two reads of an unchanged head. A node that
/// lags behind a compacted log, or that starts while the object store is down, can still use a
/// later one.
///
/// # Errors
///
/// [`StoreError`] of the last way tried.
pub async fn load_update<T: TableStore, O: ObjectStore>(
    table: &T,
    objects: &O,
    applied: ConfigRevision,
    head: ConfigRevision,
) -> Result<ConfigUpdate, StoreError> {
    if let Some(changes) = read_changes(table, applied, head).await? {
        return Ok(ConfigUpdate {
            snapshot: None,
            changes,
        });
    }
    if let Some(update) = read_snapshot(table, objects, applied, head).await? {
        return Ok(update);
    }
    scan_records(table).await
}

/// The rows of the change log; none when there are too many or some are already deleted.
async fn read_changes<T: TableStore>(
    table: &T,
    after: ConfigRevision,
    head: ConfigRevision,
) -> Result<Option<Vec<ChangeEntry>>, StoreError> {
    let missing = head.0.saturating_sub(after.0);
    if missing > MAX_CHANGE_READS {
        return Ok(None);
    }
    let mut changes = Vec::new();
    for known in after.0..head.0 {
        let Some(row) = read_change(table, ConfigRevision(known + 1)).await? else {
            return Ok(None);
        };
        changes.push(row.entry);
    }
    Ok(Some(changes))
}

async fn read_snapshot<T: TableStore, O: ObjectStore>(
    table: &T,
    objects: &O,
    applied: ConfigRevision,
    head: ConfigRevision,
) -> Result<Option<ConfigUpdate>, StoreError> {
    let pointer = read_pointer(table).await?.pointer;
    if pointer.revision <= applied {
        return Ok(None);
    }
    let key = keys::snapshot_key(pointer.revision);
    let Ok(Some(bytes)) = objects.get(&key).await else {
        return Ok(None);
    };
    let Ok(snapshot) = serde_json::from_slice::<ConfigSnapshot>(&bytes) else {
        return Ok(None);
    };
    let Some(changes) = read_changes(table, snapshot.revision, head).await? else {
        return Ok(None);
    };
    Ok(Some(ConfigUpdate {
        snapshot: Some(snapshot),
        changes,
    }))
}

/// The snapshot pointer with its row's version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PointerRead {
    /// The pointer; the default one before the first snapshot.
    pub pointer: SnapshotPointer,
    /// Version of the pointer's row; none before the first snapshot.
    pub version: Option<domain::RowVersion>,
}

/// Reads the pointer to the newest snapshot.
///
/// # Errors
///
/// [`StoreError`] when the row can't be read or parsed.
pub async fn read_pointer<T: TableStore>(table: &T) -> Result<PointerRead, StoreError> {
    let RowRead::Found(row) = table.read(keys::CONFIG_SNAPSHOT, None).await? else {
        return Ok(PointerRead::default());
    };
    let pointer = serde_json::from_value(row.value)
        .map_err(|error| StoreError::Malformed(error.to_string()))?;
    Ok(PointerRead {
        pointer,
        version: Some(row.version),
    })
}

/// Reads all records at one head. A scan is not a consistent snapshot, so it counts only when the
/// head did not change during it; otherwise one of two amendments made meanwhile could be missed.
async fn scan_records<T: TableStore>(table: &T) -> Result<ConfigUpdate, StoreError> {
    for _ in 0..SCAN_ATTEMPTS {
        let RowRead::Found(before) = table.read(keys::CONFIG_HEAD, None).await? else {
            return Ok(ConfigUpdate::default());
        };
        let rows = table.scan(keys::RECORDS).await?;
        let after = table.read(keys::CONFIG_HEAD, Some(before.version)).await?;
        if after != RowRead::Unchanged {
            continue;
        }
        let head: ConfigHead = serde_json::from_value(before.value)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let mut records: Vec<StoredRecord> = Vec::new();
        for row in rows {
            let record = serde_json::from_value(row.value)
                .map_err(|error| StoreError::Malformed(error.to_string()))?;
            records.push(record);
        }
        return Ok(ConfigUpdate {
            snapshot: Some(ConfigSnapshot {
                revision: head.revision,
                records,
            }),
            changes: Vec::new(),
        });
    }
    Err(StoreError::Unavailable(
        "the configuration head changed during every scan".to_owned(),
    ))
}
