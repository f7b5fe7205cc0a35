//! A model is updated to another version.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use http::StatusCode;
use serde_json::json;
use standin::stack::{StackPlan, TestStack, WAIT_TIMEOUT};

use crate::BINARY;

/// The versions assigned to the engines, those without an assignment left out.
async fn assigned_versions(stack: &TestStack) -> Vec<String> {
    let mut versions = Vec::new();
    for engine in 0..stack.engines.len() {
        let state = stack.engine_state(engine).await;
        versions.extend(
            state
                .assignment
                .map(|assignment| assignment.version.to_string()),
        );
    }
    versions
}

/// A model's record names a new version, and no free hosts can load it beside the old one. If all
/// old replicas were drained at once, requests would be refused until the new weights are loaded.
/// Replicas are updated one at a time, so no request may be refused.
#[tokio::test(flavor = "multi_thread")]
async fn rollout_refuses_no_request() {
    let plan = StackPlan::new("version-change", BINARY)
        .engines(4)
        .replicas(2);
    let options = ["--load-ms", "1500"];
    let stack = plan
        .hosts_per_replica(2)
        .entries(1)
        .engine_options(&options)
        .start()
        .await;
    let updated = AtomicBool::new(false);
    let sending = async {
        let mut refused = 0;
        while !updated.load(Ordering::Relaxed) {
            let response = stack.complete(0, "Which form renews a licence?", 3).await;
            refused += usize::from(response.status != StatusCode::OK);
        }
        refused
    };
    let updating = async {
        let record = json!([{
            "schema": 2, "kind": "model", "name": "trader-help",
            "spec": {
                "hosts_per_replica": 2, "adapters": ["wolof"],
                "versions": [{ "version": "v2", "replicas": 2 }],
            },
        }]);
        stack.apply(&record);
        let started = Instant::now();
        while assigned_versions(&stack).await != ["v2"; 4] {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{:?}",
                assigned_versions(&stack).await
            );
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        }
        updated.store(true, Ordering::Relaxed);
    };
    let (refused, ()) = tokio::join!(sending, updating);
    assert_eq!(refused, 0, "requests were refused during the update");
}
