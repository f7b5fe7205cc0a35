//! Hosts that die: their replica takes no work, and its model comes back.

use std::time::{Duration, Instant};

use standin::faults::{FaultPlan, OutageMode};
use standin::stack::{StackPlan, TestStack};

use crate::PRODUCT;
use crate::outage::{report, wait_refused, wait_served, wait_until};

/// The engine of a rank of the only replica.
async fn engine_of_rank(stack: &TestStack, rank: usize) -> usize {
    let replicas = stack.replica_engines().await;
    let ranks = replicas.values().next().expect("a replica");
    ranks[rank]
}

/// Waits until the only replica stands in a later incarnation than its first.
async fn wait_reformed(stack: &TestStack, without: usize) {
    wait_until("the replica goes on without the host", || async {
        let replicas = stack.replica_engines().await;
        let Some(ranks) = replicas.values().next() else {
            return false;
        };
        let leader = stack.engine_state(ranks[0]).await.assignment;
        let later = leader.is_some_and(|assignment| assignment.incarnation.0 > 1);
        later && ranks.len() == 3 && !ranks.contains(&without)
    })
    .await;
}

async fn one_replica(name: &str, engines: usize) -> TestStack {
    StackPlan::new(name, PRODUCT)
        .engines(engines)
        .entries(2)
        .replicas(1)
        .hosts_per_replica(3)
        .start()
        .await
}

// A host of the only replica dies, not the one that answers for it. Traders get no answers for a
// few seconds, at once and with when to come back; then a spare host has taken its place.
#[tokio::test(flavor = "multi_thread")]
async fn spare_takes_over() {
    let mut stack = one_replica("spare", 4).await;
    let lost = engine_of_rank(&stack, 2).await;
    stack.engines[lost].kill();
    let since = Instant::now();
    wait_reformed(&stack, lost).await;
    let served = wait_served(&stack, 0, since).await;
    report("host lost to service with a spare", served);
    assert_eq!(stack.replica_engines().await.len(), 1);
}

// A host dies and the fabric domain has no spare. Traders get no answers until it is back; its
// engine restarts empty and the replica loads anew.
#[tokio::test(flavor = "multi_thread")]
async fn no_spare() {
    let mut stack = one_replica("no-spare", 3).await;
    let lost = engine_of_rank(&stack, 1).await;
    stack.engines[lost].kill();
    let since = Instant::now();
    let refused = wait_refused(&stack, 0, since).await;
    report("host lost to no dispatch", refused);
    tokio::time::sleep(Duration::from_secs(6)).await;
    stack.restart_engine(lost);
    let back = Instant::now();
    let served = wait_served(&stack, 0, back).await;
    report("host back to service without a spare", served);
}

// A host is frozen, long enough to be given up, and then wakes up. It still runs its old rank, and
// nothing may be sent to it until it was emptied.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_host() {
    let stack = one_replica("frozen-host", 4).await;
    let frozen = engine_of_rank(&stack, 0).await;
    stack.engines[frozen].signal("STOP");
    let since = Instant::now();
    wait_reformed(&stack, frozen).await;
    wait_served(&stack, 0, since).await;
    stack.engines[frozen].signal("CONT");
    wait_until("the host is emptied", || async {
        stack.engine_state(frozen).await.assignment.is_none()
    })
    .await;
    wait_served(&stack, 1, since).await;
}

// A whole fabric domain goes dark in a power cut while the table answers late. Traders go on with
// the replica in the other domain, and the lost one stands again when the power is back.
#[tokio::test(flavor = "multi_thread")]
async fn domain_dark() {
    let mut stack = StackPlan::new("domain-dark", PRODUCT)
        .engines(4)
        .entries(2)
        .fabrics(2)
        .domains(&["plateau", "medina"])
        .replicas(2)
        .hosts_per_replica(2)
        .start()
        .await;
    wait_until("two replicas", || async {
        stack.replica_engines().await.len() == 2
    })
    .await;
    let slow = FaultPlan::builder().latency_ms(300).build();
    stack.table_faults(&slow).await;
    for engine in [2, 3] {
        stack.engines[engine].kill();
    }
    let since = Instant::now();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let served = wait_served(&stack, 1, since).await;
    report("one domain dark, the other serves", served);
    stack.restart_engine(2);
    stack.restart_engine(3);
    wait_until("two replicas again", || async {
        stack.replica_engines().await.len() == 2
    })
    .await;
}

// A host dies while the table is down. Nothing is sent to its replica any more, though nobody can
// write so; after the table's return a spare takes the host's place.
#[tokio::test(flavor = "multi_thread")]
async fn table_down_too() {
    let mut stack = one_replica("table-down", 4).await;
    let down = FaultPlan::builder().outage(OutageMode::Refuse).build();
    stack.table_faults(&down).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    wait_served(&stack, 0, Instant::now()).await;
    let lost = engine_of_rank(&stack, 1).await;
    stack.engines[lost].kill();
    let refused = wait_refused(&stack, 0, Instant::now()).await;
    report("host lost to no dispatch, table down", refused);
    stack.table_faults(&FaultPlan::default()).await;
    let back = Instant::now();
    let served = wait_served(&stack, 0, back).await;
    report("table back to service", served);
}

// Three answers in ten of the table are lost after the write, while a replica goes on with a
// spare. Nobody notices but by a second or two.
#[tokio::test(flavor = "multi_thread")]
async fn answers_lost() {
    let mut stack = one_replica("answers-lost", 4).await;
    let losing = FaultPlan::builder().lose_share(0.3).seed(7).build();
    stack.table_faults(&losing).await;
    let lost = engine_of_rank(&stack, 1).await;
    stack.engines[lost].kill();
    let since = Instant::now();
    wait_reformed(&stack, lost).await;
    wait_served(&stack, 0, since).await;
    assert_eq!(stack.replica_engines().await.len(), 1);
}
