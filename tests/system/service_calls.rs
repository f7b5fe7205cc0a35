//! Payments and look-ups while the service, the store or an entry fails.

use std::net::TcpListener;

use http::StatusCode;
use serde_json::{Value, json};
use standin::faults::{FaultPlan, OutageMode};
use standin::stack::{CallerAnswer, StackPlan, TestStack};

use crate::PRODUCT;

const PAY: &str = "/v1/services/licences/fees/pay";
const FIND: &str = "/v1/services/licences/licences/find";

fn payment() -> Value {
    json!({ "stall": "B-14", "trader": "A. Sow", "fee_xof": 15_000, "month": "2026-11" })
}

async fn pay(stack: &TestStack, entry: usize, key: &str) -> CallerAnswer {
    let headers = [("idempotency-key", key)];
    stack.call(entry, PAY, &headers, &payment()).await
}

fn execution(answer: &CallerAnswer) -> String {
    let error = &answer.json()["error"];
    error["execution"].as_str().unwrap_or("none").to_owned()
}

async fn executions(stack: &TestStack, key: &str) -> u64 {
    stack.executions().await.get(key).copied().unwrap_or(0)
}

/// The payments service is not running. The trader is told that nothing was run, and the same key
/// pays once the service is back.
#[tokio::test(flavor = "multi_thread")]
async fn service_gone() {
    let mut stack = StackPlan::new("service-gone", PRODUCT).start().await;
    stack.services[0].kill();
    let refused = pay(&stack, 0, "gone-1").await;
    assert_eq!(
        refused.status,
        StatusCode::BAD_GATEWAY,
        "{}",
        refused.text()
    );
    assert_eq!(execution(&refused), "not_run");
    assert!(refused.retry_after.is_some());
    stack.services[0].restart();
    let paid = pay(&stack, 1, "gone-1").await;
    assert_eq!(paid.status, StatusCode::OK, "{}", paid.text());
    assert_eq!(executions(&stack, "gone-1").await, 1);
}

/// One of two instances is not running. Traders must not notice.
#[tokio::test(flavor = "multi_thread")]
async fn instance_gone() {
    let plan = StackPlan::new("instance-gone", PRODUCT).services(2);
    let mut stack = plan.start().await;
    stack.services[1].kill();
    for number in 0..10 {
        let key = format!("instance-{number}");
        let paid = pay(&stack, number % 3, &key).await;
        assert_eq!(paid.status, StatusCode::OK, "{}", paid.text());
        assert_eq!(executions(&stack, &key).await, 1);
        let found = stack
            .call(number % 3, FIND, &[], &json!({ "stall": "B-14" }))
            .await;
        assert_eq!(found.status, StatusCode::OK, "{}", found.text());
    }
}

/// The service takes a payment and its answer is lost. The entry can't know and must not send
/// again; asked again with the same key it finds the payment in the service's books.
#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let stack = StackPlan::new("answer-lost", PRODUCT).start().await;
    let fault = FaultPlan::builder().lose_next(1).build();
    stack.service_faults(&fault).await;
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

/// A payment's connection breaks and the service's books show nothing of it. That proves nothing,
/// since the payment may still be under way, so the key stays taken.
#[tokio::test(flavor = "multi_thread")]
async fn never_arrived() {
    let stack = StackPlan::new("never-arrived", PRODUCT).start().await;
    let fault = FaultPlan::builder().drop_next(1).build();
    stack.service_faults(&fault).await;
    let lost = pay(&stack, 0, "dropped-1").await;
    assert_eq!(execution(&lost), "unknown", "{}", lost.text());
    let again = pay(&stack, 1, "dropped-1").await;
    assert_eq!(again.status, StatusCode::CONFLICT, "{}", again.text());
    assert_eq!(execution(&again), "unknown");
    assert!(again.retry_after.is_some());
    assert_eq!(executions(&stack, "dropped-1").await, 0, "never sent again");
}

/// A clerk's look-up loses its connection. It may be repeated, so the clerk gets the answer.
#[tokio::test(flavor = "multi_thread")]
async fn lookup_repeated() {
    let stack = StackPlan::new("lookup-repeated", PRODUCT).start().await;
    for fault in [
        FaultPlan::builder().drop_next(1).build(),
        FaultPlan::builder().lose_next(1).build(),
        FaultPlan::builder().refuse_next(1).build(),
    ] {
        stack.service_faults(&fault).await;
        let found = stack.call(0, FIND, &[], &json!({ "stall": "B-14" })).await;
        assert_eq!(found.status, StatusCode::OK, "{}", found.text());
    }
}

/// The platform's store is down. Without a claim a payment could be sent twice by two entries, so
/// it is refused at once, truthfully as not run; look-ups and questions go on.
#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let stack = StackPlan::new("store-down", PRODUCT).start().await;
    for outage in [OutageMode::Refuse, OutageMode::Hang] {
        let key = format!("store-{outage:?}");
        let fault = FaultPlan::builder().outage(outage).build();
        stack.table_faults(&fault).await;
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
        let found = stack.call(0, FIND, &[], &json!({ "stall": "B-14" })).await;
        assert_eq!(found.status, StatusCode::OK, "{}", found.text());
        let answer = stack.complete(0, "Which form?", 5).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }
    stack.table_faults(&FaultPlan::default()).await;
}

/// A socket that accepts and never answers stands where the service was; the payment may have been
/// read by whatever it is, so its outcome is unknown, not "not run".
#[tokio::test(flavor = "multi_thread")]
async fn silent_service() {
    let settings = json!({ "call_timeout": "500ms" });
    let plan = StackPlan::new("silent-service", PRODUCT).settings("entry", settings);
    let mut stack = plan.start().await;
    let address = stack.services[0].address;
    stack.services[0].kill();
    let silent = TcpListener::bind(address).expect("the port is free");
    let lost = pay(&stack, 0, "silent-1").await;
    assert_eq!(execution(&lost), "unknown", "{}", lost.text());
    drop(silent);
}
