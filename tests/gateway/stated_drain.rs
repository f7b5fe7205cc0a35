//! Targets that say in their responses alone that they exit, counted at the targets per node.

use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::json;
use standin::site::{GateMode, ServiceMode};

use crate::node::{TestNode, wait_for};
use crate::request::TestRequest;
use crate::retry_totals::gated_nodes;
use crate::site::TestSite;

/// Time after a node has passed on that a target leaves from which on nothing may reach it from there.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(40);

async fn send_chats(node: &TestNode, source: &str, name: &str, lasting: Duration) -> usize {
    let until = Instant::now() + lasting;
    let mut failed = 0;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let request = TestRequest::chat(&format!("{source}.{name}{number}"));
        failed += usize::from(request.send(node).await.status != StatusCode::OK);
        tokio::time::sleep(PAUSE).await;
    }
    failed
}

/// Guards against a head that says in its responses that it leaves, and gets requests on, since the registry
/// does not tell: no node reaches the store.
#[tokio::test(flavor = "multi_thread")]
async fn head_left_without_store() {
    let site = TestSite::start(14, 0);
    let nodes = gated_nodes(&site).await;
    for (_, gate) in &nodes {
        gate.set(GateMode::Silent);
    }
    let head = site.groups.serving()[0][0].clone();
    site.groups.say_leaving(&head);
    let clients = nodes
        .iter()
        .enumerate()
        .map(|(index, (node, _))| async move {
            let source = format!("n{index}");
            send_chats(node, &source, "leaving", DRAIN_BOUND * 3).await
        });
    let failed = futures::future::join_all(clients).await;
    assert_eq!(
        failed.iter().sum::<usize>(),
        0,
        "the other replicas have room"
    );
    let late = site.groups.arrivals.arrivals_after_leaving(DRAIN_BOUND);
    assert_eq!(late, 0, "requests reached a head that leaves");
}

/// Guards against an instance of a plain service that says in its responses that it leaves, and counts as
/// ready again when an older copy of its entry arrives.
#[tokio::test(flavor = "multi_thread")]
async fn instance_left_despite_old_entry() {
    let site = TestSite::start(0, 3);
    let node = site.node("n0").await;
    site.instances[0].set_mode(ServiceMode::Leaving);
    for number in 0..20 {
        let request = TestRequest::new("/look/x", &format!("n0.first{number}"));
        assert_eq!(request.send(&node).await.status, StatusCode::OK);
    }
    assert!(
        site.instances[0].received_count() > 0,
        "it has told the node"
    );
    let is_gone = |host: &str| !node.log_lines(&["target_gone", host]).is_empty();
    site.store.remove("servers", "s0");
    wait_for("the removal", || is_gone("s0")).await;
    let old_entry = json!({
        "service": "records", "address": site.instances[0].address().to_string(), "zone": "z0",
        "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
    });
    site.store
        .put("servers", "s0", old_entry.to_string().as_bytes());
    // Changes are applied in order.
    site.store.remove("servers", "s2");
    wait_for("the old entry", || is_gone("s2")).await;
    let before = site.instances[0].received_count();
    for number in 0..30 {
        let request = TestRequest::new("/look/x", &format!("n0.later{number}"));
        assert_eq!(request.send(&node).await.status, StatusCode::OK);
    }
    assert_eq!(
        site.instances[0].received_count(),
        before,
        "it gets nothing more"
    );
}

/// Guards against a drain that binds the next process of the engine, under the same id.
#[tokio::test(flavor = "multi_thread")]
async fn next_process_serves() {
    let mut site = TestSite::start(5, 0);
    let node = site.only_node("n0").await;
    node.wait_replicas(1).await;
    let head = site.groups.serving()[0][0].clone();
    site.groups.say_leaving(&head);
    send_chats(&node, "n0", "leaving", PAUSE).await;
    node.wait_log_line(&["drain_stated", &head]).await;
    site.kill_engine(&head);
    site.add_engine(&head);
    let ids: Vec<String> = site
        .engines
        .iter()
        .map(|engine| engine.id.clone())
        .collect();
    // One host is left over unless the new process serves.
    for id in ids.iter().filter(|id| **id != head).take(1) {
        site.kill_engine(id);
    }
    site.wait_until_serving(1).await;
    let members = site.groups.serving().remove(0);
    assert!(members.contains(&head), "{members:?}");
    node.wait_replicas(1).await;
    let chat = TestRequest::chat("n0.again").send(&node).await;
    assert_eq!(chat.status, StatusCode::OK);
}
