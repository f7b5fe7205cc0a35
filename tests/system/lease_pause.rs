//! An entry that holds a lease is frozen past it.

use std::time::{Duration, Instant};

use http::Method;
use serde_json::Value;
use standin::stack::{StackPlan, TestStack};
use web::client::JsonResponse;

use crate::PRODUCT;
use crate::outage::{report, wait_served, wait_until};

const ASK: Duration = Duration::from_secs(5);

async fn row(stack: &TestStack, key: &str) -> Value {
    let path = format!("/rows/{key}");
    let answer: Result<JsonResponse<Value>, _> = stack
        .client
        .json(Method::GET, stack.table.address, &path, None::<&()>, ASK)
        .await;
    answer.map_or(Value::Null, |answer| answer.value)
}

/// Index of the entry that holds the lease of the fabric domain.
async fn holder(stack: &TestStack) -> Option<usize> {
    let lease = row(stack, "lease/fabric:f0").await;
    let name = lease["holder"].as_str()?;
    let entry = name.split('.').next()?;
    stack.entries.iter().position(|other| other.name == entry)
}

// The entry that assembles replicas is frozen, as a virtual machine that is moved. A host dies
// meanwhile. Another entry takes the lease over and puts a spare in the host's place; when the
// frozen one wakes up with its old plans, nothing changes and traders go on.
#[tokio::test(flavor = "multi_thread")]
async fn holder_frozen() {
    let mut stack = StackPlan::new("holder-frozen", PRODUCT)
        .engines(4)
        .entries(3)
        .replicas(1)
        .hosts_per_replica(3)
        .start()
        .await;
    let frozen = holder(&stack).await.expect("a holder");
    stack.entries[frozen].signal("STOP");
    let since = Instant::now();
    let before = row(&stack, "lease/fabric:f0").await;
    let ranks = stack.replica_engines().await;
    let lost = ranks.values().next().expect("a replica")[1];
    stack.engines[lost].kill();
    wait_until("another holder", || async {
        holder(&stack).await.is_some_and(|entry| entry != frozen)
    })
    .await;
    report("holder frozen to lease taken over", since.elapsed());
    let other = (frozen + 1) % 3;
    let served = wait_served(&stack, other, since).await;
    report("holder frozen and host lost to service", served);
    wait_until("the spare runs", || async {
        let ranks = stack.replica_engines().await;
        ranks.values().next().is_some_and(|ranks| ranks.len() == 3)
    })
    .await;
    let fleet = row(&stack, "fleet/plans/f0").await;
    let epoch = row(&stack, "lease-epoch/fabric:f0").await;
    assert!(epoch["epoch"].as_u64() > before["epoch"].as_u64());
    stack.entries[frozen].signal("CONT");
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(row(&stack, "fleet/plans/f0").await, fleet);
    assert_eq!(row(&stack, "lease-epoch/fabric:f0").await, epoch);
    wait_served(&stack, frozen, Instant::now()).await;
    assert_eq!(stack.replica_engines().await.len(), 1);
}

// The entry that assembles replicas stops gracefully. Another takes the lease over at once.
#[tokio::test(flavor = "multi_thread")]
async fn holder_stopped() {
    let mut stack = StackPlan::new("holder-stopped", PRODUCT)
        .engines(3)
        .entries(2)
        .replicas(1)
        .hosts_per_replica(3)
        .start()
        .await;
    let stopped = holder(&stack).await.expect("a holder");
    stack.entries[stopped].signal("TERM");
    let since = Instant::now();
    stack.entries[stopped].wait();
    let left = Instant::now();
    wait_until("another holder", || async {
        holder(&stack).await.is_some_and(|entry| entry != stopped)
    })
    .await;
    report("holder told to stop to lease taken over", since.elapsed());
    report("holder gone to lease taken over", left.elapsed());
}
