//! Payments and look-ups while the service or the store fails.

use std::net::TcpListener;

use http::StatusCode;
use serde_json::{Value, json};
use standin::faults::{FaultPlan, OutageMode};
use standin::stack::{CallerResponse, StackPlan, TestStack};

use crate::BINARY;

const PAY_PATH: &str = "/v1/services/licences/fees/pay";
const FIND_PATH: &str = "/v1/services/licences/licences/find";

fn payment() -> Value {
    json!({ "stall": "B-14", "trader": "A. Sow", "fee_xof": 15_000, "month": "2026-11" })
}

async fn pay(stack: &TestStack, entry: usize, key: &str) -> CallerResponse {
    let headers = [("idempotency-key", key)];
    stack.call(entry, PAY_PATH, &headers, &payment()).await
}

fn execution(response: &CallerResponse) -> String {
    let error = &response.json()["error"];
    error["execution"].as_str().unwrap_or("none").to_owned()
}

async fn executions(stack: &TestStack, key: &str) -> u64 {
    stack.executions().await.get(key).copied().unwrap_or(0)
}

/// The service is not running. The caller learns that the payment was not run, and a retry with the
/// same key runs it once the service is back.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_service_not_run() {
    let mut stack = StackPlan::new("service-stopped", BINARY).start().await;
    stack.services[0].kill();
    let refused = pay(&stack, 0, "stopped-1").await;
    assert_eq!(
        refused.status,
        StatusCode::BAD_GATEWAY,
        "{}",
        refused.text()
    );
    assert_eq!(execution(&refused), "not_run");
    assert!(refused.retry_after.is_some());
    stack.services[0].restart();
    let paid = pay(&stack, 1, "stopped-1").await;
    assert_eq!(paid.status, StatusCode::OK, "{}", paid.text());
    assert_eq!(executions(&stack, "stopped-1").await, 1);
}

/// One of two instances is not running. No call may fail because of it.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_instance_skipped() {
    let plan = StackPlan::new("instance-stopped", BINARY).services(2);
    let mut stack = plan.start().await;
    stack.services[1].kill();
    for number in 0..10 {
        let key = format!("instance-{number}");
        let paid = pay(&stack, number % 3, &key).await;
        assert_eq!(paid.status, StatusCode::OK, "{}", paid.text());
        assert_eq!(executions(&stack, &key).await, 1);
        let found = stack
            .call(number % 3, FIND_PATH, &[], &json!({ "stall": "B-14" }))
            .await;
        assert_eq!(found.status, StatusCode::OK, "{}", found.text());
    }
}

/// The service runs a payment and its response is lost. The entry node can't know the outcome and
/// must not send the payment again; on a retry with the same key it finds the payment by a look-up
/// at the service.
#[tokio::test(flavor = "multi_thread")]
async fn lost_response_found() {
    let stack = StackPlan::new("response-lost", BINARY).start().await;
    let fault = FaultPlan::builder().lose_next(1).build();
    stack.set_service_faults(&fault).await;
    let lost = pay(&stack, 0, "lost-1").await;
    assert_eq!(execution(&lost), "unknown", "{}", lost.text());
    assert!(lost.retry_after.is_some());
    for entry in 0..3 {
        let found = pay(&stack, entry, "lost-1").await;
        assert_eq!(found.status, StatusCode::OK, "{}", found.text());
        assert_eq!(found.json()["input"]["stall"], "B-14");
    }
    assert_eq!(executions(&stack, "lost-1").await, 1);
}

/// Guards against a client library that pays twice by its retries: what the service answered to a payment, also a 503,
/// is kept under the payment's key, and nothing is sent to the service again.
#[tokio::test(flavor = "multi_thread")]
async fn failure_kept_under_key() {
    let stack = StackPlan::new("failure-kept", BINARY).start().await;
    let fault = FaultPlan::builder().refuse_next(1).build();
    stack.set_service_faults(&fault).await;
    for entry in 0..3 {
        let failed = pay(&stack, entry, "failed-1").await;
        assert_eq!(failed.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(execution(&failed), "none", "{}", failed.text());
        assert!(failed.retry_after.is_none());
    }
    // The service would have run a payment that came again.
    assert_eq!(executions(&stack, "failed-1").await, 0);
}

/// The connection of a payment breaks and a look-up at the service finds no execution. That proves
/// nothing, since the payment may still be in transit, so the key stays claimed.
#[tokio::test(flavor = "multi_thread")]
async fn missing_execution_stays_unknown() {
    let stack = StackPlan::new("missing-execution", BINARY).start().await;
    let fault = FaultPlan::builder().drop_next(1).build();
    stack.set_service_faults(&fault).await;
    let lost = pay(&stack, 0, "dropped-1").await;
    assert_eq!(execution(&lost), "unknown", "{}", lost.text());
    let again = pay(&stack, 1, "dropped-1").await;
    assert_eq!(again.status, StatusCode::CONFLICT, "{}", again.text());
    assert_eq!(execution(&again), "unknown");
    assert!(again.retry_after.is_some());
    assert_eq!(
        executions(&stack, "dropped-1").await,
        0,
        "the payment was sent again"
    );
}

/// A look-up loses its connection. It is idempotent and retried, so the caller gets the response.
#[tokio::test(flavor = "multi_thread")]
async fn lookup_retried() {
    let stack = StackPlan::new("lookup-retried", BINARY).start().await;
    for fault in [
        FaultPlan::builder().drop_next(1).build(),
        FaultPlan::builder().lose_next(1).build(),
        FaultPlan::builder().refuse_next(1).build(),
    ] {
        stack.set_service_faults(&fault).await;
        let found = stack
            .call(0, FIND_PATH, &[], &json!({ "stall": "B-14" }))
            .await;
        assert_eq!(found.status, StatusCode::OK, "{}", found.text());
    }
}

/// The store is down. Without a claim, two entry nodes could both send a payment, so it is refused
/// at once as not run. Look-ups and completions are still served.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_refuses_payments() {
    let stack = StackPlan::new("store-down", BINARY).start().await;
    for outage in [OutageMode::Refuse, OutageMode::Hang] {
        let key = format!("store-{outage:?}");
        let fault = FaultPlan::builder().outage(outage).build();
        stack.set_table_faults(&fault).await;
        let refused = pay(&stack, 0, &key).await;
        assert_eq!(
            refused.status,
            StatusCode::SERVICE_UNAVAILABLE,
            "{}",
            refused.text()
        );
        assert_eq!(execution(&refused), "not_run");
        assert!(refused.retry_after.is_some());
        assert_eq!(executions(&stack, &key).await, 0);
        let found = stack
            .call(0, FIND_PATH, &[], &json!({ "stall": "B-14" }))
            .await;
        assert_eq!(found.status, StatusCode::OK, "{}", found.text());
        let response = stack.complete(0, "Which form?", 5).await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    }
    stack.set_table_faults(&FaultPlan::default()).await;
}

/// At the address of the service, a socket accepts connections and never responds. Its process may
/// have read the payment, so the outcome is `unknown` and not `not_run`.
#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_service_unknown() {
    let settings = json!({ "call_timeout": "500ms" });
    let plan = StackPlan::new("unresponsive-service", BINARY).settings("entry", settings);
    let mut stack = plan.start().await;
    let address = stack.services[0].address;
    stack.services[0].kill();
    let listener = TcpListener::bind(address).expect("the port is free");
    let lost = pay(&stack, 0, "unresponsive-1").await;
    assert_eq!(execution(&lost), "unknown", "{}", lost.text());
    drop(listener);
}
