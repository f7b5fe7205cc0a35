//! Two entries watch a replica, and all of them serve by what the two saw.

use std::time::{Duration, Instant};

use standin::stack::{StackPlan, TestStack};

use crate::PRODUCT;
use crate::outage::wait_served;

const ENTRIES: usize = 5;
const WINDOW: Duration = Duration::from_secs(6);

async fn reads(stack: &TestStack, engine: usize) -> u64 {
    let address = stack.engines[engine].address;
    stack.fault_report(address).await.counts.reads
}

// With every entry asking every host, 410 of them would spend their time on asking. Two ask for
// each replica and the others hear of it; when the two die, the others ask themselves, and nobody
// who calls notices.
#[tokio::test(flavor = "multi_thread")]
async fn two_ask() {
    let mut stack = StackPlan::new("watch-share", PRODUCT)
        .engines(2)
        .entries(ENTRIES)
        .replicas(1)
        .hosts_per_replica(2)
        .start()
        .await;
    tokio::time::sleep(WINDOW).await;
    // Engines ask the other hosts of their replica too; nobody but the entries asks the leader.
    let leader = stack.replica_engines().await;
    let leader = leader.values().next().expect("a replica")[0];
    let before = reads(&stack, leader).await;
    tokio::time::sleep(WINDOW).await;
    let asked = reads(&stack, leader).await - before;
    let rate = f64::from(u32::try_from(asked).expect("few")) / WINDOW.as_secs_f64();
    println!("measured: questions a second to one host from {ENTRIES} entries: {rate:.1}");
    // Two watchers, each at most every 0.8 s.
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
            let answer = stack.complete(entry, "ready?", 1).await;
            assert_eq!(answer.status, http::StatusCode::OK, "{}", answer.text());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
