//! Retries of all nodes together, counted at the engines.

use std::time::Duration;

use standin::site::{GateMode, RetryAllowance, StoreGate};

use crate::node::TestNode;
use crate::request::TestRequest;
use crate::site::TestSite;

/// The limit in the settings of the site's nodes.
pub const ALLOWANCE: RetryAllowance = RetryAllowance {
    window: Duration::from_secs(10),
    ratio: 0.2,
    extra: 130.0,
};

/// Nodes, two in each failure domain.
const NODES: usize = 6;

/// Requests that each node gets while all targets reject, and the pause between two.
const REQUESTS: usize = 150;
const PAUSE: Duration = Duration::from_millis(20);

/// Time in which each node counts anew.
const COUNT_TIME: Duration = Duration::from_secs(2);

/// Starts nodes that reach the store through gates of their own, and waits until each counts all.
pub async fn gated_nodes(site: &TestSite) -> Vec<(TestNode, StoreGate)> {
    let mut nodes = Vec::new();
    for index in 0..NODES {
        let domain = format!("z{}", index % 3);
        nodes.push(site.gated_node(&domain, &format!("n{index}")).await);
    }
    for (node, _) in &nodes {
        let all = format!("\"nodes\":{NODES}");
        node.wait_log_line(&["nodes_counted", &all]).await;
        node.wait_replicas(3).await;
    }
    nodes
}

/// Sends requests one after the other, whatever becomes of them.
async fn send_requests(site: &TestSite, node: &TestNode, name: &str) {
    let requests = (0..REQUESTS).map(|number| async move {
        tokio::time::sleep(PAUSE * u32::try_from(number).expect("few requests")).await;
        site.groups.arrivals.record_sent();
        let request = TestRequest::chat(&format!("{name}-{number}"));
        drop(request.try_begin(node).await);
    });
    futures::future::join_all(requests).await;
}

/// Guards against nodes that each take the whole of what all of them may retry: the store turns all but one
/// away, so that only the heartbeats of that one are new. Guards as well against nodes that then count one,
/// though the others serve, and go by it in all that they divide by the count.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_turned_away_share_limit() {
    let site = TestSite::start(14, 0);
    let nodes = gated_nodes(&site).await;
    for (_, gate) in nodes.iter().skip(1) {
        gate.set(GateMode::TurnsAway);
    }
    // The heartbeats of the others expire at the same time for all nodes, give or take a count.
    let (open, _) = &nodes[0];
    open.wait_log_line(&["nodes_counted", "\"nodes\":1}"]).await;
    tokio::time::sleep(COUNT_TIME).await;
    for (node, _) in nodes.iter().skip(1) {
        let counted = node.log_lines(&["nodes_counted"]);
        let last = counted.last().expect("nodes were counted");
        assert_eq!(last["nodes"], NODES, "a node that can't write loses none");
    }
    site.groups.set_rejects(true);
    let clients = nodes.iter().enumerate().map(|(index, (node, _))| {
        let site = &site;
        async move { send_requests(site, node, &format!("r{index}")).await }
    });
    futures::future::join_all(clients).await;
    let worst = site.groups.arrivals.worst_window(ALLOWANCE);
    let worst = worst.expect("some requests were retried");
    assert!(worst.excess() <= 0.0, "{worst:?}");
}
