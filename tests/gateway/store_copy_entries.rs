//! Entries of engines in a restored store that show an earlier membership than nodes know.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use tokio::time::Instant;

use crate::node::TestNode;
use crate::request::TestRequest;
use crate::site::TestSite;
use crate::store_copy::AWAY;
use crate::store_copy_rows::TARGET_HEARTBEAT;

/// Nodes of a site of which most don't plan the replicas.
const NODES: usize = 9;

/// Time for which clients ask after the engines have written their entries again.
const ASK_TIME: Duration = Duration::from_millis(500);

/// Pause of a client, which leaves the replica slots for those of all nodes.
const ASK_INTERVAL: Duration = Duration::from_millis(50);

/// Chats at a node until the end; returns what was not served, and how long after `from` it was sent.
async fn chat_until(
    node: &TestNode,
    index: usize,
    is_over: &AtomicBool,
    from: Instant,
) -> Vec<(usize, Duration, StatusCode)> {
    let mut failed = Vec::new();
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let sent = from.elapsed();
        let request = TestRequest::chat(&format!("entries-{index}-{number}"));
        let response = request.send(node).await;
        if response.status != StatusCode::OK || !response.complete {
            failed.push((index, sent, response.status));
        }
        tokio::time::sleep(ASK_INTERVAL).await;
    }
    failed
}

/// Guards against a serving replica that gets no requests from nodes that don't plan it, since the restored store
/// shows its members as they were before they joined.
#[tokio::test(flavor = "multi_thread")]
async fn membership_gone_back() {
    let site = TestSite::start(4, 0);
    let copy = site.store.copy();
    let mut nodes = Vec::new();
    for index in 0..NODES {
        let domain = format!("z{}", index % 3);
        let name = format!("n{index}");
        nodes.push(site.node_in(&domain, &name, site.store_address()).await);
    }
    let count = format!("\"nodes\":{NODES}}}");
    for node in &nodes {
        node.wait_replicas(1).await;
        node.wait_log_line(&["nodes_counted", &count]).await;
    }
    let serving = site.groups.serving();
    let is_over = AtomicBool::new(false);
    let started = Instant::now();
    let chats = nodes
        .iter()
        .enumerate()
        .map(|(index, node)| chat_until(node, index, &is_over, started));
    let script = async {
        let lost = site.store.drill(&copy, AWAY).await;
        tokio::time::sleep(TARGET_HEARTBEAT).await;
        site.store.write_again(&lost, &["op", "servers"]);
        tokio::time::sleep(ASK_TIME).await;
        is_over.store(true, Ordering::Relaxed);
    };
    let (failed, ()) = tokio::join!(join_all(chats), script);
    assert_eq!(failed.concat(), Vec::new());
    assert_eq!(site.groups.serving(), serving);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}
