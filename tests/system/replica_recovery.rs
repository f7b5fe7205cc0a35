//! Hosts that die or are suspended: their replica gets no requests until it is formed again.

use std::time::{Duration, Instant};

use standin::faults::{FaultPlan, OutageMode};
use standin::stack::{StackPlan, TestStack};

use crate::BINARY;
use crate::availability::{print_time, wait_refused, wait_served, wait_until};

/// Index of the engine with this rank in the only replica.
async fn engine_of_rank(stack: &TestStack, rank: usize) -> usize {
    let replicas = stack.replica_engines().await;
    let ranks = replicas.values().next().expect("a replica");
    ranks[rank]
}

/// Waits until the only replica runs a later incarnation than its first, without one engine.
async fn wait_reformed(stack: &TestStack, without: usize) {
    wait_until("the replica is formed without the host", || async {
        let replicas = stack.replica_engines().await;
        let Some(ranks) = replicas.values().next() else {
            return false;
        };
        let leader = stack.engine_state(ranks[0]).await.assignment;
        let is_later = leader.is_some_and(|assignment| assignment.incarnation.0 > 1);
        is_later && ranks.len() == 3 && !ranks.contains(&without)
    })
    .await;
}

async fn one_replica(name: &str, engines: usize) -> TestStack {
    StackPlan::new(name, BINARY)
        .engines(engines)
        .entries(2)
        .replicas(1)
        .hosts_per_replica(3)
        .start()
        .await
}

/// A host of the only replica dies, but not the leader. Requests are refused at once, with a
/// `Retry-After` header, until a spare replaces the host after a few seconds.
#[tokio::test(flavor = "multi_thread")]
async fn spare_replaces_host() {
    let mut stack = one_replica("spare", 4).await;
    let lost = engine_of_rank(&stack, 2).await;
    stack.engines[lost].kill();
    let since = Instant::now();
    wait_reformed(&stack, lost).await;
    let served = wait_served(&stack, 0, since).await;
    print_time("host lost to service with a spare", served);
    assert_eq!(stack.replica_engines().await.len(), 1);
}

/// A host dies and the fabric domain has no spare. Requests are refused until the host is back; its
/// engine restarts empty and the replica loads its weights again.
#[tokio::test(flavor = "multi_thread")]
async fn waits_for_host_without_spare() {
    let mut stack = one_replica("no-spare", 3).await;
    let lost = engine_of_rank(&stack, 1).await;
    stack.engines[lost].kill();
    let since = Instant::now();
    let refused = wait_refused(&stack, 0, since).await;
    print_time("host lost to no dispatch", refused);
    tokio::time::sleep(Duration::from_secs(6)).await;
    stack.restart_engine(lost);
    let back = Instant::now();
    let served = wait_served(&stack, 0, back).await;
    print_time("host back to service without a spare", served);
}

/// A host is suspended for so long that it is replaced, and then resumes with its old rank. It must
/// be emptied before it may get requests again.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_host_emptied() {
    let stack = one_replica("suspended-host", 4).await;
    let suspended = engine_of_rank(&stack, 0).await;
    stack.engines[suspended].signal("STOP");
    let since = Instant::now();
    wait_reformed(&stack, suspended).await;
    wait_served(&stack, 0, since).await;
    stack.engines[suspended].signal("CONT");
    wait_until("the host is emptied", || async {
        stack.engine_state(suspended).await.assignment.is_none()
    })
    .await;
    wait_served(&stack, 1, since).await;
}

/// All hosts of a fabric domain lose power while the table responds slowly. The replica in the
/// other fabric domain keeps serving, and the lost replica is formed again when the hosts are back.
#[tokio::test(flavor = "multi_thread")]
async fn fabric_domain_lost() {
    let mut stack = StackPlan::new("domain-lost", BINARY)
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
    stack.set_table_faults(&slow).await;
    for engine in [2, 3] {
        stack.engines[engine].kill();
    }
    let since = Instant::now();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let served = wait_served(&stack, 1, since).await;
    print_time("one fabric domain lost, the other serves", served);
    stack.restart_engine(2);
    stack.restart_engine(3);
    wait_until("two replicas again", || async {
        stack.replica_engines().await.len() == 2
    })
    .await;
}

/// A host dies while the table is down. Its replica must get no more requests, although nothing can
/// be written; when the table is back, a spare replaces the host.
#[tokio::test(flavor = "multi_thread")]
async fn host_lost_during_table_outage() {
    let mut stack = one_replica("table-down", 4).await;
    let down = FaultPlan::builder().outage(OutageMode::Refuse).build();
    stack.set_table_faults(&down).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    wait_served(&stack, 0, Instant::now()).await;
    let lost = engine_of_rank(&stack, 1).await;
    stack.engines[lost].kill();
    let refused = wait_refused(&stack, 0, Instant::now()).await;
    print_time("host lost to no dispatch, table down", refused);
    stack.set_table_faults(&FaultPlan::default()).await;
    let back = Instant::now();
    let served = wait_served(&stack, 0, back).await;
    print_time("table back to service", served);
}

/// Three in ten responses of the table are lost after the write while a spare replaces a host. The
/// replica must be formed nevertheless, and only once; the losses should cost a second or two.
#[tokio::test(flavor = "multi_thread")]
async fn replaces_host_despite_lost_responses() {
    let mut stack = one_replica("responses-lost", 4).await;
    let losing = FaultPlan::builder().lose_share(0.3).seed(7).build();
    stack.set_table_faults(&losing).await;
    let lost = engine_of_rank(&stack, 1).await;
    stack.engines[lost].kill();
    let since = Instant::now();
    wait_reformed(&stack, lost).await;
    wait_served(&stack, 0, since).await;
    assert_eq!(stack.replica_engines().await.len(), 1);
}
