//! The ledger of non-idempotent calls: a claim is inserted, once, before a call is sent.
//!
//! Why a call runs at most once. A claim's row is inserted on condition that it does not exist;
//! only the task that inserted it gets a [`ClaimTicket`], and it sends once. A row in the state
//! `Claimed` is never deleted and never given to another claimant, no matter how old it is. A row
//! can be replaced only in the state `NotRun`, and only the claimant writes that: either it has
//! proof that no byte reached the target, or the ticket was never handed out. A settled row is
//! deleted after [`crate::housekeeping::HousekeepingSettings::claim_retention_ms`], which is days.
//! A claimant that was paused for so long holds a ticket far older than
//! [`LedgerSettings::send_limit_ms`], which is seconds, and [`ClaimTicket::is_fresh`] stops it on
//! its own monotonic clock immediately before it sends.

mod lookup;
mod outcome;
mod writer;

use std::time::{Duration, Instant};

use domain::{AttemptId, CallClaim, ClaimState, CustomerId, NodeId, RowVersion, ServiceName};
use platform::{RowExpectation, StoreError, TableRow, TableStore, keys};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use xtra::{Address, Mailbox};

use outcome::{OutcomeWrite, retry_outcome, withdraw_claim};
use writer::{EnqueueWrite, LedgerWriter, RowOutcome, RowWrite};

/// Batching and timeouts of the ledger. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerSettings {
    /// Maximum time that a claim waits for others to share its transaction.
    ///
    /// At 500 calls a second, one transaction each would use the table's whole capacity; 3 ms let a
    /// few share one and are negligible next to the service's own response time.
    #[builder(default = 3)]
    pub batch_delay_ms: u64,
    /// Maximum rows of one transaction, so that one lost response leaves few claims in doubt.
    #[builder(default = 64)]
    pub batch_rows: usize,
    /// Transactions in flight; further claims are batched into the next one.
    #[builder(default = 4)]
    pub flights: usize,
    /// Maximum number of queued claims; more are refused at once, since they would time out anyway.
    #[builder(default = 2_048)]
    pub queue_rows: usize,
    /// Timeout of a claim; the call is then refused as not run.
    #[builder(default = 3_000)]
    pub claim_timeout_ms: u64,
    /// Timeout of writing an outcome; the write then continues in the background.
    #[builder(default = 1_000)]
    pub outcome_timeout_ms: u64,
    /// Maximum age of a ticket with which a call may be sent.
    #[builder(default = 5_000)]
    pub send_limit_ms: u64,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Identifies a call; the same key of another customer or service is another call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimKey {
    /// The service that is called.
    pub service: ServiceName,
    /// The customer who calls.
    pub customer: CustomerId,
    /// SHA-256 of the client's idempotency key, in hexadecimal, so that any text makes a valid row
    /// key.
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

/// Permission to send a call once.
#[derive(Debug)]
pub struct ClaimTicket {
    row: String,
    claim: CallClaim,
    version: RowVersion,
    claimed_at: Instant,
    send_limit: Duration,
}

impl ClaimTicket {
    /// Whether the call may still be sent; check it immediately before the first byte.
    ///
    /// A process that was suspended between its claim and its send resumes with a ticket whose
    /// client has long received another response. It then settles the claim as not run instead.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.claimed_at.elapsed() <= self.send_limit
    }
}

/// Result of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This node may send the call, once.
    Granted(ClaimTicket),
    /// The key was used with another body.
    Reused,
    /// Another request claimed the call; this is its current state.
    Existing(CallClaim),
}

/// The ledger in the table. Cheap to clone; clones share the transactions.
#[derive(Debug)]
pub struct CallLedger<T> {
    table: T,
    node: NodeId,
    settings: LedgerSettings,
    writer: Address<LedgerWriter<T>>,
}

impl<T: TableStore> Clone for CallLedger<T> {
    fn clone(&self) -> Self {
        Self {
            table: self.table.clone(),
            node: self.node.clone(),
            settings: self.settings,
            writer: self.writer.clone(),
        }
    }
}

impl<T: TableStore> CallLedger<T> {
    /// A ledger with default settings. Needs a tokio runtime.
    #[must_use]
    pub fn new(table: T, node: NodeId) -> Self {
        Self::with_settings(table, node, LedgerSettings::default())
    }

    /// A ledger that claims in the name of `node`. Needs a tokio runtime.
    #[must_use]
    pub fn with_settings(table: T, node: NodeId, settings: LedgerSettings) -> Self {
        let writer = LedgerWriter::new(table.clone(), &node, settings);
        let writer = xtra::spawn_tokio(writer, Mailbox::bounded(settings.queue_rows));
        Self {
            table,
            node,
            settings,
            writer,
        }
    }

    /// Claims a call. Any error means that it was not sent and must not be sent.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when the claim can't be queued, written or parsed, or not within
    /// [`LedgerSettings::claim_timeout_ms`]. A claim that may have been stored is withdrawn in the
    /// background.
    pub async fn claim(
        &self,
        key: ClaimKey,
        attempt: AttemptId,
        body_hash: String,
    ) -> Result<ClaimOutcome, StoreError> {
        // The claim continues in its own task if the client disconnects meanwhile: a claim that is
        // stored without anyone to send the call would leave its key unknown forever. If nobody
        // receives the ticket, the task withdraws the claim.
        let (reply, response) = oneshot::channel();
        let ledger = self.clone();
        tokio::spawn(async move {
            let outcome = ledger.claim_row(&key, attempt, body_hash).await;
            if let Err(Ok(ClaimOutcome::Granted(ticket))) = reply.send(outcome) {
                withdraw_claim(ledger.table.clone(), ticket.row, ticket.claim).await;
            }
        });
        response.await.unwrap_or_else(|_| {
            Err(StoreError::Unavailable(
                "the ledger writer stopped".to_owned(),
            ))
        })
    }

    async fn claim_row(
        &self,
        key: &ClaimKey,
        attempt: AttemptId,
        body_hash: String,
    ) -> Result<ClaimOutcome, StoreError> {
        let claim = CallClaim {
            claimant: self.node.clone(),
            attempt: unique_attempt(&attempt)?,
            body_hash,
            state: ClaimState::Claimed,
        };
        let mut expect = RowExpectation::Absent;
        loop {
            let claimed_at = Instant::now();
            let write = row_write(key.row(), &claim, expect)?;
            let limit = Duration::from_millis(self.settings.claim_timeout_ms);
            let row = match self.write(write, limit).await {
                Ok(RowOutcome::Written(version)) => {
                    return Ok(ClaimOutcome::Granted(ClaimTicket {
                        row: key.row(),
                        claim,
                        version,
                        claimed_at,
                        send_limit: Duration::from_millis(self.settings.send_limit_ms),
                    }));
                }
                Ok(RowOutcome::Conflict(row)) => row,
                Err(error) => {
                    if !error.is_not_applied() {
                        tokio::spawn(withdraw_claim(self.table.clone(), key.row(), claim));
                    }
                    return Err(error);
                }
            };
            let Some(row) = row else {
                expect = RowExpectation::Absent;
                continue;
            };
            let (current, version) = read_claim(row)?;
            if current.body_hash != claim.body_hash {
                return Ok(ClaimOutcome::Reused);
            }
            if !current.is_replaceable() {
                return Ok(ClaimOutcome::Existing(current));
            }
            expect = RowExpectation::Version(version);
        }
    }

    /// Records the outcome of a claimed call.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; the outcome is then written in the background, and until then the claim
    /// stays unsettled, so that the call is never sent again.
    pub async fn settle(&self, ticket: ClaimTicket, state: ClaimState) -> Result<(), StoreError> {
        let claim = CallClaim {
            state,
            ..ticket.claim
        };
        let expect = RowExpectation::Version(ticket.version);
        let write = row_write(ticket.row, &claim, expect)?;
        let outcome = OutcomeWrite {
            key: write.key.clone(),
            value: write.value.clone(),
            version: ticket.version,
        };
        let limit = Duration::from_millis(self.settings.outcome_timeout_ms);
        match self.write(write, limit).await {
            Ok(RowOutcome::Written(_)) => Ok(()),
            Ok(RowOutcome::Conflict(row)) if outcome.matches_row(row.as_ref()) => Ok(()),
            Ok(RowOutcome::Conflict(_)) => Err(StoreError::Malformed(
                "the claim's row was changed by another writer".to_owned(),
            )),
            Err(error) => {
                tokio::spawn(retry_outcome(self.table.clone(), outcome));
                Err(error)
            }
        }
    }

    async fn write(&self, write: RowWrite, limit: Duration) -> Result<RowOutcome, StoreError> {
        let (reply, response) = oneshot::channel();
        let stopped = || StoreError::Unavailable("the ledger writer stopped".to_owned());
        let waiting = async {
            self.writer
                .send(EnqueueWrite { write, reply })
                .await
                .map_err(|_| stopped())?;
            response.await.unwrap_or_else(|_| Err(stopped()))
        };
        match tokio::time::timeout(limit, waiting).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::ResponseLost(
                "the ledger write timed out".to_owned(),
            )),
        }
    }
}

/// The attempt id stored in the claim's row. A claim is recognised as one's own by it, so it must
/// be unique even when node names and counters repeat after a restart.
fn unique_attempt(attempt: &AttemptId) -> Result<AttemptId, StoreError> {
    format!("{attempt}.{:016x}", rand::random::<u64>())
        .parse()
        .map_err(|error: domain::IdError| StoreError::Malformed(error.to_string()))
}

fn row_write(
    key: String,
    claim: &CallClaim,
    expect: RowExpectation,
) -> Result<RowWrite, StoreError> {
    let value =
        serde_json::to_value(claim).map_err(|error| StoreError::Malformed(error.to_string()))?;
    Ok(RowWrite { key, expect, value })
}

fn read_claim(row: TableRow) -> Result<(CallClaim, RowVersion), StoreError> {
    let claim = serde_json::from_value(row.value)
        .map_err(|error| StoreError::Malformed(error.to_string()))?;
    Ok((claim, row.version))
}
