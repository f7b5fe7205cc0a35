//! Settling a commit whose answer was lost.

use std::time::Duration;

use domain::RowVersion;

use crate::error::StoreError;
use crate::table::{CommitOutcome, RowChange, RowConflict, TableStore, WriteBatch};

/// First pause between two tries; doubled up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(640);

/// Commits a batch and settles lost answers, up to `tries` sends.
///
/// The store may apply a write whose answer is lost, now or a little later. Reading alone can't
/// settle that: the write may still be on its way. So the same batch is sent again under the same
/// token. Its expectations let it take effect at most once, and a conflict on a row that carries
/// its own token proves that the earlier send took effect.
///
/// The proof needs at least one expectation other than `Any` on a row that the batch puts; the
/// caller sees to that.
///
/// # Errors
///
/// [`StoreError::ResponseLost`] when it could not be settled within `tries`, any other
/// [`StoreError`] when the first send certainly did not take effect.
pub async fn commit_with_retries<T: TableStore>(
    table: &T,
    batch: &WriteBatch,
    tries: u32,
) -> Result<CommitOutcome, StoreError> {
    let mut pause = FIRST_PAUSE;
    let mut in_doubt = false;
    let mut last = StoreError::Unavailable("no try was allowed".to_owned());
    for attempt in 0..tries {
        if attempt > 0 {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
        match table.commit(batch).await {
            Ok(CommitOutcome::Conflict(conflicts)) if in_doubt => {
                return Ok(judge_conflict(batch, conflicts));
            }
            Ok(outcome) => return Ok(outcome),
            Err(error) if error.is_not_applied() && !in_doubt => return Err(error),
            Err(error) if error.is_not_applied() => {}
            Err(error) => {
                in_doubt = true;
                last = error;
            }
        }
    }
    Err(last)
}

/// Tells a conflict with an earlier send of the same batch from one with another writer.
fn judge_conflict(batch: &WriteBatch, conflicts: Vec<RowConflict>) -> CommitOutcome {
    match own_version(batch, &conflicts) {
        Some(version) => CommitOutcome::Committed(version),
        None => CommitOutcome::Conflict(conflicts),
    }
}

fn own_version(batch: &WriteBatch, conflicts: &[RowConflict]) -> Option<RowVersion> {
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
