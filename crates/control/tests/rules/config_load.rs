//! Loading a configuration that is far ahead: change log, snapshot, scan and compaction.

use crate::fake::{FakeObjects, FakeTable};
use control::config::load::load_update;
use control::config::snapshot::publish_snapshot;
use control::config::{ConfigSnapshot, ConfigState};
use control::history::config_head;
use control::{AmendOutcome, Expect, RecordAmendment, amend_record};
use domain::ConfigRevision;
use domain::record::RecordKind;
use platform::keys;
use serde_json::json;
use wire::record::RecordEnvelope;

async fn amend(table: &FakeTable, number: u64) {
    let name = format!("d{}", number % 7);
    let kind = RecordKind::Drain;
    let amendment = RecordAmendment {
        kind,
        name: name.clone(),
        record: Some(RecordEnvelope {
            schema: 2,
            kind,
            name,
            spec: json!({ "hosts": [format!("h{number}")] }),
        }),
        expect: Expect::Any,
        operator: "test".to_owned(),
        token: format!("t{number}").parse().expect("valid token"),
    };
    let outcome = amend_record(table, &amendment)
        .await
        .expect("settled outcome");
    assert!(matches!(outcome, AmendOutcome::Accepted(_)));
}

async fn catch_up(table: &FakeTable, objects: &FakeObjects, state: &mut ConfigState) {
    let head = config_head(table).await.expect("head is readable");
    let update = load_update(table, objects, state.revision(), head)
        .await
        .expect("update is readable");
    if let Some(snapshot) = update.snapshot {
        state.apply_snapshot(snapshot);
    }
    for change in update.changes {
        state.apply_change(change);
    }
    assert_eq!(state.revision(), head);
}

async fn filled_table(changes: u64) -> (FakeTable, ConfigSnapshot) {
    let table = FakeTable::default();
    for number in 1..=changes {
        amend(&table, number).await;
    }
    let mut state = ConfigState::default();
    catch_up(&table, &FakeObjects::default(), &mut state).await;
    (table, state.snapshot())
}

#[tokio::test]
async fn reads_only_missing_changes() {
    let (table, _) = filled_table(20).await;
    let objects = FakeObjects::default();
    let mut state = ConfigState::default();
    catch_up(&table, &objects, &mut state).await;
    let scans = table.scans();
    amend(&table, 21).await;
    amend(&table, 22).await;
    let reads = table.reads();
    catch_up(&table, &objects, &mut state).await;
    assert_eq!(table.reads() - reads, 3, "the head and two changes");
    assert_eq!(table.scans(), scans);
}

// Guards against a node that can't catch up after its part of the change log was compacted: it
// reads the snapshot and the changes after it.
#[tokio::test]
async fn compacted_log_uses_snapshot() {
    let (table, _) = filled_table(5).await;
    let objects = FakeObjects::default();
    let mut stale = ConfigState::default();
    catch_up(&table, &objects, &mut stale).await;
    for number in 6..=300 {
        amend(&table, number).await;
    }
    let mut fresh = ConfigState::default();
    catch_up(&table, &objects, &mut fresh).await;
    publish_snapshot(&table, &objects, &fresh.snapshot(), 20, "e1")
        .await
        .expect("snapshot published");
    assert_eq!(table.keys(keys::CONFIG_LOG).len(), 20);
    for number in 301..=310 {
        amend(&table, number).await;
    }
    catch_up(&table, &objects, &mut fresh).await;
    let scans = table.scans();
    catch_up(&table, &objects, &mut stale).await;
    assert_eq!(table.scans(), scans, "the snapshot made a scan unnecessary");
    assert_eq!(stale.snapshot(), fresh.snapshot());
}

// Guards against a node that can't start while the snapshot is missing or the object store is down:
// it reads all records from the table instead.
#[tokio::test]
async fn missing_snapshot_falls_back_to_scan() {
    let (table, expected) = filled_table(120).await;
    let objects = FakeObjects::default();
    publish_snapshot(&table, &objects, &expected, 10, "e1")
        .await
        .expect("snapshot published");
    objects.clear();
    let mut state = ConfigState::default();
    catch_up(&table, &objects, &mut state).await;
    assert_eq!(state.snapshot(), expected);
}

#[tokio::test]
async fn concurrent_snapshots() {
    let (table, expected) = filled_table(150).await;
    let objects = FakeObjects::default();
    let (first, second) = tokio::join!(
        publish_snapshot(&table, &objects, &expected, 30, "e1"),
        publish_snapshot(&table, &objects, &expected, 30, "e2")
    );
    assert!(first.is_ok() && second.is_ok());
    assert!(table.keys(keys::CONFIG_LOG).len() >= 30);
    let mut state = ConfigState::default();
    catch_up(&table, &objects, &mut state).await;
    assert_eq!(state.snapshot(), expected);
    assert_eq!(state.revision(), ConfigRevision(150));
}

// Amendments are made while a starting node scans all records. Guards against a scan that contains
// a record newer than its head, which would miss other changes for good.
#[tokio::test]
async fn scan_is_consistent() {
    let (table, _) = filled_table(100).await;
    let objects = FakeObjects::default();
    for round in 0..20 {
        let head = config_head(&table).await.expect("head is readable");
        let load = load_update(&table, &objects, ConfigRevision(0), head);
        let writes = async {
            for step in 0..round % 3 {
                amend(&table, 1_000 + round * 10 + step).await;
            }
        };
        let (update, ()) = tokio::join!(load, writes);
        let Ok(update) = update else { continue };
        let snapshot = update.snapshot.expect("update has a snapshot");
        for record in &snapshot.records {
            assert!(record.revision <= snapshot.revision, "{record:?}");
        }
    }
}
