//! A request that ends each engine that begins to run it, and comes again.

use std::time::Duration;

use http::StatusCode;
use standin::site::ENDING_BODY;

use crate::node::{TestNode, wait_for};
use crate::request::{TestRequest, TestResponse, complete_stream, read_response};
use crate::site::TestSite;

/// Engines that may end under one request: it takes so many to know that it is the request.
const MOST_ENDED: usize = 3;

/// Time in which all nodes must know of a request that has ended three engines.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

fn ending(id: &str) -> TestRequest {
    TestRequest::chat(id).body(ENDING_BODY.to_vec())
}

/// Sends a request and reads what comes; its connection may break.
async fn send(call: &TestRequest, node: &TestNode) -> Option<TestResponse> {
    let (_link, answer) = call.try_begin(node).await?;
    Some(read_response(answer).await)
}

async fn three_nodes(site: &TestSite) -> [TestNode; 3] {
    let nodes = [
        site.node("n0").await,
        site.node("n1").await,
        site.node("n2").await,
    ];
    site.wait_serving(6).await;
    for node in &nodes {
        node.wait_replicas(6).await;
        node.wait_line(&["nodes_counted", "\"nodes\":3"]).await;
    }
    nodes
}

/// Sends the request to one node after the other until three engines have ended under it.
async fn end_three(site: &TestSite, nodes: &[TestNode; 3]) {
    for (index, node) in nodes.iter().cycle().take(6).enumerate() {
        if site.groups.crashed() >= MOST_ENDED {
            break;
        }
        let _ = send(&ending(&format!("x-{index}")), node).await;
    }
    assert!(site.groups.crashed() >= MOST_ENDED);
    tokio::time::sleep(KNOWN_WITHIN).await;
}

/// The request comes again at each node, after it has ended three engines: it gets a final answer at
/// once that asks nobody to come back, reaches no engine, and its caller's other requests go on.
#[tokio::test(flavor = "multi_thread")]
async fn ends_few_engines() {
    let site = TestSite::start(26, 0);
    let nodes = three_nodes(&site).await;
    end_three(&site, &nodes).await;
    let ended = site.groups.crashed();
    for (index, node) in nodes.iter().cycle().take(6).enumerate() {
        let answer = send(&ending(&format!("y-{index}")), node).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
        assert!(!answer.headers.contains_key("retry-after"));
        let other = TestRequest::chat(&format!("z-{index}")).send(node).await;
        assert_eq!(other.status, StatusCode::OK);
        assert_eq!(other.text, complete_stream(12));
    }
    assert_eq!(site.groups.crashed(), ended);
    assert_eq!(ended, MOST_ENDED);
}

/// A node that starts after the three ends knows of them.
#[tokio::test(flavor = "multi_thread")]
async fn later_node_knows() {
    let site = TestSite::start(26, 0);
    let nodes = three_nodes(&site).await;
    end_three(&site, &nodes).await;
    let ended = site.groups.crashed();
    let later = site.restarted_node("n3").await;
    tokio::time::sleep(KNOWN_WITHIN).await;
    let answer = send(&ending("y-0"), &later).await;
    assert_eq!(
        answer.map(|answer| answer.status),
        Some(StatusCode::BAD_REQUEST)
    );
    assert_eq!(site.groups.crashed(), ended);
}

/// A node that no datagram reaches learns of the request from the heartbeats of the others. Rows of ends
/// that are long past, or can't be read, are removed on the way.
#[tokio::test(flavor = "multi_thread")]
async fn untold_node_knows() {
    let site = TestSite::start(26, 0);
    site.store.put("ends", "torn", b"{");
    let nodes = three_nodes(&site).await;
    let deaf = site.node_without_hints("n3").await;
    deaf.wait_replicas(6).await;
    end_three(&site, &nodes).await;
    deaf.wait_line(&["request_barred"]).await;
    let answer = send(&ending("y-0"), &deaf).await;
    assert_eq!(
        answer.map(|answer| answer.status),
        Some(StatusCode::BAD_REQUEST)
    );
    let keys = site.store.keys("ends");
    assert!(
        !keys.is_empty() && !keys.iter().any(|key| key == "torn"),
        "{keys:?}"
    );
}

/// Requests that ran beside it when engines ended are served when they come again.
#[tokio::test(flavor = "multi_thread")]
async fn neighbours_served() {
    let site = TestSite::start(26, 0);
    let nodes = three_nodes(&site).await;
    site.groups.set_events(80);
    let neighbour = |index: usize, try_: &str| {
        TestRequest::chat(&format!("n-{index}-{try_}")).body(format!("neighbour {index}").into())
    };
    let mut running = Vec::new();
    for index in 0..24 {
        running.push(neighbour(index, "a").begin(&nodes[index % 3]).await);
    }
    end_three(&site, &nodes).await;
    for (_link, answer) in running {
        drop(read_response(answer).await);
    }
    site.groups.set_events(4);
    for index in 0..24 {
        let answer = neighbour(index, "b").send(&nodes[index % 3]).await;
        assert_eq!(answer.status, StatusCode::OK, "neighbour {index}");
    }
}

/// A call that ends instances of a plain service, of a kind that may be repeated, is barred as well;
/// the instances that are left answer other calls.
#[tokio::test(flavor = "multi_thread")]
async fn plain_calls_barred() {
    let site = TestSite::start(0, 5);
    let node = site.node("n0").await;
    let look = |id: &str, body: &[u8]| TestRequest::new("/look/x", id).body(body.to_vec());
    for index in 0..2 {
        let answer = look(&format!("x-{index}"), ENDING_BODY).send(&node).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{}", answer.text);
    }
    node.wait_line(&["request_barred"]).await;
    let answer = look("x-2", ENDING_BODY).send(&node).await;
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    for index in 0..4 {
        let answer = look(&format!("y-{index}"), b"{}").send(&node).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
}

/// Three hosts lose power under a long request, one after the other. That is no doing of the request:
/// it is served when it comes again.
#[tokio::test(flavor = "multi_thread")]
async fn dark_hosts_blame_nobody() {
    let site = TestSite::start(26, 0);
    let node = site.node("n0").await;
    node.wait_replicas(6).await;
    site.groups.set_events(60);
    for index in 0..4 {
        let id = format!("x-{index}");
        let (_link, answer) = TestRequest::chat(&id).begin(&node).await;
        let head = site.replica_running(&id)[0].clone();
        site.groups.go_dark(&head);
        let answer = read_response(answer).await;
        assert_eq!(answer.status, StatusCode::OK);
        wait_for("the loss to be known", || {
            !node.lines(&["target_suspected", &head]).is_empty()
        })
        .await;
    }
    let answer = TestRequest::chat("y").send(&node).await;
    assert_eq!(answer.status, StatusCode::OK);
}
