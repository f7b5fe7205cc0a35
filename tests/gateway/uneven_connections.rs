//! Most client connections arrive at one node of several.

use http::StatusCode;
use serde_json::json;

use crate::request::{TestRequest, complete_stream, read_response};
use crate::site::{TestSite, configuration};

/// Streams that clients have open at once, fewer than the replicas run.
const STREAMS: usize = 36;

/// Six nodes share connections to engines that accept few. For some seconds all clients are at one node,
/// which must use what the others leave free instead of refusing what the engines could run.
#[tokio::test(flavor = "multi_thread")]
async fn one_node_uses_free_connections() {
    let site = TestSite::start(26, 0);
    let mut config = configuration(2);
    config["services"][0]["max_connections"] = json!(24);
    site.configure(&config);
    let mut nodes = Vec::new();
    for index in 0..6 {
        nodes.push(site.node(&format!("n{index}")).await);
    }
    site.wait_until_serving(6).await;
    for node in &nodes {
        node.wait_replicas(6).await;
        node.wait_log_line(&["nodes_counted", "\"nodes\":6"]).await;
    }
    site.groups.set_tells_load(true);
    site.groups.set_events(50);
    let mut running = Vec::new();
    for index in 0..STREAMS {
        let request = TestRequest::chat(&format!("c-{index}"));
        running.push(request.begin(&nodes[0]).await);
    }
    for (index, (_connection, response)) in running.into_iter().enumerate() {
        let response = read_response(response).await;
        assert_eq!(response.status, StatusCode::OK, "stream {index}");
        assert_eq!(response.text, complete_stream(50), "stream {index}");
    }
}
