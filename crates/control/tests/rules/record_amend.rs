//! Amendments against an in-memory table: races, lost responses and schema versions.

use crate::fake::{CommitFault, FakeTable};
use control::amend::{AmendError, StoredRecord};
use control::history::{AmendmentStatus, amendment_status, config_head, get_record};
use control::{AmendOutcome, Expect, RecordAmendment, amend_record};
use domain::ConfigRevision;
use domain::record::RecordKind;
use serde_json::{Value, json};
use wire::record::RecordEnvelope;

fn amendment(name: &str, schema: u32, spec: Value, token: &str) -> RecordAmendment {
    let kind = RecordKind::Customer;
    RecordAmendment {
        kind,
        name: name.to_owned(),
        record: Some(RecordEnvelope {
            schema,
            kind,
            name: name.to_owned(),
            spec,
        }),
        expect: Expect::Any,
        operator: token.to_owned(),
        token: token.parse().expect("valid token"),
    }
}

fn share(share: u32) -> Value {
    json!({ "key_hashes": [], "grants": [], "share": share })
}

async fn stored(table: &FakeTable, name: &str) -> Option<StoredRecord> {
    get_record(table, RecordKind::Customer, name)
        .await
        .expect("row is readable")
}

// Two operators amend the same record concurrently. Exactly one is accepted; the other must get a
// conflict with the accepted change, instead of believing that their own record is in force.
#[tokio::test]
async fn concurrent_amendments() {
    for round in 0..50 {
        let table = FakeTable::default();
        let first = amendment("c", 2, share(1), &format!("a{round}"));
        let second = amendment("c", 2, share(2), &format!("b{round}"));
        let (first, second) =
            tokio::join!(amend_record(&table, &first), amend_record(&table, &second));
        let outcomes = [
            first.expect("settled outcome"),
            second.expect("settled outcome"),
        ];
        let accepted = outcomes
            .iter()
            .filter(|outcome| matches!(outcome, AmendOutcome::Accepted(_)))
            .count();
        assert_eq!(accepted, 1, "{outcomes:?}");
        for outcome in outcomes {
            let AmendOutcome::Conflict(conflict) = outcome else {
                continue;
            };
            let change = conflict.change.expect("change is in the log");
            assert_eq!(change.record, conflict.current.map(|stored| stored.record));
        }
        assert_eq!(config_head(&table).await.expect("head is readable").0, 1);
    }
}

#[tokio::test]
async fn other_records_retried() {
    let table = FakeTable::default();
    let tasks: Vec<_> = (0..16)
        .map(|number| {
            let table = table.clone();
            tokio::spawn(async move {
                let amendment =
                    amendment(&format!("c{number}"), 2, share(1), &format!("t{number}"));
                amend_record(&table, &amendment).await
            })
        })
        .collect();
    for task in tasks {
        let outcome = task
            .await
            .expect("task did not panic")
            .expect("settled outcome");
        assert!(matches!(outcome, AmendOutcome::Accepted(_)), "{outcome:?}");
    }
    assert_eq!(config_head(&table).await.expect("head is readable").0, 16);
}

#[tokio::test]
async fn expectation_checked() {
    let table = FakeTable::default();
    let mut next = amendment("c", 2, share(1), "t1");
    next.expect = Expect::Revision(ConfigRevision(7));
    let outcome = amend_record(&table, &next).await.expect("settled outcome");
    assert!(matches!(outcome, AmendOutcome::Conflict(_)));
    next.expect = Expect::Absent;
    let outcome = amend_record(&table, &next).await.expect("settled outcome");
    assert_eq!(outcome, AmendOutcome::Accepted(ConfigRevision(1)));
    let mut again = amendment("c", 2, share(2), "t2");
    again.expect = Expect::Absent;
    let outcome = amend_record(&table, &again).await.expect("settled outcome");
    assert!(matches!(outcome, AmendOutcome::Conflict(_)));
    again.expect = Expect::Revision(ConfigRevision(1));
    let outcome = amend_record(&table, &again).await.expect("settled outcome");
    assert_eq!(outcome, AmendOutcome::Accepted(ConfigRevision(2)));
    assert_eq!(
        stored(&table, "c").await.expect("record exists").revision.0,
        2
    );
}

// The table applies an amendment and its response is lost. The change log must identify it as the
// operator's own; otherwise a retry would conflict with itself.
#[tokio::test(start_paused = true)]
async fn lost_response_settled() {
    for faults in [
        vec![CommitFault::LoseResponse],
        vec![CommitFault::LoseWrite, CommitFault::LoseResponse],
        vec![CommitFault::LoseWrite, CommitFault::LoseWrite],
        vec![CommitFault::LoseResponse, CommitFault::LoseWrite],
    ] {
        let table = FakeTable::default();
        table.set_faults(&faults);
        let outcome = amend_record(&table, &amendment("c", 2, share(3), "t")).await;
        let outcome = outcome.expect("settled outcome");
        assert_eq!(outcome, AmendOutcome::Accepted(ConfigRevision(1)));
        assert_eq!(config_head(&table).await.expect("head is readable").0, 1);
    }
}

// The response to a delete is lost, and another record is amended before the retry. The head has
// moved and the record is gone, so only the change log shows that the delete was accepted;
// otherwise the client would report a conflict.
#[tokio::test(start_paused = true)]
async fn lost_delete_settled() {
    let table = FakeTable::default();
    let first = amend_record(&table, &amendment("c", 2, share(1), "t1")).await;
    assert!(matches!(first, Ok(AmendOutcome::Accepted(_))));
    table.set_faults(&[CommitFault::LoseResponse]);
    let mut delete = amendment("c", 2, share(1), "t2");
    delete.record = None;
    let other = async {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        amend_record(&table, &amendment("d", 2, share(1), "t3")).await
    };
    let (deleted, other) = tokio::join!(amend_record(&table, &delete), other);
    let deleted = deleted.expect("settled outcome");
    assert_eq!(deleted, AmendOutcome::Accepted(ConfigRevision(2)));
    let other = other.expect("settled outcome");
    assert_eq!(other, AmendOutcome::Accepted(ConfigRevision(3)));
}

// All responses are lost and the amendment takes effect after the client gave up. The client must
// report the outcome as unknown, with the revision and token that determine it later.
#[tokio::test(start_paused = true)]
async fn late_write_accepted() {
    let table = FakeTable::default();
    table.set_faults(&[CommitFault::Delay; 5]);
    let outcome = amend_record(&table, &amendment("c", 2, share(3), "t")).await;
    let Err(AmendError::Unsettled {
        revision, token, ..
    }) = outcome
    else {
        panic!("{outcome:?}");
    };
    let status = |table: FakeTable| async move {
        amendment_status(&table, revision, token.as_str())
            .await
            .expect("row is readable")
    };
    assert_eq!(
        status.clone()(table.clone()).await,
        AmendmentStatus::Pending
    );
    table.deliver();
    assert_eq!(status(table.clone()).await, AmendmentStatus::Accepted);
    assert_eq!(config_head(&table).await.expect("head is readable").0, 1);
}

// A delayed amendment arrives after another operator's was accepted for the same revision. It must
// not take effect.
#[tokio::test(start_paused = true)]
async fn late_write_refused() {
    let table = FakeTable::default();
    table.set_faults(&[CommitFault::Delay; 5]);
    let late = amend_record(&table, &amendment("c", 2, share(3), "late")).await;
    let Err(AmendError::Unsettled {
        revision, token, ..
    }) = late
    else {
        panic!("{late:?}");
    };
    let other = amend_record(&table, &amendment("c", 2, share(4), "other")).await;
    assert_eq!(
        other.expect("settled outcome"),
        AmendOutcome::Accepted(ConfigRevision(1))
    );
    table.deliver();
    let record = stored(&table, "c").await.expect("record exists").record;
    assert_eq!(record.spec["share"], 4);
    let status = amendment_status(&table, revision, token.as_str()).await;
    assert_eq!(
        status.expect("row is readable"),
        AmendmentStatus::NotAccepted
    );
}

// A client that only knows schema version 1 reads a customer without its share and writes it back.
// Accepting it would silently reset a large customer's share to the default.
#[tokio::test]
async fn old_schema_refused() {
    let table = FakeTable::default();
    let with_share = amend_record(&table, &amendment("c", 2, share(4), "t1")).await;
    assert!(matches!(with_share, Ok(AmendOutcome::Accepted(_))));
    let without_share = json!({ "key_hashes": [], "models": [] });
    let outcome = amend_record(&table, &amendment("c", 1, without_share.clone(), "t2")).await;
    let Ok(AmendOutcome::Refused(findings)) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(findings.as_slice()[0].path, "spec.share");
    let default_share = amend_record(&table, &amendment("c", 2, share(1), "t3")).await;
    assert!(matches!(default_share, Ok(AmendOutcome::Accepted(_))));
    let outcome = amend_record(&table, &amendment("c", 1, without_share, "t4")).await;
    assert!(
        matches!(outcome, Ok(AmendOutcome::Accepted(_))),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn unknown_schema_refused() {
    let table = FakeTable::default();
    let outcome = amend_record(&table, &amendment("c", 3, json!({}), "t1")).await;
    assert!(matches!(outcome, Ok(AmendOutcome::Refused(_))));
    assert_eq!(config_head(&table).await.expect("head is readable").0, 0);
}
