//! Hosts that leave: no new work after a few seconds, and no answer cut off.

use std::process::Command;
use std::time::Instant;

use http::StatusCode;
use serde_json::json;
use standin::faults::FaultPlan;
use standin::stack::{CallerAnswer, StackPlan, TestStack};

use crate::PRODUCT;
use crate::outage::{report, wait_refused, wait_until};

/// Tokens of an answer that is in progress when the host begins to leave.
const LONG_ANSWER: u32 = 600;

async fn one_replica(name: &str) -> TestStack {
    StackPlan::new(name, PRODUCT)
        .engines(2)
        .entries(2)
        .replicas(1)
        .hosts_per_replica(2)
        .step_us(20_000)
        .start()
        .await
}

/// Runs a long answer while `leave` makes a host leave; both entries must stop sending new work
/// there, the answer must come whole, and the replica must end after it.
async fn leaves_gracefully(stack: &TestStack, source: &str, leave: impl AsyncFnOnce(&TestStack)) {
    let answer = stack.complete(0, "How do I renew?", LONG_ANSWER);
    let leaving = async {
        wait_until("the answer runs", || async {
            stack.engine_state(0).await.load.running > 0
                || stack.engine_state(1).await.load.running > 0
        })
        .await;
        let since = Instant::now();
        leave(stack).await;
        let first = wait_refused(stack, 0, since).await;
        let second = wait_refused(stack, 1, since).await;
        report(&format!("{source} to no new work"), first.max(second));
    };
    let (answer, ()): (CallerAnswer, ()) = tokio::join!(answer, leaving);
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    let count = &answer.json()["usage"]["completion_tokens"];
    assert_eq!(*count, json!(LONG_ANSWER));
    wait_until("the replica ended", || async {
        stack.replica_engines().await.is_empty()
    })
    .await;
}

// The platform lists a host as leaving. The municipal clerk whose look-up runs there gets the
// whole answer; nobody new is sent there.
#[tokio::test(flavor = "multi_thread")]
async fn listed_leaving() {
    let stack = one_replica("listed-leaving").await;
    leaves_gracefully(&stack, "host list", async |stack| {
        stack.set_leaving(&["h01"]);
    })
    .await;
}

// An engine says itself that it leaves, before the host list knows.
#[tokio::test(flavor = "multi_thread")]
async fn engine_leaving() {
    let stack = one_replica("engine-leaving").await;
    leaves_gracefully(&stack, "engine's report", async |stack| {
        let plan = FaultPlan::builder().leaving(true).build();
        stack.engine_faults(1, &plan).await;
    })
    .await;
}

// An operator drains a host by a record, and takes the record back later: the model is served
// again.
#[tokio::test(flavor = "multi_thread")]
async fn operator_drains() {
    let stack = one_replica("operator-drains").await;
    leaves_gracefully(&stack, "operator's record", async |stack| {
        let record = json!([{
            "schema": 2, "kind": "drain", "name": "repair-h01", "spec": { "hosts": ["h01"] },
        }]);
        stack.apply(&record);
    })
    .await;
    let mut command: Command = stack.operator();
    command.args(["delete", "drain", "repair-h01"]);
    assert!(command.status().expect("the client runs").success());
    stack.wait_serving(0).await;
    stack.wait_serving(1).await;
}
