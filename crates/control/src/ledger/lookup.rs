//! Settling a claim by what the service itself tells.

use domain::{CallClaim, ClaimState};
use platform::{
    CommitOutcome, RowExpectation, RowRead, StoreError, TableStore, WriteBatch, settled_commit,
};

use super::{CallLedger, ClaimKey, read_claim};
use crate::token::random_token;

/// Sends of the outcome; the service's books stay, so that a later request tries again.
const COMMIT_ATTEMPTS: u32 = 3;

impl<T: TableStore> CallLedger<T> {
    /// Records that a service's look-up shows a claimed call as run.
    ///
    /// The claimant's answer was lost, or the claimant died, and its row would say `Claimed` for
    /// good. A look-up that shows an execution is proof, and the service keeps no call of this key
    /// but the claimant's. One that shows none proves nothing and must never come here: a paused
    /// claimant could still send. The claimant's own outcome goes first; it fails on this row's
    /// newer version and takes the row as it is.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; the claim then stays as it is.
    pub async fn settle_from_lookup(
        &self,
        key: &ClaimKey,
        seen: &CallClaim,
        answer: ClaimState,
    ) -> Result<(), StoreError> {
        let row = match self.table.read(&key.row(), None).await? {
            RowRead::Found(row) => row,
            RowRead::Absent | RowRead::Unchanged => return Ok(()),
        };
        let (current, version) = read_claim(row)?;
        if current != *seen || current.state != ClaimState::Claimed {
            return Ok(());
        }
        let settled = CallClaim {
            state: answer,
            ..current
        };
        let value = serde_json::to_value(&settled)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let expect = RowExpectation::Version(version);
        let batch = WriteBatch::new(random_token("found")?).put(key.row(), expect, value);
        match settled_commit(&self.table, &batch, COMMIT_ATTEMPTS).await? {
            // A conflict means that the claimant or another request was faster.
            CommitOutcome::Committed(_) | CommitOutcome::Conflict(_) => Ok(()),
        }
    }
}
