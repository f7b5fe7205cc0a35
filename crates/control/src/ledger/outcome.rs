//! Background writes of the ledger, retried until the store accepts them.

use std::time::Duration;

use domain::{CallClaim, ClaimState, RowVersion};
use platform::{
    CommitOutcome, RowExpectation, RowRead, StoreError, TableRow, TableStore, WriteBatch,
    commit_with_retries,
};
use serde_json::Value;

use crate::backoff::Backoff;
use crate::token::random_token;

/// First delay between two tries.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Longest delay between two tries: the store may be down for an hour.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(15);

/// Tries before a write is given up; about a day.
const MAX_ATTEMPTS: u32 = 6_000;

/// Sends of one transaction.
const COMMIT_ATTEMPTS: u32 = 2;

/// The outcome of a call, to be written into the claim's row.
#[derive(Debug)]
pub struct OutcomeWrite {
    pub key: String,
    pub value: Value,
    pub version: RowVersion,
}

impl OutcomeWrite {
    /// Whether the row already contains it. An attempt is unique, so an equal row is this one's
    /// write.
    pub fn matches_row(&self, row: Option<&TableRow>) -> bool {
        row.is_some_and(|row| row.value == self.value)
    }
}

/// Writes an outcome until it is stored or the row was changed by another writer.
///
/// The store may be down when the call's response arrives. The client has the response, but a later
/// request with the same key would get `unknown` as long as the row says `Claimed`.
pub async fn retry_outcome<T: TableStore>(table: T, outcome: OutcomeWrite) {
    let mut backoff = Backoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
    for _ in 0..MAX_ATTEMPTS {
        tokio::time::sleep(backoff.next_delay()).await;
        let Ok(token) = random_token("outcome") else {
            return;
        };
        let expect = RowExpectation::Version(outcome.version);
        let batch = WriteBatch::new(token).put(outcome.key.clone(), expect, outcome.value.clone());
        // A conflict means that an earlier send took effect or that another writer changed the row.
        if commit_with_retries(&table, &batch, COMMIT_ATTEMPTS)
            .await
            .is_ok()
        {
            return;
        }
    }
}

/// Withdraws a claim that may be stored although its call was never sent.
///
/// Either the response to the claim was lost, or its client disconnected before it. Left alone, the
/// row would give every later request the response `unknown`. The write may also still be in
/// transit, so an absent row is replaced by one that says `NotRun`, on which the late claim then
/// fails.
pub async fn withdraw_claim<T: TableStore>(table: T, key: String, claim: CallClaim) {
    let mut backoff = Backoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
    for _ in 0..MAX_ATTEMPTS {
        if matches!(try_withdraw(&table, &key, &claim).await, Ok(true)) {
            return;
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

async fn try_withdraw<T: TableStore>(
    table: &T,
    key: &str,
    claim: &CallClaim,
) -> Result<bool, StoreError> {
    let expect = match table.read(key, None).await? {
        RowRead::Absent | RowRead::Unchanged => RowExpectation::Absent,
        RowRead::Found(row) => {
            let current: CallClaim = serde_json::from_value(row.value)
                .map_err(|error| StoreError::Malformed(error.to_string()))?;
            let own = current.attempt == claim.attempt;
            // The claim may still replace a `NotRun` row of another attempt, so that row is written
            // again; it fails on any other row of another attempt.
            let done = match current.state {
                ClaimState::NotRun => own,
                ClaimState::Claimed => !own,
                ClaimState::Answered { .. } => true,
            };
            if done {
                return Ok(true);
            }
            RowExpectation::Version(row.version)
        }
    };
    let withdrawn = CallClaim {
        state: ClaimState::NotRun,
        ..claim.clone()
    };
    let value = serde_json::to_value(&withdrawn)
        .map_err(|error| StoreError::Malformed(error.to_string()))?;
    let batch = WriteBatch::new(random_token("withdraw")?).put(key, expect, value);
    let outcome = commit_with_retries(table, &batch, COMMIT_ATTEMPTS).await?;
    Ok(matches!(outcome, CommitOutcome::Committed(_)))
}
