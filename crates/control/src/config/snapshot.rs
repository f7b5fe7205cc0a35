//! Snapshots of the configuration in the object store, and compaction of the change log.

use bytes::Bytes;
use domain::{ConfigRevision, WriteToken};
use platform::{
    CommitOutcome, ObjectStore, RowExpectation, StoreError, TableStore, WriteBatch,
    commit_with_retries, keys,
};

use super::load::{SnapshotPointer, read_pointer};
use super::state::ConfigSnapshot;

/// Sends of one transaction.
const COMMIT_ATTEMPTS: u32 = 3;

/// Rows of the change log deleted by one transaction, which keeps it small next to other writes.
const COMPACT_BATCH: u64 = 100;

/// Writes a snapshot, points the table to it, and deletes log rows more than `retained` revisions
/// older.
///
/// The order ensures that a node that lags behind can always catch up: the object exists before the
/// table names it, and the table names it before any row of the log is deleted. Nodes that do this
/// concurrently write the same object, and only a higher revision replaces the pointer.
///
/// # Errors
///
/// [`StoreError`]; completed steps stay in effect and the next snapshot continues from there.
pub async fn publish_snapshot<T: TableStore, O: ObjectStore>(
    table: &T,
    objects: &O,
    snapshot: &ConfigSnapshot,
    retained: u64,
    seed: &str,
) -> Result<(), StoreError> {
    if read_pointer(table).await?.pointer.revision >= snapshot.revision {
        return Ok(());
    }
    let bytes =
        serde_json::to_vec(snapshot).map_err(|error| StoreError::Malformed(error.to_string()))?;
    objects
        .put_if_absent(&keys::snapshot_key(snapshot.revision), Bytes::from(bytes))
        .await?;
    advance_pointer(table, snapshot.revision, 0, seed).await?;
    compact_log(table, retained, seed).await
}

async fn compact_log<T: TableStore>(
    table: &T,
    retained: u64,
    seed: &str,
) -> Result<(), StoreError> {
    loop {
        let pointer = read_pointer(table).await?.pointer;
        let target = pointer.revision.0.saturating_sub(retained);
        let rows = target
            .saturating_sub(pointer.compacted.0)
            .min(COMPACT_BATCH);
        if rows == 0 {
            return Ok(());
        }
        if !advance_pointer(table, pointer.revision, rows, seed).await? {
            return Ok(());
        }
    }
}

/// Raises the pointer and deletes the next `rows` rows of the log in one transaction; returns
/// whether it was committed.
async fn advance_pointer<T: TableStore>(
    table: &T,
    revision: ConfigRevision,
    rows: u64,
    seed: &str,
) -> Result<bool, StoreError> {
    let read = read_pointer(table).await?;
    let compacted = read.pointer.compacted.0;
    let pointer = SnapshotPointer {
        revision: revision.max(read.pointer.revision),
        compacted: ConfigRevision(compacted + rows),
    };
    let token: WriteToken = format!("snapshot.{seed}.{}.{}", pointer.revision, pointer.compacted)
        .parse()
        .map_err(|error: domain::IdError| StoreError::Malformed(error.to_string()))?;
    let expect = match read.version {
        Some(version) => RowExpectation::Version(version),
        None => RowExpectation::Absent,
    };
    let value =
        serde_json::to_value(pointer).map_err(|error| StoreError::Malformed(error.to_string()))?;
    let mut batch = WriteBatch::new(token).put(keys::CONFIG_SNAPSHOT, expect, value);
    for number in compacted + 1..=pointer.compacted.0 {
        batch = batch.delete(
            keys::change_key(ConfigRevision(number)),
            RowExpectation::Any,
        );
    }
    let outcome = commit_with_retries(table, &batch, COMMIT_ATTEMPTS).await?;
    Ok(matches!(outcome, CommitOutcome::Committed(_)))
}
