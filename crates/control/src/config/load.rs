//! Reading what a node misses of the configuration.

use domain::ConfigRevision;
use platform::{ObjectStore, RowRead, StoreError, TableStore, keys};
use serde::{Deserialize, Serialize};

use crate::amend::{ChangeEntry, ConfigHead, StoredRecord, read_change};

use super::state::ConfigSnapshot;

/// A node that misses more changes than this reads the snapshot instead. One that was away for
/// half an hour at the peak reads about 50 rows; 410 nodes that start at once must not read
/// thousands of rows each from a table that gives two thousand reads a second.
const MAX_CHANGE_READS: u64 = 64;

/// Scans of all records before a node gives up for this round.
const SCAN_ATTEMPTS: u32 = 3;

/// The row that names the newest snapshot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPointer {
    /// Revision of the newest snapshot in the object store.
    pub revision: ConfigRevision,
    /// The log's rows up to this revision are deleted.
    pub compacted: ConfigRevision,
}

/// What brings a node up to the head.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigUpdate {
    /// Comes first, where there is one.
    pub snapshot: Option<ConfigSnapshot>,
    /// The changes after it, in order.
    pub changes: Vec<ChangeEntry>,
}

/// Reads what leads from revision `applied` to revision `head`.
///
/// Three ways, each cheaper than the next: the rows of the log; the newest snapshot and the rows
/// after it; a scan of all records between two reads of the same head. A node that is behind a
/// compacted log, or that starts while the object store is down, always has a way left.
///
/// # Errors
///
/// [`StoreError`] of the last way.
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

/// The rows of the log; none when they are too many or no longer all kept.
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
    for number in after.0 + 1..=head.0 {
        let Some(row) = read_change(table, ConfigRevision(number)).await? else {
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

/// The pointer with its row's version; none for the version before the first snapshot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PointerRead {
    /// The pointer.
    pub pointer: SnapshotPointer,
    /// Version of its row.
    pub version: Option<domain::RowVersion>,
}

/// Reads the pointer to the newest snapshot.
///
/// # Errors
///
/// [`StoreError`].
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

/// Every record at one head: a scan is no snapshot, so it counts only when the head did not move
/// meanwhile; otherwise half of an amendment of two records could come into force.
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
        "the head moved during every scan".to_owned(),
    ))
}
