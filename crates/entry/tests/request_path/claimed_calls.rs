//! Non-idempotent calls are executed at most once, whatever fails.

use std::time::Duration;

use entry::EntrySettings;
use http::StatusCode;

use crate::fake_entry::{CLERKS_KEY, FakeEntry, post};
use crate::fake_service::{FakeService, ServiceBehavior};
use crate::fake_table::FakeTable;

const PAY: &str = "/v1/services/licences/fees/pay";

fn start_entry(node: &str, table: &FakeTable, service: &FakeService) -> FakeEntry {
    let settings = EntrySettings::default();
    FakeEntry::start(node, settings, table.clone(), service.clone())
}

/// Three entries receive the same payment concurrently, as when a client retries. One sends it; the
/// others must find the claim.
#[tokio::test]
async fn concurrent_entries() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let entries = ["e0", "e1", "e2"].map(|node| start_entry(node, &table, &service));
    let headers = [("idempotency-key", "k1")];
    let calls = entries
        .iter()
        .cycle()
        .take(30)
        .map(|entry| entry.post(PAY, &headers, "{}"));
    let responses = futures::future::join_all(calls).await;
    assert_eq!(service.execution_count("traders", "k1"), 1);
    for response in responses {
        let is_expected =
            response.status == StatusCode::OK || response.error("execution") == "unknown";
        assert!(is_expected, "{}", response.text);
    }
    let last = entries[1].post(PAY, &headers, "{}").await;
    assert_eq!(last.text, "paid by traders", "the recorded response");
    let other = entries[2].post(PAY, &headers, "{\"fee\": 2}").await;
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(service.send_count(), 1);
}

/// A claimant is suspended between its claim and its send while the client retries at another
/// entry. The other entry must neither send the call nor report it as not executed, since the
/// claimant still sends it after it resumes.
#[tokio::test]
async fn suspended_claimant() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let withholding_table = table.withholding();
    let suspended = start_entry("e0", &withholding_table, &service);
    let other = start_entry("e1", &table, &service);
    let headers = [("idempotency-key", "k2")];
    let retries = async {
        while withholding_table.commits() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        for _ in 0..5 {
            let response = other.post(PAY, &headers, "{}").await;
            assert_eq!(response.status, StatusCode::CONFLICT, "{}", response.text);
            assert_eq!(response.error("execution"), "unknown", "{}", response.text);
            assert!(response.retry_after.is_some());
        }
        assert_eq!(
            service.send_count(),
            0,
            "the call was sent while its claimant was suspended"
        );
        withholding_table.release();
    };
    let (response, ()) = tokio::join!(suspended.post(PAY, &headers, "{}"), retries);
    assert_eq!(response.status, StatusCode::OK, "{}", response.text);
    let again = other.post(PAY, &headers, "{}").await;
    assert_eq!(again.text, "paid by traders", "the recorded response");
    assert_eq!(service.execution_count("traders", "k2"), 1);
}

/// A claimant resumes after the deadline of its request. The client no longer expects the payment,
/// so it must not be sent, and the key must be available again.
#[tokio::test]
async fn expired_claimant() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let withholding_table = table.withholding();
    let suspended = start_entry("e0", &withholding_table, &service);
    let headers = [("idempotency-key", "k3"), ("x-request-timeout", "0.1")];
    let late_release = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        withholding_table.release();
    };
    let (response, ()) = tokio::join!(suspended.post(PAY, &headers, "{}"), late_release);
    assert_eq!(response.error("execution"), "not_run", "{}", response.text);
    assert_eq!(service.send_count(), 0);
    let other = start_entry("e1", &table, &service);
    let paid = other.post(PAY, &[("idempotency-key", "k3")], "{}").await;
    assert_eq!(paid.status, StatusCode::OK, "{}", paid.text);
    assert_eq!(service.execution_count("traders", "k3"), 1);
}

/// The response of a payment is lost. The payment must not be sent again. A lookup at the service
/// settles the claim, so that later requests need no lookup.
#[tokio::test]
async fn lost_response() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let settings = EntrySettings::builder().call_timeout_ms(50).build();
    let entry = FakeEntry::start("e0", settings, table.clone(), service.clone());
    service.script(&[ServiceBehavior::LoseResponse]);
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
    let lookup_count = service.lookup_count();
    let settled = entry.post(PAY, &headers, "{}").await;
    assert_eq!(settled.text, "\"found\"");
    assert_eq!(
        service.lookup_count(),
        lookup_count,
        "a settled claim needs no lookup"
    );
    assert_eq!(service.send_count(), 1);
}

/// Guards against a claim that was settled with a status which is none of an answer, as earlier releases did: its client
/// would take it for the payment's outcome, which the service knows.
#[tokio::test]
async fn recorded_odd_status() {
    for status in [101, 600, 999] {
        let (table, service) = (FakeTable::default(), FakeService::default());
        let entry = start_entry("e0", &table, &service);
        let status = StatusCode::from_u16(status).expect("a status");
        service.script(&[ServiceBehavior::Responds(status)]);
        let headers = [("idempotency-key", "k6")];
        entry.post(PAY, &headers, "{}").await;
        let repeated = entry.post(PAY, &headers, "{}").await;
        assert_eq!(repeated.status, StatusCode::OK, "{status}");
        assert_eq!(repeated.text, "\"found\"", "{status}");
        assert_eq!(service.send_count(), 1, "{status}");
    }
}

/// The connection breaks and the service shows no execution. The call may still be on its way, so
/// its outcome remains unknown and it must not be sent again.
#[tokio::test]
async fn broken_before_execution() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let entry = start_entry("e0", &table, &service);
    service.script(&[ServiceBehavior::BreakBeforeExecution]);
    let headers = [("idempotency-key", "k5")];
    for _ in 0..4 {
        let response = entry.post(PAY, &headers, "{}").await;
        assert_eq!(response.error("execution"), "unknown", "{}", response.text);
    }
    assert_eq!(service.send_count(), 1);
}

/// The service refuses connections, so nothing was sent. The call must be reported as not executed,
/// and the key must be available for a later payment.
#[tokio::test]
async fn unreachable_service() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let entry = start_entry("e0", &table, &service);
    service.script(&[ServiceBehavior::Unreachable]);
    let headers = [("idempotency-key", "k6")];
    let refused = entry.post(PAY, &headers, "{}").await;
    assert_eq!(refused.error("execution"), "not_run", "{}", refused.text);
    let paid = entry.post(PAY, &headers, "{}").await;
    assert_eq!(paid.status, StatusCode::OK, "{}", paid.text);
    assert_eq!(service.execution_count("traders", "k6"), 1);
}

/// The store is unavailable. Nothing can be claimed, so nothing may be sent.
#[tokio::test]
async fn unavailable_store() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let entry = start_entry("e0", &table, &service);
    table.set_unavailable(true);
    let headers = [("idempotency-key", "k7")];
    let refused = entry.post(PAY, &headers, "{}").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.error("execution"), "not_run");
    assert!(refused.retry_after.is_some());
    assert_eq!(service.send_count(), 0);
}

/// Two customers use the same key. Each pays separately, and if the response of one is lost, it
/// must not be told of the other's payment.
#[tokio::test]
async fn keys_of_customers() {
    let (table, service) = (FakeTable::default(), FakeService::default());
    let entry = start_entry("e0", &table, &service);
    let headers = [("idempotency-key", "k8")];
    let first = entry.post(PAY, &headers, "{}").await;
    assert_eq!(first.text, "paid by traders");
    service.script(&[ServiceBehavior::BreakBeforeExecution]);
    for _ in 0..2 {
        let response = entry.send(post(CLERKS_KEY, PAY, &headers, "{}")).await;
        assert_eq!(response.error("execution"), "unknown", "{}", response.text);
    }
    assert_eq!(service.execution_count("clerks", "k8"), 0);
}
