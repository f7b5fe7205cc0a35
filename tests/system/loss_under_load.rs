//! Hosts that die under load: responses are complete or refused, never cut off.

use std::time::Duration;

use standin::load::plan::LoadPlan;
use standin::load::report::LoadReport;
use standin::load::run_load;
use standin::stack::{StackPlan, TestStack};

use crate::BINARY;

const LOAD_TIME: Duration = Duration::from_secs(6);
const LOSS_AFTER: Duration = Duration::from_secs(2);

fn plan(name: &str) -> StackPlan {
    StackPlan::new(name, BINARY).engine_options(&["--report-lag-ms", "0"])
}

/// Waits until the replica runs streams, so that its loss affects some.
async fn wait_running(stack: &TestStack, leader: usize) {
    while stack.engine_state(leader).await.load.running < 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Runs a load test and kills the host with this rank in `replica_count` replicas during it.
async fn run_load_with_loss(
    stack: &mut TestStack,
    rank: usize,
    replica_count: usize,
) -> LoadReport {
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
    for members in replicas.values().take(replica_count) {
        wait_running(stack, members[0]).await;
        stack.engines[members[rank]].kill();
    }
    load.await.expect("no panic").expect("a report")
}

fn assert_all_complete(report: &LoadReport) {
    let chats = report.chats;
    assert!(chats.offered > 60, "{report}");
    assert_eq!(chats.whole, chats.offered, "{report}");
    let payments = report.payments;
    assert_eq!(payments.ran, payments.offered, "{report}");
    assert_eq!((payments.lost, payments.doubled), (0, 0), "{report}");
}

/// A host other than the leader dies. The leader stalls and reports nothing for a long time.
/// Clients may see a pause; every response must be completed by the other replica.
#[tokio::test(flavor = "multi_thread")]
async fn member_killed() {
    let mut stack = plan("member-killed").start().await;
    let report = run_load_with_loss(&mut stack, 2, 1).await;
    assert_all_complete(&report);
}

/// The leader of a replica dies, and with it all connections that carry its streams.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed() {
    let mut stack = plan("leader-killed").start().await;
    let report = run_load_with_loss(&mut stack, 0, 1).await;
    assert_all_complete(&report);
}

/// Both replicas lose a host at once and no replica serves for a while. Clients must get a complete
/// response or an error at once; no stream may be cut off. The remaining hosts form a new replica,
/// and requests are served again.
#[tokio::test(flavor = "multi_thread")]
async fn both_replicas_lose_host() {
    let mut stack = plan("both-replicas").start().await;
    let report = run_load_with_loss(&mut stack, 1, 2).await;
    assert_eq!(report.chats.cut, 0, "{report}");
    let payments = report.payments;
    assert_eq!(payments.ran, payments.offered, "{report}");
    assert_eq!((payments.lost, payments.doubled), (0, 0), "{report}");
    for entry in 0..stack.entries.len() {
        stack.wait_until_serving(entry).await;
    }
}
