//! Losing one host of a replica cuts off no caller.

use std::time::Duration;

use standin::load::plan::LoadPlan;
use standin::load::report::LoadReport;
use standin::load::run_load;
use standin::stack::{StackPlan, TestStack};

use crate::PRODUCT;

const LOAD_TIME: Duration = Duration::from_secs(6);
const LOSS_AFTER: Duration = Duration::from_secs(2);

fn plan(name: &str) -> StackPlan {
    StackPlan::new(name, PRODUCT).engine_options(&["--report-lag-ms", "0"])
}

/// Waits until streams run on a replica, so that its loss hits some.
async fn wait_running(stack: &TestStack, leader: usize) {
    while stack.engine_state(leader).await.load.running < 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Sends a load and kills, in the midst of it, the host of a rank in so many replicas.
async fn load_while(stack: &mut TestStack, rank: usize, replicas_hit: usize) -> LoadReport {
    let plan = LoadPlan::builder()
        .entries(stack.entries.iter().map(|entry| entry.address).collect())
        .service(stack.services[0].address)
        .rate(25.0)
        .duration(LOAD_TIME)
        .build();
    let load = tokio::spawn(run_load(plan));
    tokio::time::sleep(LOSS_AFTER).await;
    let replicas = stack.replica_engines().await;
    assert_eq!(replicas.len(), 2);
    for members in replicas.values().take(replicas_hit) {
        wait_running(stack, members[0]).await;
        stack.engines[members[rank]].kill();
    }
    load.await.expect("no panic").expect("a report")
}

fn assert_all_whole(report: &LoadReport) {
    let chats = report.chats;
    assert!(chats.offered > 60, "{report}");
    assert_eq!(chats.whole, chats.offered, "{report}");
    let payments = report.payments;
    assert_eq!(payments.ran, payments.offered, "{report}");
    assert_eq!((payments.lost, payments.doubled), (0, 0), "{report}");
}

// A host dies that computes a part of every token and answers nobody itself. The engine that
// answers stalls and says nothing for long. Callers see a pause at worst; every answer comes
// whole, from the other replica.
#[tokio::test(flavor = "multi_thread")]
async fn member_killed() {
    let mut stack = plan("member-killed").start().await;
    let report = load_while(&mut stack, 2, 1).await;
    assert_all_whole(&report);
}

// The host dies that answers for its replica, and with it every connection on which tokens came.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed() {
    let mut stack = plan("leader-killed").start().await;
    let report = load_while(&mut stack, 0, 1).await;
    assert_all_whole(&report);
}

// Both replicas lose a host at once, and for a while nobody serves. Callers get a whole answer or
// are told at once that there is none; no stream ends silently. The hosts that are left form a
// new replica, and the next question is answered.
#[tokio::test(flavor = "multi_thread")]
async fn both_hit() {
    let mut stack = plan("both-hit").start().await;
    let report = load_while(&mut stack, 1, 2).await;
    assert_eq!(report.chats.cut, 0, "{report}");
    let payments = report.payments;
    assert_eq!(payments.ran, payments.offered, "{report}");
    assert_eq!((payments.lost, payments.doubled), (0, 0), "{report}");
    for entry in 0..stack.entries.len() {
        stack.wait_serving(entry).await;
    }
}
