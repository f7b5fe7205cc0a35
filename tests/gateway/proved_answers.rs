//! A response that is not known to be the target's own must not end a request: its client would take it
//! for the system's last word.

use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;

use crate::foreign_servers::{ForeignAnswer, ForeignServer, register};
use crate::node::{TestNode, wait_for};
use crate::request::{TestRequest, TestResponse};
use crate::site::TestSite;

/// Status lines of servers that know nothing of the request.
const STATUSES: [&str; 9] = [
    "302 Found",
    "400 Bad Request",
    "401 Unauthorized",
    "404 Not Found",
    "405 Method Not Allowed",
    "408 Request Timeout",
    "421 Misdirected Request",
    "429 Too Many Requests",
    "503 Service Unavailable",
];

/// Statuses of the responses to so many look-ups, sent to the nodes in turn.
async fn look_up(nodes: &[TestNode], count: usize, pause: Duration) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for number in 0..count {
        let request = TestRequest::new("/look/x", &format!("l-{number}"));
        let response = request.send(&nodes[number % nodes.len()]).await;
        statuses.push(response.status);
        tokio::time::sleep(pause).await;
    }
    statuses
}

fn count_not(statuses: &[StatusCode], expected: StatusCode) -> usize {
    statuses
        .iter()
        .filter(|status| **status != expected)
        .count()
}

/// Guards against the 404 of a server that has taken over the port of an ended target: it became the final
/// answer to every request that was sent there, at every node, until the registry dropped the entry.
#[tokio::test(flavor = "multi_thread")]
async fn port_taken_over() {
    let mut site = TestSite::start(0, 3);
    let nodes = [site.node("n0").await, site.node("n1").await];
    let ended = site.instances.remove(0);
    let address = ended.address();
    drop(ended);
    let _server = ForeignServer::start_at(address, ForeignAnswer::Status("404 Not Found")).await;
    let statuses = look_up(&nodes, 300, Duration::from_millis(20)).await;
    assert_eq!(count_not(&statuses, StatusCode::OK), 0, "{statuses:?}");
}

/// Guards against the same of other refusals, and of promises that the request has not run: for a call
/// that may not be repeated, the client must learn that its outcome is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn payment_to_foreign_server() {
    for status in STATUSES {
        let site = TestSite::start(0, 0);
        let foreign = ForeignServer::start(ForeignAnswer::Status(status)).await;
        register(&site, "s0", foreign.address);
        let node = site.node("n0").await;
        let response = TestRequest::new("/pay/fee", "p-1").send(&node).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "after {status}");
        assert!(!response.headers.contains_key("retry-after"));
    }
}

/// Guards against a server that repeats the id of each request, as a proxy may: that alone does not make
/// it the target.
#[tokio::test(flavor = "multi_thread")]
async fn echo_without_signature() {
    let site = TestSite::start(0, 1);
    let foreign = ForeignServer::start(ForeignAnswer::Echoed("404 Not Found")).await;
    register(&site, "s9", foreign.address);
    let nodes = [site.node("n0").await, site.node("n1").await];
    let statuses = look_up(&nodes, 60, Duration::from_millis(5)).await;
    assert_eq!(count_not(&statuses, StatusCode::OK), 0, "{statuses:?}");
    assert!(foreign.request_count() > 0);
}

/// Guards against a target that gets no requests for as long as a foreign server at its address asked for.
#[tokio::test(flavor = "multi_thread")]
async fn backoff_of_foreign_server() {
    let site = TestSite::start(0, 0);
    let foreign = ForeignServer::start(ForeignAnswer::UnknownRejection).await;
    register(&site, "s0", foreign.address);
    let node = site.node("n0").await;
    let response = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    // The target is asked for its id, too, and the foreign server responds alike.
    wait_for("two questions for the id", || foreign.request_count() > 2).await;
    assert!(node.log_lines(&["backoff_stated"]).is_empty());
}

async fn send_each(node: &TestNode, path: &str, count: usize) -> Vec<TestResponse> {
    let mut responses = Vec::new();
    for number in 0..count {
        let request = TestRequest::new(path, &format!("e-{number}"));
        responses.push(request.send(node).await);
    }
    responses
}

/// Guards against bytes before a response that read as a status: a payment that ran was answered with 400.
#[tokio::test(flavor = "multi_thread")]
async fn status_before_response() {
    let site = TestSite::start(0, 0);
    let answer = ForeignAnswer::BeforeAnswer("400 Bad Request");
    let server = ForeignServer::start(answer).await;
    register(&site, "s0", server.address);
    let node = site.node("n0").await;
    for response in send_each(&node, "/pay/fee", 4).await {
        let status = response.status;
        assert!(!status.is_client_error(), "{status}");
        assert!(status != StatusCode::OK || response.text == "receipt");
    }
}

/// Guards against a 408 that a target's HTTP library sends on a kept connection when the next request
/// arrives: look-ups are sent again, and a payment has an unknown outcome.
#[tokio::test(flavor = "multi_thread")]
async fn status_on_kept_connection() {
    let site = TestSite::start(0, 1);
    let answer = ForeignAnswer::AfterAnswer("408 Request Timeout");
    let server = ForeignServer::start(answer).await;
    register(&site, "s9", server.address);
    let node = site.node("n0").await;
    for response in send_each(&node, "/look/x", 40).await {
        assert_eq!(response.status, StatusCode::OK);
    }
    for response in send_each(&node, "/pay/fee", 40).await {
        let status = response.status;
        assert!(!status.is_client_error(), "{status}");
    }
}

/// Guards against a foreign server that is tried again and again with requests of clients: payments that may not
/// be repeated end without a known outcome each time.
#[tokio::test(flavor = "multi_thread")]
async fn foreign_server_avoided() {
    let site = TestSite::start(0, 2);
    let foreign = ForeignServer::start(ForeignAnswer::Status("404 Not Found")).await;
    register(&site, "s9", foreign.address);
    let nodes = [site.node("n0").await, site.node("n1").await];
    let mut failed = 0;
    let until = Instant::now() + Duration::from_secs(7);
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        let request = TestRequest::new("/pay/fee", &format!("p-{number}"));
        let response = request.send(&nodes[number % 2]).await;
        failed += usize::from(response.status != StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // Each node has to learn it once.
    assert!(failed <= nodes.len(), "{failed} payments");
}

/// Guards against a target that is avoided for good after its address was in other hands for a while.
#[tokio::test(flavor = "multi_thread")]
async fn target_used_again() {
    let mut site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let ended = site.instances.remove(0);
    let address = ended.address();
    drop(ended);
    let foreign = ForeignServer::start_at(address, ForeignAnswer::Status("404 Not Found")).await;
    let response = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    drop(foreign);
    let _back = ForeignServer::start_at(address, ForeignAnswer::Target("s0", "receipt")).await;
    let mut served = false;
    let until = Instant::now() + Duration::from_secs(6);
    for number in 0.. {
        if served || Instant::now() > until {
            break;
        }
        let request = TestRequest::new("/look/x", &format!("b-{number}"));
        served = request.send(&node).await.status == StatusCode::OK;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(served);
    wait_for("the end of the suspicion", || {
        !node.log_lines(&["target_back"]).is_empty()
    })
    .await;
}

/// Guards against a request whose id is no identifier of ours, as some tracing systems make them: its answer
/// named the same id and counted as that of another request.
#[tokio::test(flavor = "multi_thread")]
async fn unusual_request_id() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    for id in ["Root=1-6789/abc+d=", "id with spaces", "\"quoted\""] {
        let response = TestRequest::new("/pay/fee", id).send(&node).await;
        assert_eq!(response.status, StatusCode::OK, "{id}");
        assert_eq!(site.plain_runs(id), 1);
    }
}
