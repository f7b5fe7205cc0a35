//! Old settled claims are deleted from the ledger, and nothing else is.

use std::time::Duration;

use crate::sim::table::{FakeTable, FaultRates};
use control::housekeeping::{advance_retention_log, delete_settled_claims};
use control::lease::LeaseGrant;
use control::ledger::{CallLedger, ClaimKey, ClaimOutcome, ClaimTicket};
use domain::{ClaimState, LeaseEpoch, LeaseName};
use platform::{CommitOutcome, RowExpectation, TableStore, WriteBatch, keys};

const RETENTION: Duration = Duration::from_hours(24);

fn lease() -> LeaseName {
    "housekeeping".parse().expect("valid id")
}

/// Acquires the housekeeping lease with a new epoch row.
async fn take_lease(table: &FakeTable, epoch: u64) -> LeaseGrant {
    let token = format!("epoch.{epoch}").parse().expect("valid id");
    let key = keys::epoch_key(&lease());
    let value = serde_json::json!({ "epoch": epoch, "holder": "e0" });
    let batch = WriteBatch::new(token).put(key, RowExpectation::Any, value);
    let outcome = table.commit(&batch).await.expect("table is available");
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
        service: "licences".parse().expect("valid id"),
        customer: "sandaga-traders".parse().expect("valid id"),
        key_hash: name.to_owned(),
    };
    let attempt = format!("a.{name}").parse().expect("valid id");
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
        .map(|row| {
            row.key
                .rsplit('/')
                .next()
                .expect("key has a name")
                .to_owned()
        })
        .collect()
}

/// Settled claims are kept for the retention time, so that a retried call gets its response, and
/// deleted afterwards. An unsettled claim is never deleted: its claimant may only be suspended.
#[tokio::test(start_paused = true)]
async fn old_settled_claims_deleted() {
    let table = FakeTable::new(1, FaultRates::default());
    let ledger = CallLedger::new(table.clone(), "e0".parse().expect("valid id"));
    let old = claim(&ledger, "old").await;
    ledger
        .settle(old, receipt())
        .await
        .expect("write committed");
    let unsent = claim(&ledger, "unsent").await;
    ledger
        .settle(unsent, ClaimState::NotRun)
        .await
        .expect("write committed");
    let _unknown = claim(&ledger, "unknown").await;
    let grant = take_lease(&table, 1).await;
    advance_retention_log(&table, &grant, Duration::ZERO)
        .await
        .expect("write committed");
    let young = claim(&ledger, "young").await;
    ledger
        .settle(young, receipt())
        .await
        .expect("write committed");
    let half = advance_retention_log(&table, &grant, RETENTION / 2).await;
    let half = half.expect("write committed").expect("lease is held");
    assert_eq!(half.older_than(RETENTION), None);
    let full = advance_retention_log(&table, &grant, RETENTION / 2).await;
    let full = full.expect("write committed").expect("lease is held");
    let limit = full.older_than(RETENTION).expect("retention has passed");
    let rows = table.rows(keys::CLAIMS);
    let cleaned = delete_settled_claims(&table, &grant, &rows, limit).await;
    assert_eq!(cleaned.expect("write committed"), 2);
    assert_eq!(names(&table), ["unknown", "young"]);
}

/// Housekeeping is suspended during a sweep and another node takes over. When the first node
/// resumes it must delete nothing and add no time to the retention log.
#[tokio::test(start_paused = true)]
async fn paused_sweep_deletes_nothing() {
    let table = FakeTable::new(1, FaultRates::default());
    let ledger = CallLedger::new(table.clone(), "e0".parse().expect("valid id"));
    let old = claim(&ledger, "old").await;
    ledger
        .settle(old, receipt())
        .await
        .expect("write committed");
    let paused = take_lease(&table, 1).await;
    let rows = table.rows(keys::CLAIMS);
    let limit = rows[0].version;
    take_lease(&table, 2).await;
    let cleaned = delete_settled_claims(&table, &paused, &rows, limit).await;
    assert_eq!(cleaned.expect("store responded"), 0);
    let log = advance_retention_log(&table, &paused, RETENTION).await;
    assert_eq!(log.expect("store responded"), None);
    assert_eq!(names(&table), ["old"]);
}
