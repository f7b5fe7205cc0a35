//! Most client connections of a failure domain, or of all, arrive at one node.

use http::StatusCode;
use serde_json::json;

use crate::node::TestNode;
use crate::request::{TestRequest, complete_stream, read_response};
use crate::site::{TestSite, configuration};

/// Streams that clients have open at once, fewer than the replicas run.
const STREAMS: usize = 36;

/// Events of each stream, so that all run at once.
const EVENTS: usize = 50;

/// Opens all streams, each at the node that `node_of` names, and checks that each is served whole.
async fn check_streams(nodes: &[TestNode], label: &str, node_of: impl Fn(usize) -> usize) {
    let mut running = Vec::new();
    for index in 0..STREAMS {
        let request = TestRequest::chat(&format!("{label}-{index}"));
        running.push(request.begin(&nodes[node_of(index)]).await);
    }
    for (index, (_connection, response)) in running.into_iter().enumerate() {
        let response = read_response(response).await;
        assert_eq!(response.status, StatusCode::OK, "{label} stream {index}");
        assert_eq!(
            response.text,
            complete_stream(EVENTS),
            "{label} stream {index}"
        );
    }
}

/// Six nodes in two domains share connections to engines that accept few. For some seconds all clients of a
/// domain are at one node, then all clients; it must use what the others leave free instead of refusing
/// what the engines could run.
#[tokio::test(flavor = "multi_thread")]
async fn one_node_uses_free_connections() {
    let site = TestSite::start(26, 0);
    let mut config = configuration(2);
    config["services"][0]["max_connections"] = json!(24);
    site.configure(&config);
    let mut nodes = Vec::new();
    for index in 0..6 {
        let domain = if index < 3 { "z0" } else { "z1" };
        let name = format!("n{index}");
        nodes.push(site.node_in(domain, &name, site.store_address()).await);
    }
    site.wait_until_serving(6).await;
    for node in &nodes {
        node.wait_replicas(6).await;
        node.wait_log_line(&["nodes_counted", "\"nodes\":6"]).await;
    }
    site.groups.set_tells_load(true);
    site.groups.set_events(EVENTS);
    let spread = |index: usize| 3 + index / 2 % 3;
    check_streams(&nodes, "domain", |index| {
        if index.is_multiple_of(2) {
            0
        } else {
            spread(index)
        }
    })
    .await;
    check_streams(&nodes, "all", |_| 0).await;
}
