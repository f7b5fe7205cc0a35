//! The lease moves to another entry node when its holder is suspended or stops.

use std::time::{Duration, Instant};

use http::Method;
use serde_json::Value;
use standin::stack::{StackPlan, TestStack};
use web::client::JsonResponse;

use crate::BINARY;
use crate::availability::{print_time, wait_served, wait_until};

/// Timeout of a read from the table.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

async fn read_row(stack: &TestStack, key: &str) -> Value {
    let path = format!("/rows/{key}");
    let response: Result<JsonResponse<Value>, _> = stack
        .client
        .json(
            Method::GET,
            stack.table.address,
            &path,
            None::<&()>,
            READ_TIMEOUT,
        )
        .await;
    response.map_or(Value::Null, |response| response.value)
}

/// Index of the entry node that holds the lease of the fabric domain.
async fn lease_holder(stack: &TestStack) -> Option<usize> {
    let lease = read_row(stack, "lease/fabric:f0").await;
    let name = lease["holder"].as_str()?;
    let entry = name.split('.').next()?;
    stack.entries.iter().position(|other| other.name == entry)
}

/// The lease holder is suspended, as a virtual machine is during a migration, and meanwhile a host
/// dies. Another entry node acquires the lease and replaces the host with a spare. When the old
/// holder resumes with outdated plans, it must change nothing and keep serving requests.
#[tokio::test(flavor = "multi_thread")]
async fn suspended_holder_replaced() {
    let mut stack = StackPlan::new("holder-suspended", BINARY)
        .engines(4)
        .entries(3)
        .replicas(1)
        .hosts_per_replica(3)
        .start()
        .await;
    let suspended = lease_holder(&stack).await.expect("the lease is held");
    stack.entries[suspended].signal("STOP");
    let since = Instant::now();
    let before = read_row(&stack, "lease/fabric:f0").await;
    let ranks = stack.replica_engines().await;
    let lost = ranks.values().next().expect("a replica")[1];
    stack.engines[lost].kill();
    wait_until("another node holds the lease", || async {
        lease_holder(&stack)
            .await
            .is_some_and(|entry| entry != suspended)
    })
    .await;
    print_time("holder suspended to lease acquired", since.elapsed());
    let other = (suspended + 1) % 3;
    let served = wait_served(&stack, other, since).await;
    print_time("holder suspended and host lost to service", served);
    wait_until("the spare is in the replica", || async {
        let ranks = stack.replica_engines().await;
        ranks.values().next().is_some_and(|ranks| ranks.len() == 3)
    })
    .await;
    let fleet = read_row(&stack, "fleet/plans/f0").await;
    let epoch = read_row(&stack, "lease-epoch/fabric:f0").await;
    assert!(epoch["epoch"].as_u64() > before["epoch"].as_u64());
    stack.entries[suspended].signal("CONT");
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(read_row(&stack, "fleet/plans/f0").await, fleet);
    assert_eq!(read_row(&stack, "lease-epoch/fabric:f0").await, epoch);
    wait_served(&stack, suspended, Instant::now()).await;
    assert_eq!(stack.replica_engines().await.len(), 1);
}

/// The lease holder shuts down gracefully and another entry node acquires the lease at once.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_holder_releases() {
    let mut stack = StackPlan::new("holder-stopped", BINARY)
        .engines(3)
        .entries(2)
        .replicas(1)
        .hosts_per_replica(3)
        .start()
        .await;
    let stopped = lease_holder(&stack).await.expect("the lease is held");
    stack.entries[stopped].signal("TERM");
    let since = Instant::now();
    stack.entries[stopped].wait();
    let exited = Instant::now();
    wait_until("another node holds the lease", || async {
        lease_holder(&stack)
            .await
            .is_some_and(|entry| entry != stopped)
    })
    .await;
    print_time("holder signalled to lease acquired", since.elapsed());
    print_time("holder exited to lease acquired", exited.elapsed());
}
