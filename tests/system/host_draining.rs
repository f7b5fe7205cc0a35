//! Hosts that drain get no new requests after a few seconds, and running requests complete.

use std::process::Command;
use std::time::Instant;

use http::StatusCode;
use serde_json::json;
use standin::faults::FaultPlan;
use standin::stack::{CallerResponse, StackPlan, TestStack};

use crate::BINARY;
use crate::availability::{print_time, wait_refused, wait_until};

/// Tokens of the response that is in progress when the host starts draining.
const LONG_RESPONSE_TOKENS: u32 = 600;

async fn one_replica(name: &str) -> TestStack {
    StackPlan::new(name, BINARY)
        .engines(2)
        .entries(2)
        .replicas(1)
        .hosts_per_replica(2)
        .step_us(20_000)
        .start()
        .await
}

/// Makes a host drain with `start_drain` while a long request runs. Both entry nodes must stop
/// sending requests to its replica, the response must be complete, and the replica must be
/// dissolved afterwards.
async fn expect_graceful_drain(
    stack: &TestStack,
    source: &str,
    start_drain: impl AsyncFnOnce(&TestStack),
) {
    let request = stack.complete(0, "How do I renew?", LONG_RESPONSE_TOKENS);
    let draining = async {
        wait_until("the request runs", || async {
            stack.engine_state(0).await.load.running > 0
                || stack.engine_state(1).await.load.running > 0
        })
        .await;
        let since = Instant::now();
        start_drain(stack).await;
        let first = wait_refused(stack, 0, since).await;
        let second = wait_refused(stack, 1, since).await;
        print_time(&format!("{source} to no new requests"), first.max(second));
    };
    let (response, ()): (CallerResponse, ()) = tokio::join!(request, draining);
    assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    let tokens = &response.json()["usage"]["completion_tokens"];
    assert_eq!(*tokens, json!(LONG_RESPONSE_TOKENS));
    wait_until("the replica is dissolved", || async {
        stack.replica_engines().await.is_empty()
    })
    .await;
}

/// The host list marks a host as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn drains_when_listed_as_leaving() {
    let stack = one_replica("listed-leaving").await;
    expect_graceful_drain(&stack, "host list", async |stack| {
        stack.set_leaving(&["h01"]);
    })
    .await;
}

/// An engine reports that it is leaving before the host list does.
#[tokio::test(flavor = "multi_thread")]
async fn drains_when_engine_reports_leaving() {
    let stack = one_replica("engine-leaving").await;
    expect_graceful_drain(&stack, "engine's report", async |stack| {
        let plan = FaultPlan::builder().leaving(true).build();
        stack.set_engine_faults(1, &plan).await;
    })
    .await;
}

/// An operator drains a host with a record and later deletes the record. The model is then served
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn drains_by_record_until_deleted() {
    let stack = one_replica("operator-drains").await;
    expect_graceful_drain(&stack, "operator's record", async |stack| {
        let record = json!([{
            "schema": 2, "kind": "drain", "name": "repair-h01", "spec": { "hosts": ["h01"] },
        }]);
        stack.apply(&record);
    })
    .await;
    let mut command: Command = stack.operator_command();
    command.args(["delete", "drain", "repair-h01"]);
    assert!(command.status().expect("the client runs").success());
    stack.wait_until_serving(0).await;
    stack.wait_until_serving(1).await;
}
