//! Entries that go missing: of targets that have left, or of live ones after an outage of the store.

use std::time::{Duration, Instant};

use futures::future::join_all;
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

/// Time for which a target that has left continues to serve.
const SERVING_TIME: Duration = Duration::from_secs(8);

/// Pause between two requests of a client.
const CLIENT_PAUSE: Duration = Duration::from_millis(100);

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

/// Guards against a service without targets, since the store was away again before they could write their entries.
#[tokio::test(flavor = "multi_thread")]
async fn second_outage_removes_nothing() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(OUTAGE).await;
    site.store.remove("servers", "s0");
    site.store.set_mode(StoreMode::Healthy);
    node.wait_log_line(&["entry_missing", "s0"]).await;
    site.store.set_mode(StoreMode::Unavailable);
    tokio::time::sleep(OUTAGE).await;
    let response = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(response.status, StatusCode::OK);
    assert!(node.log_lines(&["target_gone"]).is_empty());
}

/// Requests of the clients of some nodes: each sends one after the other until a time.
async fn send_until(nodes: &[TestNode], name: &str, until: Instant) -> Vec<(String, Duration)> {
    let started = Instant::now();
    let clients = nodes.iter().enumerate().map(|(index, node)| async move {
        let mut sent = Vec::new();
        for number in 0.. {
            if Instant::now() >= until {
                break;
            }
            let id = format!("{name}-{index}-{number}");
            sent.push((id.clone(), started.elapsed()));
            let response = TestRequest::new("/look/x", &id).send(node).await;
            assert_eq!(response.status, StatusCode::OK, "{id}");
            tokio::time::sleep(CLIENT_PAUSE).await;
        }
        sent
    });
    join_all(clients).await.into_iter().flatten().collect()
}

/// Guards against requests at a target that has left, while calls to the store fail at another node than those that
/// send them: it ends, and they end with it.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_sent_after_removal() {
    let site = TestSite::start(0, 3);
    let gate = StoreGate::open(&site.store).expect("a port is free");
    let nodes = nodes_behind(&site, &gate).await;
    let refusing = refuse_calls(&nodes[0], &gate);
    let sending = async {
        nodes[0].wait_log_line(&["store_lost", "servers"]).await;
        site.store.remove("servers", "s0");
        send_until(&nodes[1..], "left", Instant::now() + SERVING_TIME).await
    };
    let ((), sent) = tokio::join!(refusing, sending);
    let late = sent.iter().filter(|(_, after)| *after > REMOVAL_TIME);
    let (mut at_left, mut at_others) = (0, 0);
    for (id, _) in late {
        at_left += site.instances[0].execution_count(id);
        at_others += site.instances[1].execution_count(id) + site.instances[2].execution_count(id);
    }
    assert!(at_others > 0, "nothing was sent so late");
    assert_eq!(at_left, 0, "of {at_others} at the others");
}

/// Guards against a replica that is taken apart since the entries of its hosts expired while single calls to the store
/// failed, and against clients that are rejected meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn lapsed_replica_serves_on() {
    let site = TestSite::start(4, 0);
    let gate = StoreGate::open(&site.store).expect("a port is free");
    let node = site.node_in("z0", "n0", gate.address).await;
    node.wait_replicas(1).await;
    let before = site.groups.serving();
    gate.set(GateMode::TurnsAway);
    node.wait_log_line(&["store_lost", "servers"]).await;
    for host in &before[0] {
        site.groups.expire(host);
    }
    gate.set(GateMode::Open);
    node.wait_log_line(&["entry_missing", &before[0][0]]).await;
    let chat = TestRequest::chat("c-1").send(&node).await;
    assert!(chat.complete, "{:?}", chat.status);
    tokio::time::sleep(WRITE_DELAY).await;
    for host in &before[0] {
        site.groups.rewrite(host);
    }
    node.wait_log_line(&["entry_back", &before[0][0]]).await;
    assert_eq!(site.groups.serving(), before);
    for event in ["target_gone", "target_unlisted"] {
        assert!(node.log_lines(&[event]).is_empty(), "{event}");
    }
    let chat = TestRequest::chat("c-2").send(&node).await;
    assert!(chat.complete, "{:?}", chat.status);
}
