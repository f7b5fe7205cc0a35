//! Entries that go missing: of targets that have left, or of live ones after an outage of the store.

use std::time::{Duration, Instant};

use http::StatusCode;
use serving::feed::feed_order;
use standin::site::{GateMode, StoreGate, StoreMode};

use crate::foreign_servers::register;
use crate::node::{TestNode, wait_for};
use crate::request::TestRequest;
use crate::site::TestSite;

/// Nodes of the domain; enough of them to follow each other.
const NODES: usize = 9;

/// Calls to the store that fail, each on its own.
const FAILED_CALLS: usize = 6;

/// Time within which a removal must be known everywhere: the bound of two seconds, and one for a busy machine.
const REMOVAL_TIME: Duration = Duration::from_secs(3);

/// An outage in which entries expire, and the time that a live target then takes to write its entry again.
const OUTAGE: Duration = Duration::from_secs(4);
const WRITE_DELAY: Duration = Duration::from_millis(1500);

/// Starts the nodes of a failure domain; only the one that reads the store for the others passes the gate.
async fn nodes_behind(site: &TestSite, gate: &StoreGate) -> Vec<TestNode> {
    let names: Vec<String> = (0..NODES).map(|index| format!("n{index}")).collect();
    let order = feed_order("z0", names.iter().map(String::as_str));
    let mut nodes = Vec::new();
    for (rank, name) in order.into_iter().enumerate() {
        let store = if rank == 0 {
            gate.address
        } else {
            site.store_address()
        };
        nodes.push(site.node_in("z0", name, store).await);
    }
    for node in &nodes[1..] {
        node.wait_log_line(&["feed_followed"]).await;
    }
    nodes
}

/// Waits until a node has written more lines of a kind than before.
async fn wait_further(node: &TestNode, parts: &[&str], before: usize) {
    wait_for(&format!("a further line with {parts:?}"), || {
        node.log_lines(parts).len() > before
    })
    .await;
}

/// Refuses one call for the registry after the other, and lets each next one pass.
async fn refuse_calls(node: &TestNode, gate: &StoreGate) {
    for _ in 0..FAILED_CALLS {
        let count = |event: &str| node.log_lines(&[event, "servers"]).len();
        let (lost, regained) = (count("store_lost"), count("store_regained"));
        gate.set(GateMode::TurnsAway);
        wait_further(node, &["store_lost", "servers"], lost).await;
        gate.set(GateMode::Open);
        wait_further(node, &["store_regained", "servers"], regained).await;
    }
}

/// Guards against a removal that one failed call of one node puts off, there and at all that follow it, and each
/// further one again: the target that has left would get requests for longer than it serves.
#[tokio::test(flavor = "multi_thread")]
async fn failed_calls_delay_no_removal() {
    let site = TestSite::start(0, 2);
    let gate = StoreGate::open(&site.store).expect("a port is free");
    let nodes = nodes_behind(&site, &gate).await;
    let refusing = refuse_calls(&nodes[0], &gate);
    let removing = async {
        nodes[0].wait_log_line(&["store_lost", "servers"]).await;
        let removed_at = Instant::now();
        site.store.remove("servers", "s0");
        for node in &nodes {
            node.wait_log_line(&["target_gone", "s0"]).await;
        }
        removed_at.elapsed()
    };
    let ((), took) = tokio::join!(refusing, removing);
    assert!(took < REMOVAL_TIME, "a node knew after {took:?}");
}

/// Guards against the removal of targets whose entries have expired in an outage: they write them again after it.
#[tokio::test(flavor = "multi_thread")]
async fn outage_removes_nothing() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(OUTAGE).await;
    site.store.remove("servers", "s0");
    site.store.set_mode(StoreMode::Healthy);
    node.wait_log_line(&["store_regained", "servers"]).await;
    tokio::time::sleep(WRITE_DELAY).await;
    let response = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(response.status, StatusCode::OK);
    register(&site, "s0", site.instances[0].address());
    tokio::time::sleep(WRITE_DELAY).await;
    assert!(node.log_lines(&["target_gone"]).is_empty());
}
