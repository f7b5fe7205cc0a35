//! The ledger of non-idempotent calls: a claim is inserted before a call is sent, once.

use domain::{
    AttemptId, CallClaim, ClaimState, CustomerId, NodeId, RowVersion, ServiceName, WriteToken,
};
use platform::{
    CommitOutcome, RowConflict, RowExpectation, StoreError, TableStore, WriteBatch, keys,
    settled_commit,
};

/// Sends of one claim before the call is refused as not run.
const CLAIM_TRIES: u32 = 3;

/// Sends of an outcome before it is left to a look-up.
const OUTCOME_TRIES: u32 = 6;

/// What names a call: the same key of another customer or service is another call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimKey {
    /// The service.
    pub service: ServiceName,
    /// The customer.
    pub customer: CustomerId,
    /// SHA-256 of the caller's idempotency key, in hexadecimal, so that any text is a row key.
    pub key_hash: String,
}

impl ClaimKey {
    fn row(&self) -> String {
        format!(
            "{}{}/{}/{}",
            keys::CLAIMS,
            self.service,
            self.customer,
            self.key_hash
        )
    }
}

/// Leave to send a call once.
#[derive(Debug)]
pub struct ClaimTicket {
    key: ClaimKey,
    claim: CallClaim,
    version: RowVersion,
}

/// What became of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This node may send the call, once.
    Granted(ClaimTicket),
    /// The key was used for another body.
    Reused,
    /// Another request claimed the call; how far it is.
    Existing(CallClaim),
}

/// The ledger in the table.
#[derive(Debug, Clone)]
pub struct CallLedger<T> {
    table: T,
    node: NodeId,
}

impl<T: TableStore> CallLedger<T> {
    /// The ledger for a node.
    #[must_use]
    pub fn new(table: T, node: NodeId) -> Self {
        Self { table, node }
    }

    /// Claims a call. Any error means that it must not be sent.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn claim(
        &self,
        key: ClaimKey,
        attempt: AttemptId,
        body_hash: String,
    ) -> Result<ClaimOutcome, StoreError> {
        let claim = CallClaim {
            claimant: self.node.clone(),
            attempt,
            body_hash,
            state: ClaimState::Claimed,
        };
        let mut expect = RowExpectation::Absent;
        loop {
            let batch = claim_batch(&key, &claim, expect, "claim")?;
            let conflicts = match settled_commit(&self.table, &batch, CLAIM_TRIES).await? {
                CommitOutcome::Committed(version) => {
                    return Ok(ClaimOutcome::Granted(ClaimTicket {
                        key,
                        claim,
                        version,
                    }));
                }
                CommitOutcome::Conflict(conflicts) => conflicts,
            };
            let (current, version) = current_claim(conflicts)?;
            if current.body_hash != claim.body_hash {
                return Ok(ClaimOutcome::Reused);
            }
            if !current.is_free() {
                return Ok(ClaimOutcome::Existing(current));
            }
            expect = RowExpectation::Version(version);
        }
    }

    /// Records the outcome of a claimed call.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; the claim then stays as it is, so that the call is never sent again.
    pub async fn settle(&self, ticket: ClaimTicket, state: ClaimState) -> Result<(), StoreError> {
        let claim = CallClaim {
            state,
            ..ticket.claim
        };
        let expect = RowExpectation::Version(ticket.version);
        let batch = claim_batch(&ticket.key, &claim, expect, "settle")?;
        settled_commit(&self.table, &batch, OUTCOME_TRIES).await?;
        Ok(())
    }
}

fn claim_batch(
    key: &ClaimKey,
    claim: &CallClaim,
    expect: RowExpectation,
    step: &str,
) -> Result<WriteBatch, StoreError> {
    let token: WriteToken = format!("{step}.{}", claim.attempt)
        .parse()
        .map_err(|error: domain::IdError| StoreError::Malformed(error.to_string()))?;
    let value =
        serde_json::to_value(claim).map_err(|error| StoreError::Malformed(error.to_string()))?;
    Ok(WriteBatch::new(token).put(key.row(), expect, value))
}

fn current_claim(conflicts: Vec<RowConflict>) -> Result<(CallClaim, RowVersion), StoreError> {
    let row = conflicts
        .into_iter()
        .find_map(|conflict| conflict.row)
        .ok_or_else(|| StoreError::Malformed("a conflict without a row".to_owned()))?;
    let claim = serde_json::from_value(row.value)
        .map_err(|error| StoreError::Malformed(error.to_string()))?;
    Ok((claim, row.version))
}
