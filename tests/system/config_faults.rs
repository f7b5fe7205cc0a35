//! Configuration while the store is down, entry nodes are suspended or cut off, or both.

use std::time::{Duration, Instant};

use serde_json::json;
use standin::faults::{FaultPlan, OutageMode};
use standin::stack::TestStack;

use crate::config_propagation::{
    EntryView, amend_and_wait, short_timeout_plan, view_config, wait_granted,
};

/// Timeout of a request that shows the configuration in force.
const VIEW_TIMEOUT: Duration = Duration::from_secs(2);

async fn take_table_down(stack: &TestStack) {
    let plan = FaultPlan::builder().outage(OutageMode::Refuse);
    stack.set_table_faults(&plan.build()).await;
}

/// Polls an entry node for some time. It may be not ready but must not serve another adapter;
/// returns how often it served.
async fn expect_only_adapter(
    stack: &TestStack,
    entry: usize,
    adapter: &str,
    duration: Duration,
) -> u32 {
    let started = Instant::now();
    let mut served = 0;
    while started.elapsed() < duration {
        if let EntryView::Serves(newest) = view_config(stack, entry, VIEW_TIMEOUT).await {
            assert_eq!(newest, adapter, "entry {entry} serves an old configuration");
            served += 1;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    served
}

/// The table is down for longer than a confirmation is valid. The entry nodes reach each other, so
/// they keep serving with the configuration in force. When the table is back, amendments are
/// accepted again.
#[tokio::test(flavor = "multi_thread")]
async fn serves_during_store_outage() {
    let stack = short_timeout_plan("config-store-down").start().await;
    amend_and_wait(&stack, "before").await;
    take_table_down(&stack).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    for entry in 0..3 {
        let served = expect_only_adapter(&stack, entry, "before", Duration::from_secs(2)).await;
        assert!(served > 0, "entry {entry} stopped serving");
    }
    stack.set_table_faults(&FaultPlan::default()).await;
    amend_and_wait(&stack, "after").await;
}

/// While the table is down, an entry node is killed and replaced. The new node has no local state;
/// it fetches the configuration from its peers and serves it after the settling time.
#[tokio::test(flavor = "multi_thread")]
async fn new_node_starts_during_store_outage() {
    let mut stack = short_timeout_plan("config-replaced").start().await;
    amend_and_wait(&stack, "before").await;
    take_table_down(&stack).await;
    stack.entries[2].kill();
    stack.add_entry("late");
    wait_granted(&stack, 3, "before").await;
    stack.set_table_faults(&FaultPlan::default()).await;
    stack.entries.remove(2);
    amend_and_wait(&stack, "after").await;
}

/// One of three entry nodes is cut off from the table and its peers. It can't confirm its
/// configuration and must stop serving within seconds, before a client is served with old grants.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_node_stops_serving() {
    let mut stack = short_timeout_plan("config-isolated")
        .entries(2)
        .start()
        .await;
    let proxy = crate::table_proxy::TableProxy::start(stack.table.address).await;
    // With another key than the other nodes it can't connect to them.
    stack.add_entry_with(
        "isolated",
        &json!({
            "platform": { "table": proxy.address },
            "peers": { "key_env": "STACK_OPERATOR_KEY", "seeds": [] },
        }),
    );
    wait_granted(&stack, 2, "wolof").await;
    proxy.set_cut(true);
    let started = Instant::now();
    while !matches!(
        view_config(&stack, 2, VIEW_TIMEOUT).await,
        EntryView::NotReady
    ) {
        assert!(
            started.elapsed() < Duration::from_secs(16),
            "the isolated node keeps serving"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    amend_and_wait_for(&stack, "meanwhile", 2).await;
    let served = expect_only_adapter(&stack, 2, "meanwhile", Duration::from_secs(1)).await;
    assert_eq!(served, 0);
    proxy.set_cut(false);
    wait_granted(&stack, 2, "meanwhile").await;
}

/// Amends the customer and waits until the first `entries` entry nodes serve the change.
async fn amend_and_wait_for(stack: &TestStack, adapter: &str, entries: usize) {
    stack.apply(&json!([crate::config_propagation::customer(adapter)]));
    for entry in 0..entries {
        wait_granted(stack, entry, adapter).await;
    }
}

/// An entry node is suspended, an amendment comes into force on the others, and the node resumes.
/// Its first responses must be refusals or show the amendment, although its background tasks have
/// not run yet when it accepts the first request.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_node_serves_no_old_config() {
    let stack = short_timeout_plan("config-suspended").start().await;
    amend_and_wait(&stack, "before").await;
    stack.entries[1].signal("STOP");
    stack.apply(&json!([crate::config_propagation::customer("meanwhile")]));
    for entry in [0, 2] {
        wait_granted(&stack, entry, "meanwhile").await;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let first_view = view_config(&stack, 1, VIEW_TIMEOUT * 5);
    tokio::pin!(first_view);
    let result = tokio::time::timeout(Duration::from_millis(300), &mut first_view).await;
    assert!(result.is_err(), "a suspended node responded");
    stack.entries[1].signal("CONT");
    if let EntryView::Serves(newest) = first_view.await {
        assert_eq!(newest, "meanwhile", "the first response is outdated");
    }
    expect_only_adapter(&stack, 1, "meanwhile", Duration::from_secs(2)).await;
    wait_granted(&stack, 1, "meanwhile").await;
}

/// An entry node is suspended, an amendment comes into force on the others, the table goes down,
/// and the node resumes. It reaches a majority, which alone would let it serve, but its peers
/// report a newer revision. It must apply that first and never serve the old one.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_node_catches_up_from_peers() {
    let stack = short_timeout_plan("config-suspended-down").start().await;
    amend_and_wait(&stack, "before").await;
    stack.entries[1].signal("STOP");
    stack.apply(&json!([crate::config_propagation::customer("meanwhile")]));
    for entry in [0, 2] {
        wait_granted(&stack, entry, "meanwhile").await;
    }
    take_table_down(&stack).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    stack.entries[1].signal("CONT");
    expect_only_adapter(&stack, 1, "meanwhile", Duration::from_secs(3)).await;
    wait_granted(&stack, 1, "meanwhile").await;
    for entry in [0, 2] {
        wait_granted(&stack, entry, "meanwhile").await;
    }
}
