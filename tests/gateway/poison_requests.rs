//! A client resends a request that crashes every engine that starts to run it.

use std::time::Duration;

use http::StatusCode;
use standin::site::CRASH_BODY;

use crate::node::{TestNode, wait_for};
use crate::request::{TestRequest, TestResponse, complete_stream, read_response};
use crate::site::TestSite;

/// Crashes after which a request is barred.
const BARRING_CRASHES: usize = 3;

/// Time within which all nodes must know of a request that has crashed three engines, and of a trial that
/// has shown it.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Pause between two requests of clients that come back, and the number of times that they do until a trial
/// must have shown what the request does.
const RETURN_INTERVAL: Duration = Duration::from_millis(100);
const MAX_RETURNS: usize = 100;

fn crashing(id: &str) -> TestRequest {
    TestRequest::chat(id).body(CRASH_BODY.to_vec())
}

/// Sends a request and reads what comes; the connection may break.
async fn send(request: &TestRequest, node: &TestNode) -> Option<TestResponse> {
    let (_connection, response) = request.try_begin(node).await?;
    Some(read_response(response).await)
}

async fn start_three_nodes(site: &TestSite) -> [TestNode; 3] {
    let nodes = [
        site.node("n0").await,
        site.node("n1").await,
        site.node("n2").await,
    ];
    site.wait_until_serving(6).await;
    for node in &nodes {
        node.wait_replicas(6).await;
        node.wait_log_line(&["nodes_counted", "\"nodes\":3"]).await;
    }
    nodes
}

/// Sends the request to each node in turn until three engines have crashed.
async fn crash_three(site: &TestSite, nodes: &[TestNode; 3]) {
    for (index, node) in nodes.iter().cycle().take(6).enumerate() {
        if site.groups.crashed() >= BARRING_CRASHES {
            break;
        }
        let _ = send(&crashing(&format!("x-{index}")), node).await;
    }
    assert!(site.groups.crashed() >= BARRING_CRASHES);
    tokio::time::sleep(PROPAGATION_TIME).await;
}

/// Whether a response promises that the request was not run, and tells when to come back.
fn is_promise(response: &TestResponse) -> bool {
    response.status == StatusCode::SERVICE_UNAVAILABLE
        && response.headers.contains_key("retry-after")
}

/// Sends the request to the nodes in turn until a single trial has crashed one more engine, and waits until
/// all know of it. No response before that may be final.
async fn await_proof(site: &TestSite, nodes: &[&TestNode]) {
    let crashed = site.groups.crashed();
    for (index, node) in nodes.iter().cycle().take(MAX_RETURNS).enumerate() {
        let response = send(&crashing(&format!("t-{index}")), node).await;
        if site.groups.crashed() > crashed {
            break;
        }
        let response = response.expect("response head");
        assert!(is_promise(&response), "{} before a trial", response.status);
        tokio::time::sleep(RETURN_INTERVAL).await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert_eq!(site.groups.crashed(), crashed + 1, "one trial");
}

/// Guards against requests that go on crashing engines. After three crashes no node sends the request on,
/// but for a single trial, and clients are told to come back. After the trial, every node rejects it without
/// a `Retry-After`. Other requests of the same client are still served.
#[tokio::test(flavor = "multi_thread")]
async fn barred_after_three_crashes() {
    let site = TestSite::start(26, 0);
    let nodes = start_three_nodes(&site).await;
    crash_three(&site, &nodes).await;
    assert_eq!(site.groups.crashed(), BARRING_CRASHES);
    await_proof(&site, &nodes.each_ref()).await;
    let crashed = site.groups.crashed();
    for (index, node) in nodes.iter().cycle().take(6).enumerate() {
        let response = send(&crashing(&format!("y-{index}")), node).await;
        let response = response.expect("response head");
        assert_eq!(response.status, StatusCode::BAD_REQUEST);
        assert!(!response.headers.contains_key("retry-after"));
        let other = TestRequest::chat(&format!("z-{index}")).send(node).await;
        assert_eq!(other.status, StatusCode::OK);
        assert_eq!(other.text, complete_stream(12));
    }
    assert_eq!(site.groups.crashed(), crashed);
}

/// A node that starts after the crashes and the trial rejects the request as well.
#[tokio::test(flavor = "multi_thread")]
async fn barred_on_new_node() {
    let site = TestSite::start(26, 0);
    let nodes = start_three_nodes(&site).await;
    crash_three(&site, &nodes).await;
    await_proof(&site, &nodes.each_ref()).await;
    let crashed = site.groups.crashed();
    let new_node = site.restarted_node("n3").await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    let response = send(&crashing("y-0"), &new_node).await;
    assert_eq!(
        response.map(|response| response.status),
        Some(StatusCode::BAD_REQUEST)
    );
    assert_eq!(site.groups.crashed(), crashed);
}

/// A node starts just before the crashes, so it has read no record of them and the others don't
/// count it yet. Within the time for all nodes it must reject the request, or each node that starts
/// then costs one more engine.
#[tokio::test(flavor = "multi_thread")]
async fn barred_on_starting_node() {
    let site = TestSite::start(26, 0);
    let nodes = start_three_nodes(&site).await;
    let new_node = site.restarted_node("n3").await;
    crash_three(&site, &nodes).await;
    let [first, second, third] = &nodes;
    await_proof(&site, &[&new_node, first, second, third]).await;
    let crashed = site.groups.crashed();
    let response = send(&crashing("y-0"), &new_node).await;
    assert_eq!(
        response.map(|response| response.status),
        Some(StatusCode::BAD_REQUEST)
    );
    assert_eq!(site.groups.crashed(), crashed);
}

/// A node without a hint address learns of the request from the heartbeats of the others.
/// Unreadable crash records are deleted when the table is read.
#[tokio::test(flavor = "multi_thread")]
async fn barred_without_hints() {
    let site = TestSite::start(26, 0);
    site.store.put("ends", "torn", b"{");
    let nodes = start_three_nodes(&site).await;
    let without_hints = site.node_without_hints("n3").await;
    without_hints.wait_replicas(6).await;
    crash_three(&site, &nodes).await;
    without_hints.wait_log_line(&["request_barred"]).await;
    await_proof(&site, &[&without_hints]).await;
    let response = send(&crashing("y-0"), &without_hints).await;
    assert_eq!(
        response.map(|response| response.status),
        Some(StatusCode::BAD_REQUEST)
    );
    let keys = site.store.keys("ends");
    assert!(
        !keys.is_empty() && !keys.iter().any(|key| key == "torn"),
        "{keys:?}"
    );
}

/// Requests that ran on the crashed engines at the same time are served when they are resent.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_served() {
    let site = TestSite::start(26, 0);
    let nodes = start_three_nodes(&site).await;
    site.groups.set_events(80);
    let concurrent = |index: usize, attempt: &str| {
        TestRequest::chat(&format!("n-{index}-{attempt}"))
            .body(format!("concurrent request {index}").into())
    };
    let mut running = Vec::new();
    for index in 0..24 {
        running.push(concurrent(index, "a").begin(&nodes[index % 3]).await);
    }
    crash_three(&site, &nodes).await;
    for (_connection, response) in running {
        drop(read_response(response).await);
    }
    site.groups.set_events(4);
    for index in 0..24 {
        let response = concurrent(index, "b").send(&nodes[index % 3]).await;
        assert_eq!(
            response.status,
            StatusCode::OK,
            "concurrent request {index}"
        );
    }
}

/// A retryable call that crashes instances of a plain service is barred too; the remaining
/// instances serve other calls.
#[tokio::test(flavor = "multi_thread")]
async fn plain_call_barred() {
    let site = TestSite::start(0, 6);
    let node = site.node("n0").await;
    let lookup = |id: &str, body: &[u8]| TestRequest::new("/look/x", id).body(body.to_vec());
    for index in 0..2 {
        let response = lookup(&format!("x-{index}"), CRASH_BODY).send(&node).await;
        assert_eq!(
            response.status,
            StatusCode::BAD_GATEWAY,
            "{}",
            response.text
        );
    }
    node.wait_log_line(&["request_barred"]).await;
    for index in 0..MAX_RETURNS {
        let response = lookup(&format!("t-{index}"), CRASH_BODY).send(&node).await;
        if response.status == StatusCode::BAD_GATEWAY {
            break;
        }
        assert!(is_promise(&response), "{} before a trial", response.status);
        tokio::time::sleep(RETURN_INTERVAL).await;
    }
    node.wait_log_line(&["request_barred", "proved"]).await;
    let response = lookup("x-2", CRASH_BODY).send(&node).await;
    assert_eq!(response.status, StatusCode::BAD_REQUEST);
    for index in 0..4 {
        let response = lookup(&format!("y-{index}"), b"{}").send(&node).await;
        assert_eq!(response.status, StatusCode::OK);
    }
}

/// Hosts that run a long request lose power one after the other. Power loss must not count against
/// the request: it is served when resent.
#[tokio::test(flavor = "multi_thread")]
async fn power_loss_bars_nothing() {
    let site = TestSite::start(26, 0);
    let node = site.node("n0").await;
    node.wait_replicas(6).await;
    site.groups.set_events(60);
    for index in 0..4 {
        let id = format!("x-{index}");
        let (_connection, response) = TestRequest::chat(&id).begin(&node).await;
        let head = site.replica_running(&id)[0].clone();
        site.groups.make_unresponsive(&head);
        let response = read_response(response).await;
        assert_eq!(response.status, StatusCode::OK);
        wait_for("the target to be suspected", || {
            !node.log_lines(&["target_suspected", &head]).is_empty()
        })
        .await;
    }
    let response = TestRequest::chat("y").send(&node).await;
    assert_eq!(response.status, StatusCode::OK);
}
