//! Retries of a commit whose response was lost.

use std::time::Duration;

use domain::RowVersion;

use crate::error::StoreError;
use crate::table::{CommitOutcome, RowChange, RowConflict, TableStore, WriteBatch};

/// Delay before the first retry; it doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(640);

/// Commits a batch, and sends it again while the result is unknown, up to `attempts` times in all.
///
/// A batch whose response was lost may have been applied or may be applied later. Reading the rows
/// does not tell, since the batch may still be in flight. So the same batch is sent again with the
/// same token. Its expectations ensure that it is applied at most once, and a conflict on a row
/// that carries the batch's own token proves that an earlier attempt was applied.
///
/// This requires at least one expectation other than `Any` on a row that the batch puts, which the
/// caller has to ensure.
///
/// # Errors
///
/// [`StoreError::ResponseLost`] if the result is still unknown after all attempts; any other
/// [`StoreError`] if the batch was certainly not applied by the first attempt.
pub async fn commit_with_retries<T: TableStore>(
    table: &T,
    batch: &WriteBatch,
    attempts: u32,
) -> Result<CommitOutcome, StoreError> {
    let mut backoff = INITIAL_BACKOFF;
    let mut maybe_applied = false;
    let mut last_error = StoreError::Unavailable("no attempt was allowed".to_owned());
    for attempt in 0..attempts {
        if attempt > 0 {
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        match table.commit(batch).await {
            Ok(CommitOutcome::Conflict(conflicts)) if maybe_applied => {
                return Ok(resolve_conflict(batch, conflicts));
            }
            Ok(outcome) => return Ok(outcome),
            Err(error) if error.is_not_applied() && !maybe_applied => return Err(error),
            Err(error) if error.is_not_applied() => {}
            Err(error) => {
                maybe_applied = true;
                last_error = error;
            }
        }
    }
    Err(last_error)
}

/// Tells a conflict with an earlier attempt of the same batch from one with another writer.
fn resolve_conflict(batch: &WriteBatch, conflicts: Vec<RowConflict>) -> CommitOutcome {
    match applied_version(batch, &conflicts) {
        Some(version) => CommitOutcome::Committed(version),
        None => CommitOutcome::Conflict(conflicts),
    }
}

fn applied_version(batch: &WriteBatch, conflicts: &[RowConflict]) -> Option<RowVersion> {
    for conflict in conflicts {
        let Some(row) = &conflict.row else { continue };
        let written = batch
            .writes
            .iter()
            .any(|(key, _, change)| *key == row.key && matches!(change, RowChange::Put(_)));
        if written && row.token == batch.token.as_str() {
            return Some(row.version);
        }
    }
    None
}
