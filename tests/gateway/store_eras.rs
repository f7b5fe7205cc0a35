//! Responses that state no era of the store, or one that can't be right. Nodes lose nothing by them, and notice the next
//! drill.

use std::time::Duration;

use standin::site::EraStatement;
use tokio::time::Instant;

use crate::drill_clients::{ask_during, is_served};
use crate::site::TestSite;
use crate::store_copy::{
    ADDED, DROPPED, KNOWN, LATER, NEXT_CHANGE_DELAY, assert_not_older, copy_then_change,
    drill_then_change, references, three_nodes,
};

/// Responses that misstate the era, of all nodes together.
const MISSTATED_RESPONSES: u32 = 6;

/// Time for which the calls of a node are counted, less than it takes to give an era up.
const CALL_WINDOW: Duration = Duration::from_secs(4);

/// Calls of a node within this time, ten a second.
const MAX_CALLS: u64 = 40;

/// An era that no store reaches.
const ABSURD_ERA: &str = "18446744073709551615";

/// Guards against nodes that follow a response whose era can't be right, or that has none, and stay with it.
async fn misstated_era(statement: EraStatement) {
    let site = TestSite::start_bounded(2);
    let nodes = three_nodes(&site).await;
    let nodes = references(&nodes);
    let copy = copy_then_change(&site, &nodes).await;
    let started = Instant::now();
    let script = async {
        site.store.misstate_era(statement, MISSTATED_RESPONSES);
        tokio::time::sleep(NEXT_CHANGE_DELAY).await;
        drill_then_change(&site, &copy).await
    };
    let (answers, due) = ask_during(&nodes, &[KNOWN, ADDED, DROPPED, LATER], script).await;
    assert_not_older(&answers, started, nodes.len());
    answers.assert_since(LATER, due, nodes.len(), is_served);
}

/// Guards against responses without an era that end what is known, or hide the next drill.
#[tokio::test(flavor = "multi_thread")]
async fn era_absent() {
    misstated_era(EraStatement::Absent).await;
}

/// Guards against a text that is no number.
#[tokio::test(flavor = "multi_thread")]
async fn era_unreadable() {
    misstated_era(EraStatement::Text("two")).await;
}

/// Guards against a number that no store reaches, after which all right responses would be of an earlier era.
#[tokio::test(flavor = "multi_thread")]
async fn era_absurd() {
    misstated_era(EraStatement::Text(ABSURD_ERA)).await;
}

/// Guards against a node that calls the store without a pause for as long as it takes all responses for outdated.
#[tokio::test(flavor = "multi_thread")]
async fn calls_in_absurd_era() {
    let site = TestSite::start_bounded(1);
    let node = site.node("n0").await;
    site.store.misstate_era(EraStatement::Text(ABSURD_ERA), 1);
    node.wait_log_line(&["store_era_began", ABSURD_ERA]).await;
    let before = site.store.calls();
    tokio::time::sleep(CALL_WINDOW).await;
    let calls = site.store.calls() - before;
    assert!(calls <= MAX_CALLS, "{calls} calls");
}
