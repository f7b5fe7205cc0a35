//! Old settled claims leave the ledger, and nothing else does.

use std::time::Duration;

use crate::sim::table::{FakeTable, FaultRates};
use control::housekeeping::{advance_retention_log, delete_settled_claims};
use control::lease::LeaseGrant;
use control::ledger::{CallLedger, ClaimKey, ClaimOutcome, ClaimTicket};
use domain::{ClaimState, LeaseEpoch, LeaseName};
use platform::{CommitOutcome, RowExpectation, TableStore, WriteBatch, keys};

const RETENTION: Duration = Duration::from_hours(24);

fn lease() -> LeaseName {
    "housekeeping".parse().expect("an id")
}

/// A new holder of the lease, with its own epoch row.
async fn take_lease(table: &FakeTable, epoch: u64) -> LeaseGrant {
    let token = format!("epoch.{epoch}").parse().expect("an id");
    let key = keys::epoch_key(&lease());
    let value = serde_json::json!({ "epoch": epoch, "holder": "e0" });
    let batch = WriteBatch::new(token).put(key, RowExpectation::Any, value);
    let outcome = table.commit(&batch).await.expect("the table is well");
    let CommitOutcome::Committed(epoch_version) = outcome else {
        panic!("{outcome:?}");
    };
    LeaseGrant {
        name: lease(),
        epoch: LeaseEpoch(epoch),
        epoch_version,
        valid_until: std::time::Instant::now() + RETENTION,
    }
}

async fn claim(ledger: &CallLedger<FakeTable>, name: &str) -> ClaimTicket {
    let key = ClaimKey {
        service: "licences".parse().expect("an id"),
        customer: "sandaga-traders".parse().expect("an id"),
        key_hash: name.to_owned(),
    };
    let attempt = format!("a.{name}").parse().expect("an id");
    match ledger.claim(key, attempt, "body".to_owned()).await {
        Ok(ClaimOutcome::Granted(ticket)) => ticket,
        other => panic!("{other:?}"),
    }
}

fn receipt() -> ClaimState {
    ClaimState::Answered {
        status: 200,
        content_type: "application/json".to_owned(),
        body: "{}".to_owned(),
    }
}

fn names(table: &FakeTable) -> Vec<String> {
    let rows = table.rows(keys::CLAIMS);
    rows.iter()
        .map(|row| row.key.rsplit('/').next().expect("a name").to_owned())
        .collect()
}

/// A trader's receipt is kept for the agreed time, so that a repeated payment gets it. After that
/// its row goes. A payment that nobody knows the outcome of keeps its row for good: its claimant
/// may only be frozen.
#[tokio::test(start_paused = true)]
async fn old_settled_claims_deleted() {
    let table = FakeTable::new(1, FaultRates::default());
    let ledger = CallLedger::new(table.clone(), "e0".parse().expect("an id"));
    let old = claim(&ledger, "old").await;
    ledger.settle(old, receipt()).await.expect("written");
    let unsent = claim(&ledger, "unsent").await;
    ledger
        .settle(unsent, ClaimState::NotRun)
        .await
        .expect("written");
    let _unknown = claim(&ledger, "unknown").await;
    let grant = take_lease(&table, 1).await;
    advance_retention_log(&table, &grant, Duration::ZERO)
        .await
        .expect("written");
    let young = claim(&ledger, "young").await;
    ledger.settle(young, receipt()).await.expect("written");
    let half = advance_retention_log(&table, &grant, RETENTION / 2).await;
    let half = half.expect("written").expect("the lease is held");
    assert_eq!(half.older_than(RETENTION), None);
    let whole = advance_retention_log(&table, &grant, RETENTION / 2).await;
    let whole = whole.expect("written").expect("the lease is held");
    let limit = whole.older_than(RETENTION).expect("old enough");
    let rows = table.rows(keys::CLAIMS);
    let cleaned = delete_settled_claims(&table, &grant, &rows, limit).await;
    assert_eq!(cleaned.expect("written"), 2);
    assert_eq!(names(&table), ["unknown", "young"]);
}

/// Housekeeping is frozen in the middle of a sweep, and another node takes over. When the frozen
/// one wakes up it deletes nothing and counts no time.
#[tokio::test(start_paused = true)]
async fn paused_sweep_deletes_nothing() {
    let table = FakeTable::new(1, FaultRates::default());
    let ledger = CallLedger::new(table.clone(), "e0".parse().expect("an id"));
    let old = claim(&ledger, "old").await;
    ledger.settle(old, receipt()).await.expect("written");
    let paused = take_lease(&table, 1).await;
    let rows = table.rows(keys::CLAIMS);
    let limit = rows[0].version;
    take_lease(&table, 2).await;
    let cleaned = delete_settled_claims(&table, &paused, &rows, limit).await;
    assert_eq!(cleaned.expect("answered"), 0);
    let log = advance_retention_log(&table, &paused, RETENTION).await;
    assert_eq!(log.expect("answered"), None);
    assert_eq!(names(&table), ["old"]);
}
