//! Non-idempotent calls run at most once, whatever fails around them.

use std::time::Duration;

use entry::EntrySettings;
use http::StatusCode;

use crate::fake_entry::{CLERKS_KEY, FakeEntry, post};
use crate::fake_service::{FakeService, ServiceScript};
use crate::fake_table::FakeTable;

const PAY: &str = "/v1/services/licences/fees/pay";

fn entry_on(node: &str, table: &FakeTable, service: &FakeService) -> FakeEntry {
    let settings = EntrySettings::default();
    FakeEntry::start(node, settings, table.clone(), service.clone())
}

/// Three entries get the same payment at the same time, as when a trader's phone retries. One
/// sends it; the others must find the claim.
#[tokio::test]
async fn raced_once() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let entries = ["e0", "e1", "e2"].map(|node| entry_on(node, &table, &service));
    let headers = [("idempotency-key", "k1")];
    let calls = entries
        .iter()
        .cycle()
        .take(30)
        .map(|entry| entry.post(PAY, &headers, "{}"));
    let answers = futures::future::join_all(calls).await;
    assert_eq!(service.runs("traders", "k1"), 1);
    for answer in answers {
        let fine = answer.status == StatusCode::OK || answer.error("execution") == "unknown";
        assert!(fine, "{}", answer.text);
    }
    let last = entries[1].post(PAY, &headers, "{}").await;
    assert_eq!(last.text, "paid by traders", "the recorded answer");
    let other = entries[2].post(PAY, &headers, "{\"fee\": 2}").await;
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(service.sends(), 1);
}

/// A claimant is frozen after its claim took effect and before it sends, for as long as the trader
/// retries elsewhere. Nobody else may send for the key, and nobody may say that it was not run:
/// the claimant goes on later and pays, once.
#[tokio::test]
async fn claimant_frozen() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let frozen_table = table.held_back();
    let frozen = entry_on("e0", &frozen_table, &service);
    let other = entry_on("e1", &table, &service);
    let headers = [("idempotency-key", "k2")];
    let retries = async {
        while frozen_table.commits() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        for _ in 0..5 {
            let answer = other.post(PAY, &headers, "{}").await;
            assert_eq!(answer.status, StatusCode::CONFLICT, "{}", answer.text);
            assert_eq!(answer.error("execution"), "unknown", "{}", answer.text);
            assert!(answer.retry_after.is_some());
        }
        assert_eq!(service.sends(), 0, "nobody sent");
        frozen_table.release();
    };
    let (answer, ()) = tokio::join!(frozen.post(PAY, &headers, "{}"), retries);
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text);
    let again = other.post(PAY, &headers, "{}").await;
    assert_eq!(again.text, "paid by traders", "the recorded answer");
    assert_eq!(service.runs("traders", "k2"), 1);
}

/// The claimant wakes up after the deadline of its request. The trader was told that the outcome
/// is unknown and may stand at the town hall by now; a payment out of the blue helps nobody. It is
/// not sent, and the key is free again.
#[tokio::test]
async fn woken_late() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let frozen_table = table.held_back();
    let frozen = entry_on("e0", &frozen_table, &service);
    let headers = [("idempotency-key", "k3"), ("x-request-timeout", "0.1")];
    let late = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        frozen_table.release();
    };
    let (answer, ()) = tokio::join!(frozen.post(PAY, &headers, "{}"), late);
    assert_eq!(answer.error("execution"), "not_run", "{}", answer.text);
    assert_eq!(service.sends(), 0);
    let other = entry_on("e1", &table, &service);
    let paid = other.post(PAY, &[("idempotency-key", "k3")], "{}").await;
    assert_eq!(paid.status, StatusCode::OK, "{}", paid.text);
    assert_eq!(service.runs("traders", "k3"), 1);
}

/// The answer of a payment is lost. It is never sent again; the service's books settle it for good,
/// so that later requests need them no more.
#[tokio::test]
async fn answer_lost() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let settings = EntrySettings::builder().call_timeout_ms(50).build();
    let entry = FakeEntry::start("e0", settings, table.clone(), service.clone());
    service.script(&[ServiceScript::LoseAnswer]);
    let headers = [("idempotency-key", "k4")];
    let lost = entry.post(PAY, &headers, "{}").await;
    assert_eq!(lost.error("execution"), "unknown", "{}", lost.text);
    let found = entry.post(PAY, &headers, "{}").await;
    assert_eq!(found.text, "\"found\"");
    let commits = table.commits();
    for _ in 0..400 {
        if table.commits() > commits {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let lookups = service.lookups();
    let settled = entry.post(PAY, &headers, "{}").await;
    assert_eq!(settled.text, "\"found\"");
    assert_eq!(service.lookups(), lookups, "the books are needed no more");
    assert_eq!(service.sends(), 1);
}

/// A payment breaks on its way and the service's books show nothing. The call may still be under
/// way, so it stays unknown and is not sent again.
#[tokio::test]
async fn broken_unrun() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let entry = entry_on("e0", &table, &service);
    service.script(&[ServiceScript::BreakUnrun]);
    let headers = [("idempotency-key", "k5")];
    for _ in 0..4 {
        let answer = entry.post(PAY, &headers, "{}").await;
        assert_eq!(answer.error("execution"), "unknown", "{}", answer.text);
    }
    assert_eq!(service.sends(), 1);
}

/// The service can't be connected to: no byte left, so the trader is told that nothing was run and
/// the key pays later.
#[tokio::test]
async fn claim_withdrawn() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let entry = entry_on("e0", &table, &service);
    service.script(&[ServiceScript::Unreached]);
    let headers = [("idempotency-key", "k6")];
    let refused = entry.post(PAY, &headers, "{}").await;
    assert_eq!(refused.error("execution"), "not_run", "{}", refused.text);
    let paid = entry.post(PAY, &headers, "{}").await;
    assert_eq!(paid.status, StatusCode::OK, "{}", paid.text);
    assert_eq!(service.runs("traders", "k6"), 1);
}

/// The store is down. Nothing can be claimed, so nothing is sent.
#[tokio::test]
async fn store_down() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let entry = entry_on("e0", &table, &service);
    table.set_down(true);
    let headers = [("idempotency-key", "k7")];
    let refused = entry.post(PAY, &headers, "{}").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.error("execution"), "not_run");
    assert!(refused.retry_after.is_some());
    assert_eq!(service.sends(), 0);
}

/// Two customers use the same key. Each pays for itself, and when the answer of one is lost it must
/// not be told of the other's payment.
#[tokio::test]
async fn keys_apart() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let entry = entry_on("e0", &table, &service);
    let headers = [("idempotency-key", "k8")];
    let first = entry.post(PAY, &headers, "{}").await;
    assert_eq!(first.text, "paid by traders");
    service.script(&[ServiceScript::BreakUnrun]);
    for _ in 0..2 {
        let answer = entry.send(post(CLERKS_KEY, PAY, &headers, "{}")).await;
        assert_eq!(answer.error("execution"), "unknown", "{}", answer.text);
    }
    assert_eq!(service.runs("clerks", "k8"), 0);
}
