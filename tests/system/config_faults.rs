//! The configuration while the store is down, entries are frozen, or both.

use std::time::{Duration, Instant};

use serde_json::json;
use standin::faults::{FaultPlan, OutageMode};
use standin::stack::TestStack;

use crate::config_follow::{EntryView, amend_and_wait, look, quick_plan, wait_granted};

const SHORT: Duration = Duration::from_secs(2);

async fn take_table_down(stack: &TestStack) {
    let plan = FaultPlan::builder().outage(OutageMode::Refuse);
    stack.table_faults(&plan.build()).await;
}

/// Watches an entry for a while; it may say that it is not ready, but never shows another adapter.
async fn never_shows_other(stack: &TestStack, entry: usize, adapter: &str, time: Duration) -> u32 {
    let started = Instant::now();
    let mut served = 0;
    while started.elapsed() < time {
        if let EntryView::Serves(newest) = look(stack, entry, SHORT).await {
            assert_eq!(newest, adapter, "entry {entry} went back");
            served += 1;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    served
}

// The table is down for longer than a node may go without a confirmation. All entries miss it
// alike and hear each other, so callers are served on with what is in force; when the table
// returns, changes are taken again.
#[tokio::test(flavor = "multi_thread")]
async fn store_down_served() {
    let stack = quick_plan("config-store-down").start().await;
    amend_and_wait(&stack, "before").await;
    take_table_down(&stack).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    for entry in 0..3 {
        let served = never_shows_other(&stack, entry, "before", Duration::from_secs(2)).await;
        assert!(served > 0, "entry {entry} stepped out");
    }
    stack.table_faults(&FaultPlan::default()).await;
    amend_and_wait(&stack, "after").await;
}

// While the table is down an entry is killed and a new one takes its place. It has no disk and no
// table; it takes the configuration from its peers and serves it after it settled.
#[tokio::test(flavor = "multi_thread")]
async fn entry_replaced_meanwhile() {
    let mut stack = quick_plan("config-replaced").start().await;
    amend_and_wait(&stack, "before").await;
    take_table_down(&stack).await;
    stack.entries[2].kill();
    stack.add_entry("late");
    wait_granted(&stack, 3, "before").await;
    stack.table_faults(&FaultPlan::default()).await;
    stack.entries.remove(2);
    amend_and_wait(&stack, "after").await;
}

// One of three entries loses the table and its peers. It can't know what is in force and steps out
// of service within seconds, so that the balancer takes it away before a caller sees old grants.
#[tokio::test(flavor = "multi_thread")]
async fn lonely_entry_stops() {
    let mut stack = quick_plan("config-lonely").entries(2).start().await;
    let cut = crate::table_cut::TableCut::start(stack.table.address).await;
    // Under another key than the others' it has no links.
    stack.add_entry_with(
        "lonely",
        &json!({
            "platform": { "table": cut.address },
            "peers": { "key_env": "STACK_OPERATOR_KEY", "seeds": [] },
        }),
    );
    wait_granted(&stack, 2, "wolof").await;
    cut.set_cut(true);
    let started = Instant::now();
    while !matches!(look(&stack, 2, SHORT).await, EntryView::NotReady) {
        assert!(started.elapsed() < Duration::from_secs(16), "it serves on");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    amend_and_wait_for(&stack, "meanwhile", 2).await;
    let served = never_shows_other(&stack, 2, "meanwhile", Duration::from_secs(1)).await;
    assert_eq!(served, 0);
    cut.set_cut(false);
    wait_granted(&stack, 2, "meanwhile").await;
}

async fn amend_and_wait_for(stack: &TestStack, adapter: &str, entries: usize) {
    stack.apply(&json!([crate::config_follow::customer(adapter)]));
    for entry in 0..entries {
        wait_granted(stack, entry, adapter).await;
    }
}

// An entry is frozen, a change comes into force on the others, and the entry runs on. Its first
// answers after that must be refusals or show the change; its tasks have not run yet when it takes
// the first request.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_entry_returns() {
    let stack = quick_plan("config-frozen").start().await;
    amend_and_wait(&stack, "before").await;
    stack.entries[1].signal("STOP");
    stack.apply(&json!([crate::config_follow::customer("meanwhile")]));
    for entry in [0, 2] {
        wait_granted(&stack, entry, "meanwhile").await;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let early = look(&stack, 1, SHORT * 5);
    tokio::pin!(early);
    let queued = tokio::time::timeout(Duration::from_millis(300), &mut early).await;
    assert!(queued.is_err(), "a frozen entry answers");
    stack.entries[1].signal("CONT");
    if let EntryView::Serves(newest) = early.await {
        assert_eq!(newest, "meanwhile", "the first answer is old");
    }
    never_shows_other(&stack, 1, "meanwhile", Duration::from_secs(2)).await;
    wait_granted(&stack, 1, "meanwhile").await;
}

// An entry is frozen, a change comes into force on the others, then the table goes down, and the
// entry runs on. It hears the majority, which alone would let it serve; but they tell it of a
// newer revision, so it must take that first and never show the old one.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_while_down() {
    let stack = quick_plan("config-frozen-down").start().await;
    amend_and_wait(&stack, "before").await;
    stack.entries[1].signal("STOP");
    stack.apply(&json!([crate::config_follow::customer("meanwhile")]));
    for entry in [0, 2] {
        wait_granted(&stack, entry, "meanwhile").await;
    }
    take_table_down(&stack).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    stack.entries[1].signal("CONT");
    never_shows_other(&stack, 1, "meanwhile", Duration::from_secs(3)).await;
    wait_granted(&stack, 1, "meanwhile").await;
    for entry in [0, 2] {
        wait_granted(&stack, entry, "meanwhile").await;
    }
}
