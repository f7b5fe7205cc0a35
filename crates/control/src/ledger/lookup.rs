//! Settling a claim by the result of a look-up at the service.

use domain::{CallClaim, ClaimState};
use platform::{
    CommitOutcome, RowExpectation, RowRead, StoreError, TableStore, WriteBatch, commit_with_retries,
};

use super::{CallLedger, ClaimKey, read_claim};
use crate::token::random_token;

/// Sends of the outcome. The service keeps its records, so a later request can try again.
const COMMIT_ATTEMPTS: u32 = 3;

impl<T: TableStore> CallLedger<T> {
    /// Records that a look-up at the service shows a claimed call as executed.
    ///
    /// The claimant's response was lost or the claimant died, so its row would stay `Claimed`
    /// forever. A look-up that shows an execution is proof, and the service has no call with this
    /// key but the claimant's. A look-up without an execution proves nothing and must never lead
    /// here: a paused claimant could still send. The claimant's own write of the outcome fails on
    /// this row's newer version and accepts the row as it is.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; the claim then stays unchanged.
    pub async fn settle_from_lookup(
        &self,
        key: &ClaimKey,
        observed: &CallClaim,
        outcome: ClaimState,
    ) -> Result<(), StoreError> {
        let row = match self.table.read(&key.row(), None).await? {
            RowRead::Found(row) => row,
            RowRead::Absent | RowRead::Unchanged => return Ok(()),
        };
        let (current, version) = read_claim(row)?;
        if current != *observed || current.state != ClaimState::Claimed {
            return Ok(());
        }
        let settled = CallClaim {
            state: outcome,
            ..current
        };
        let value = serde_json::to_value(&settled)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let expect = RowExpectation::Version(version);
        let batch = WriteBatch::new(random_token("found")?).put(key.row(), expect, value);
        match commit_with_retries(&self.table, &batch, COMMIT_ATTEMPTS).await? {
            // A conflict means that the claimant or another request settled the claim first.
            CommitOutcome::Committed(_) | CommitOutcome::Conflict(_) => Ok(()),
        }
    }
}
