//! A model goes over to another version.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use http::StatusCode;
use serde_json::json;
use standin::stack::{PATIENCE, StackPlan, TestStack};

use crate::PRODUCT;

async fn versions(stack: &TestStack) -> Vec<String> {
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

/// An operator names a new version in a model's record, and there are no free hosts to load it
/// beside the old one. Were all old replicas drained at once, traders would be refused until the
/// new weights are loaded; with one at a time nobody notices.
#[tokio::test(flavor = "multi_thread")]
async fn nobody_refused() {
    let plan = StackPlan::new("version-change", PRODUCT)
        .engines(4)
        .replicas(2);
    let options = ["--load-ms", "1500"];
    let stack = plan
        .hosts_per_replica(2)
        .entries(1)
        .engine_options(&options)
        .start()
        .await;
    let changed = AtomicBool::new(false);
    let asking = async {
        let mut refused = 0;
        while !changed.load(Ordering::Relaxed) {
            let answer = stack.complete(0, "Which form renews a licence?", 3).await;
            refused += usize::from(answer.status != StatusCode::OK);
        }
        refused
    };
    let changing = async {
        let record = json!([{
            "schema": 2, "kind": "model", "name": "trader-help",
            "spec": {
                "hosts_per_replica": 2, "adapters": ["wolof"],
                "versions": [{ "version": "v2", "replicas": 2 }],
            },
        }]);
        stack.apply(&record);
        let started = Instant::now();
        while versions(&stack).await != ["v2"; 4] {
            assert!(started.elapsed() < PATIENCE, "{:?}", versions(&stack).await);
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        }
        changed.store(true, Ordering::Relaxed);
    };
    let (refused, ()) = tokio::join!(asking, changing);
    assert_eq!(refused, 0, "requests were refused during the change");
}
