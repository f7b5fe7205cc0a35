//! Two entry nodes probe each replica, and all nodes serve based on their evidence.

use std::time::{Duration, Instant};

use standin::stack::{StackPlan, TestStack};

use crate::BINARY;
use crate::availability::wait_served;

const ENTRIES: usize = 5;
/// Duration of each phase of the test.
const WINDOW: Duration = Duration::from_secs(6);

/// Reads counted by an engine since its start.
async fn read_count(stack: &TestStack, engine: usize) -> u64 {
    let address = stack.engines[engine].address;
    stack.fault_report(address).await.counts.reads
}

/// If every entry node probed every host, 410 nodes would be busy with probes. Two nodes probe each
/// replica and send their evidence to the others. When nodes die, others must take over the probes
/// without a failed request.
#[tokio::test(flavor = "multi_thread")]
async fn two_nodes_probe_replica() {
    let mut stack = StackPlan::new("probe-sharing", BINARY)
        .engines(2)
        .entries(ENTRIES)
        .replicas(1)
        .hosts_per_replica(2)
        .start()
        .await;
    tokio::time::sleep(WINDOW).await;
    // Engines also probe the other members of their replica; only entry nodes probe the leader.
    let leader = stack.replica_engines().await;
    let leader = leader.values().next().expect("a replica")[0];
    let before = read_count(&stack, leader).await;
    tokio::time::sleep(WINDOW).await;
    let probes = read_count(&stack, leader).await - before;
    let rate = f64::from(u32::try_from(probes).expect("fits u32")) / WINDOW.as_secs_f64();
    println!("measured: probes a second of one host from {ENTRIES} entry nodes: {rate:.1}");
    // Two nodes, each with at most one probe every 0.8 s.
    assert!(rate < 2.8, "{rate}");
    for entry in 0..ENTRIES {
        wait_served(&stack, entry, Instant::now()).await;
    }
    for _ in 0..3 {
        stack.entries[0].kill();
        stack.entries.remove(0);
    }
    let since = Instant::now();
    while since.elapsed() < WINDOW {
        for entry in 0..stack.entries.len() {
            let response = stack.complete(entry, "ready?", 1).await;
            assert_eq!(response.status, http::StatusCode::OK, "{}", response.text());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
