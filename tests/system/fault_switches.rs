//! The switches of the stand-ins do what tests of failures rely on.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde_json::json;
use standin::faults::{FaultPlan, OutageMode};
use standin::stack::{StackPlan, TestStack};
use web::client::json_request;
use web::{ClientError, read_body};
use wire::service::IDEMPOTENCY_KEY_HEADER;

use crate::PRODUCT;

const SHORT: Duration = Duration::from_millis(300);

async fn bare_stack(name: &str) -> TestStack {
    StackPlan::new(name, PRODUCT)
        .engines(1)
        .entries(0)
        .services(2)
        .start_bare()
        .await
}

async fn put_row(
    stack: &TestStack,
    key: &str,
    timeout: Duration,
) -> Result<StatusCode, ClientError> {
    let put = json!({ "do": "put", "value": 1 });
    let write = json!({ "key": key, "expect": { "is": "any" }, "change": put });
    let batch = json!({ "token": "t", "writes": [write] });
    let address = stack.table.address;
    let request = json_request(Method::POST, address, "/batch", Some(&batch))?;
    let answer = stack.client.send(address, request, timeout).await?;
    Ok(answer.status())
}

async fn row_status(stack: &TestStack, key: &str) -> StatusCode {
    let address = stack.table.address;
    let path = format!("/rows/{key}");
    let request = json_request(Method::GET, address, &path, None::<&()>).expect("a request");
    let answer = stack.client.send(address, request, SHORT * 10).await;
    answer.expect("an answer").status()
}

// The table applies a write and the answer is lost on the way. The writer sees a broken
// connection and can't tell whether the row stands; it does.
#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let stack = bare_stack("answer-lost").await;
    let plan = FaultPlan::builder().lose_next(1).match_body("rows-of-mine");
    stack.table_faults(&plan.build()).await;
    let other = put_row(&stack, "other", SHORT * 10).await;
    assert_eq!(other.expect("untouched"), StatusCode::OK);
    let lost = put_row(&stack, "rows-of-mine", SHORT * 10).await;
    assert!(matches!(lost, Err(ClientError::Broken(..))), "{lost:?}");
    assert_eq!(row_status(&stack, "rows-of-mine").await, StatusCode::OK);
    let next = put_row(&stack, "rows-of-mine", SHORT * 10).await;
    assert_eq!(next.expect("one loss only"), StatusCode::OK);
    let counts = stack.fault_report(stack.table.address).await.counts;
    assert_eq!((counts.writes, counts.lost), (3, 1));
}

// The table is slow and the writer gives up. The write is on its way all the same and takes
// effect after the writer stopped waiting.
#[tokio::test(flavor = "multi_thread")]
async fn write_late() {
    let stack = bare_stack("write-late").await;
    let slow = FaultPlan::builder().latency_ms(1_500).build();
    stack.table_faults(&slow).await;
    let given_up = put_row(&stack, "late", SHORT).await;
    assert!(matches!(given_up, Err(ClientError::TimedOut(_))));
    stack.table_faults(&FaultPlan::default()).await;
    assert_eq!(row_status(&stack, "late").await, StatusCode::NOT_FOUND);
    let started = Instant::now();
    while row_status(&stack, "late").await != StatusCode::OK {
        assert!(started.elapsed() < SHORT * 100, "the write never came");
        tokio::time::sleep(SHORT).await;
    }
}

// The store is down in one of three ways: it refuses, it is over its limit, or it takes
// connections and never answers. Nothing takes effect in any of them.
#[tokio::test(flavor = "multi_thread")]
async fn store_down() {
    let stack = bare_stack("store-down").await;
    let refuse = FaultPlan::builder().outage(OutageMode::Refuse).build();
    stack.table_faults(&refuse).await;
    let refused = put_row(&stack, "down", SHORT).await;
    assert_eq!(refused.expect("said"), StatusCode::SERVICE_UNAVAILABLE);
    let throttle = FaultPlan::builder().max_writes(0).build();
    stack.table_faults(&throttle).await;
    let throttled = put_row(&stack, "down", SHORT).await;
    assert_eq!(throttled.expect("said"), StatusCode::TOO_MANY_REQUESTS);
    let hang = FaultPlan::builder().outage(OutageMode::Hang).build();
    stack.table_faults(&hang).await;
    let unanswered = put_row(&stack, "down", SHORT).await;
    assert!(matches!(unanswered, Err(ClientError::TimedOut(_))));
    stack.table_faults(&FaultPlan::default()).await;
    assert_eq!(row_status(&stack, "down").await, StatusCode::NOT_FOUND);
}

// A flaky network loses the answers of some writes, chosen by a seed, so that a test that failed
// once fails again.
#[tokio::test(flavor = "multi_thread")]
async fn share_lost() {
    let stack = bare_stack("share-lost").await;
    let flaky = FaultPlan::builder().lose_share(0.5).seed(5).build();
    let mut runs = Vec::new();
    for _ in 0..2 {
        stack.table_faults(&flaky).await;
        let mut lost = Vec::new();
        for _ in 0..40 {
            lost.push(put_row(&stack, "flaky", SHORT * 10).await.is_err());
        }
        runs.push(lost);
    }
    assert_eq!(runs[0], runs[1]);
    let count = runs[0].iter().filter(|lost| **lost).count();
    assert!((10..=30).contains(&count), "{count} of 40");
}

// A payment runs and its answer is lost. Any instance of the service tells that it ran once,
// because they share their book.
#[tokio::test(flavor = "multi_thread")]
async fn execution_counted() {
    let stack = bare_stack("execution-counted").await;
    let lossy = FaultPlan::builder().lose_next(1).build();
    stack.service_faults(&lossy).await;
    let address = stack.services[1].address;
    let call = json!({ "stall": "B-14" });
    for _ in 0..2 {
        let mut request =
            json_request(Method::POST, address, "/fees/pay", Some(&call)).expect("a request");
        let key = http::HeaderValue::from_static("k1");
        request.headers_mut().insert(IDEMPOTENCY_KEY_HEADER, key);
        if let Ok(answer) = stack.client.send(address, request, SHORT * 10).await {
            read_body(answer.into_body(), 1 << 16).await.expect("whole");
        }
    }
    assert_eq!(stack.executions().await["k1"], 2);
}

// An engine is restarted: the same host and address, but a new boot number.
#[tokio::test(flavor = "multi_thread")]
async fn engine_restarted() {
    let mut stack = bare_stack("engine-restarted").await;
    let leaving = FaultPlan::builder().leaving(true).build();
    stack.engine_faults(0, &leaving).await;
    let before = stack.engine_state(0).await;
    assert!(before.leaving);
    stack.restart_engine(0);
    let after = stack.engine_state(0).await;
    assert_eq!(before.host, after.host);
    assert!(after.boot > before.boot);
    assert!(!after.leaving);
}
