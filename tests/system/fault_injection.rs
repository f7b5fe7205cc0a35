//! Fault injection of the simulated platform, which the other tests rely on.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde_json::json;
use standin::faults::{FaultPlan, OutageMode};
use standin::stack::{StackPlan, TestStack};
use web::client::json_request;
use web::{ClientError, read_body};
use wire::service::IDEMPOTENCY_KEY_HEADER;

use crate::BINARY;

/// Timeout after which a write is given up.
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

async fn bare_stack(name: &str) -> TestStack {
    StackPlan::new(name, BINARY)
        .engines(1)
        .entries(0)
        .services(2)
        .start_without_records()
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
    let response = stack.client.send(address, request, timeout).await?;
    Ok(response.status())
}

async fn row_status(stack: &TestStack, key: &str) -> StatusCode {
    let address = stack.table.address;
    let path = format!("/rows/{key}");
    let request = json_request(Method::GET, address, &path, None::<&()>).expect("a request");
    let response = stack
        .client
        .send(address, request, SHORT_TIMEOUT * 10)
        .await;
    response.expect("a response").status()
}

/// `lose_next`: the table applies a write and drops the response. The writer sees a broken
/// connection and the row exists.
#[tokio::test(flavor = "multi_thread")]
async fn response_lost_after_write() {
    let stack = bare_stack("response-lost").await;
    let plan = FaultPlan::builder().lose_next(1).match_body("affected-row");
    stack.set_table_faults(&plan.build()).await;
    let other = put_row(&stack, "other", SHORT_TIMEOUT * 10).await;
    assert_eq!(other.expect("not affected"), StatusCode::OK);
    let lost = put_row(&stack, "affected-row", SHORT_TIMEOUT * 10).await;
    assert!(matches!(lost, Err(ClientError::Broken(..))), "{lost:?}");
    assert_eq!(row_status(&stack, "affected-row").await, StatusCode::OK);
    let next = put_row(&stack, "affected-row", SHORT_TIMEOUT * 10).await;
    assert_eq!(next.expect("only one response is lost"), StatusCode::OK);
    let counts = stack.fault_report(stack.table.address).await.counts;
    assert_eq!((counts.writes, counts.lost), (3, 1));
}

/// `latency_ms`: a write takes effect after its writer has timed out.
#[tokio::test(flavor = "multi_thread")]
async fn write_applied_after_timeout() {
    let stack = bare_stack("write-late").await;
    let slow = FaultPlan::builder().latency_ms(1_500).build();
    stack.set_table_faults(&slow).await;
    let timed_out = put_row(&stack, "late", SHORT_TIMEOUT).await;
    assert!(matches!(timed_out, Err(ClientError::TimedOut(_))));
    stack.set_table_faults(&FaultPlan::default()).await;
    assert_eq!(row_status(&stack, "late").await, StatusCode::NOT_FOUND);
    let started = Instant::now();
    while row_status(&stack, "late").await != StatusCode::OK {
        assert!(
            started.elapsed() < SHORT_TIMEOUT * 100,
            "the write never took effect"
        );
        tokio::time::sleep(SHORT_TIMEOUT).await;
    }
}

/// `outage` and `max_writes`: the table refuses requests, is over its limit, or accepts connections
/// and never responds. No write takes effect in any of these cases.
#[tokio::test(flavor = "multi_thread")]
async fn outage_applies_no_write() {
    let stack = bare_stack("store-down").await;
    let refuse = FaultPlan::builder().outage(OutageMode::Refuse).build();
    stack.set_table_faults(&refuse).await;
    let refused = put_row(&stack, "down", SHORT_TIMEOUT).await;
    assert_eq!(
        refused.expect("a response"),
        StatusCode::SERVICE_UNAVAILABLE
    );
    let throttle = FaultPlan::builder().max_writes(0).build();
    stack.set_table_faults(&throttle).await;
    let throttled = put_row(&stack, "down", SHORT_TIMEOUT).await;
    assert_eq!(
        throttled.expect("a response"),
        StatusCode::TOO_MANY_REQUESTS
    );
    let hang = FaultPlan::builder().outage(OutageMode::Hang).build();
    stack.set_table_faults(&hang).await;
    let timed_out = put_row(&stack, "down", SHORT_TIMEOUT).await;
    assert!(matches!(timed_out, Err(ClientError::TimedOut(_))));
    stack.set_table_faults(&FaultPlan::default()).await;
    assert_eq!(row_status(&stack, "down").await, StatusCode::NOT_FOUND);
}

/// `lose_share` loses a share of the responses. A seed selects them, so that failures of tests can
/// be reproduced.
#[tokio::test(flavor = "multi_thread")]
async fn lost_share_reproducible() {
    let stack = bare_stack("share-lost").await;
    let flaky = FaultPlan::builder().lose_share(0.5).seed(5).build();
    let mut runs = Vec::new();
    for _ in 0..2 {
        stack.set_table_faults(&flaky).await;
        let mut lost = Vec::new();
        for _ in 0..40 {
            lost.push(put_row(&stack, "flaky", SHORT_TIMEOUT * 10).await.is_err());
        }
        runs.push(lost);
    }
    assert_eq!(runs[0], runs[1]);
    let count = runs[0].iter().filter(|lost| **lost).count();
    assert!((10..=30).contains(&count), "{count} of 40");
}

/// A payment is sent twice to one instance of the service, and the first response is lost. The
/// executions of all instances are counted together.
#[tokio::test(flavor = "multi_thread")]
async fn executions_counted() {
    let stack = bare_stack("execution-counted").await;
    let lossy = FaultPlan::builder().lose_next(1).build();
    stack.set_service_faults(&lossy).await;
    let address = stack.services[1].address;
    let call = json!({ "stall": "B-14" });
    for _ in 0..2 {
        let mut request =
            json_request(Method::POST, address, "/fees/pay", Some(&call)).expect("a request");
        let key = http::HeaderValue::from_static("k1");
        request.headers_mut().insert(IDEMPOTENCY_KEY_HEADER, key);
        if let Ok(response) = stack
            .client
            .send(address, request, SHORT_TIMEOUT * 10)
            .await
        {
            read_body(response.into_body(), 1 << 16)
                .await
                .expect("a complete body");
        }
    }
    assert_eq!(stack.executions().await["k1"], 2);
}

/// A restarted engine has the same host and address but a new boot number, and its faults are
/// cleared.
#[tokio::test(flavor = "multi_thread")]
async fn restart_clears_faults() {
    let mut stack = bare_stack("engine-restarted").await;
    let leaving = FaultPlan::builder().leaving(true).build();
    stack.set_engine_faults(0, &leaving).await;
    let before = stack.engine_state(0).await;
    assert!(before.leaving);
    stack.restart_engine(0);
    let after = stack.engine_state(0).await;
    assert_eq!(before.host, after.host);
    assert!(after.boot > before.boot);
    assert!(!after.leaving);
}
