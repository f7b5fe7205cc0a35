//! Deletion of old settled claims from the ledger, under the housekeeping lease.
//!
//! The age of a claim is measured without comparing clocks, see [`domain::RetentionLog`]: the
//! table's versions order the writes, and the holders of the lease measure the time between them on
//! their own monotonic clocks.

use std::time::{Duration, Instant};

use domain::{CallClaim, ClaimState, LeaseEpoch, RetentionLog, RowVersion};
use events::{EventCode, EventRecorder, EventSubject};
use platform::{
    CommitOutcome, RowExpectation, RowRead, StoreError, TableRow, TableStore, WriteBatch,
    commit_with_retries, keys,
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::backoff::with_jitter;
use crate::lease::LeaseGrant;
use crate::token::random_token;

/// Rows per page of the sweep, and thus most deletes per transaction.
const PAGE_ROWS: usize = 100;

/// Sends of one transaction.
const COMMIT_ATTEMPTS: u32 = 2;

/// Timing of housekeeping. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct HousekeepingSettings {
    /// Time for which a settled claim determines the response to later requests with its key. It
    /// must be far above [`crate::ledger::LedgerSettings::send_limit_ms`] and above the longest
    /// time for which a client retries a call; a week covers days on which a market is closed.
    #[builder(default = 7 * 24 * 3_600_000)]
    pub claim_retention_ms: u64,
    /// Interval between two sweeps.
    #[builder(default = 3_600_000)]
    pub sweep_period_ms: u64,
    /// Delay between two pages of a sweep, which limits it to a few reads a second.
    #[builder(default = 250)]
    pub page_pause_ms: u64,
}

impl Default for HousekeepingSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Sweeps at intervals while the lease is held; runs until the lease's actor ends.
pub async fn run_housekeeping<T: TableStore>(
    table: T,
    grants: watch::Receiver<Option<LeaseGrant>>,
    settings: HousekeepingSettings,
    recorder: EventRecorder,
) {
    let mut last_advance: Option<(LeaseEpoch, Instant)> = None;
    while grants.has_changed().is_ok() {
        let period = Duration::from_millis(settings.sweep_period_ms);
        let grant = grants.borrow().clone();
        if let Some(grant) = grant {
            let elapsed = match last_advance {
                Some((epoch, since)) if epoch == grant.epoch => since.elapsed(),
                Some(_) | None => Duration::ZERO,
            };
            if let Ok(Some(log)) = advance_retention_log(&table, &grant, elapsed).await {
                last_advance = Some((grant.epoch, Instant::now()));
                let cleaned = sweep_claims(&table, &grants, &log, settings).await;
                record_cleaned(&recorder, &grant, cleaned);
            }
        }
        tokio::time::sleep(with_jitter(period, 0.2)).await;
    }
}

fn record_cleaned(recorder: &EventRecorder, grant: &LeaseGrant, cleaned: usize) {
    if cleaned == 0 {
        return;
    }
    let subject = EventSubject::lease(&grant.name);
    recorder.record(
        EventCode::ClaimsCleaned,
        subject,
        format!("{cleaned} claims"),
    );
}

/// Adds the elapsed time to the retention log; none when another node wrote it first.
///
/// # Errors
///
/// [`StoreError`] when the row can't be read, parsed or written. The write may still have taken
/// effect, unless [`StoreError::is_not_applied`] returns true.
pub async fn advance_retention_log<T: TableStore>(
    table: &T,
    grant: &LeaseGrant,
    elapsed: Duration,
) -> Result<Option<RetentionLog>, StoreError> {
    let malformed = |error: serde_json::Error| StoreError::Malformed(error.to_string());
    let (log, expect) = match table.read(keys::RETENTION_LOG, None).await? {
        RowRead::Found(row) => {
            let log: RetentionLog = serde_json::from_value(row.value).map_err(malformed)?;
            let log = log.advanced(elapsed, row.version);
            (log, RowExpectation::Version(row.version))
        }
        RowRead::Absent | RowRead::Unchanged => (RetentionLog::default(), RowExpectation::Absent),
    };
    let value = serde_json::to_value(&log).map_err(malformed)?;
    let batch =
        WriteBatch::new(random_token("housekeeping")?).put(keys::RETENTION_LOG, expect, value);
    let outcome = commit_with_retries(table, &grant.fence(batch), COMMIT_ATTEMPTS).await?;
    Ok(matches!(outcome, CommitOutcome::Committed(_)).then_some(log))
}

async fn sweep_claims<T: TableStore>(
    table: &T,
    grants: &watch::Receiver<Option<LeaseGrant>>,
    log: &RetentionLog,
    settings: HousekeepingSettings,
) -> usize {
    let age = Duration::from_millis(settings.claim_retention_ms);
    let Some(limit) = log.older_than(age) else {
        return 0;
    };
    let mut cleaned = 0;
    let mut after = String::new();
    loop {
        let grant = grants.borrow().clone();
        let Some(grant) = grant else { return cleaned };
        let Ok(rows) = table.scan_page(keys::CLAIMS, &after, PAGE_ROWS).await else {
            return cleaned;
        };
        let Some(last) = rows.last() else {
            return cleaned;
        };
        after.clone_from(&last.key);
        cleaned += delete_settled_claims(table, &grant, &rows, limit)
            .await
            .unwrap_or(0);
        tokio::time::sleep(Duration::from_millis(settings.page_pause_ms)).await;
    }
}

/// Deletes the settled claims among `rows` whose version is at most `limit`; returns how many.
///
/// # Errors
///
/// [`StoreError`] when the transaction fails; its deletes may still have taken effect, unless
/// [`StoreError::is_not_applied`] returns true. A conflict is no error and counts as 0.
pub async fn delete_settled_claims<T: TableStore>(
    table: &T,
    grant: &LeaseGrant,
    rows: &[TableRow],
    limit: RowVersion,
) -> Result<usize, StoreError> {
    let mut batch = WriteBatch::new(random_token("housekeeping")?);
    for row in rows {
        let Ok(claim) = serde_json::from_value::<CallClaim>(row.value.clone()) else {
            continue;
        };
        // An unsettled claim is never deleted: its claimant may be paused, and only the claimant
        // knows whether the call was sent.
        let settled = !matches!(claim.state, ClaimState::Claimed);
        if !settled || row.version > limit {
            continue;
        }
        batch = batch.delete(row.key.clone(), RowExpectation::Version(row.version));
    }
    let count = batch.writes.len();
    if count == 0 {
        return Ok(0);
    }
    match commit_with_retries(table, &grant.fence(batch), COMMIT_ATTEMPTS).await? {
        CommitOutcome::Committed(_) => Ok(count),
        CommitOutcome::Conflict(_) => Ok(0),
    }
}
