//! Responses that have neither a length nor chunks and end with their connection.

use std::time::Duration;

use http::StatusCode;
use standin::site::ServiceMode;

use crate::request::{TestRequest, complete_stream, read_response};
use crate::site::TestSite;

/// Streams and calls whose end is that of their connection are passed on whole.
#[tokio::test(flavor = "multi_thread")]
async fn whole_responses_passed_on() {
    let site = TestSite::start(9, 2);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_unframed(true);
    site.set_modes(ServiceMode::Unframed);
    for index in 0..4 {
        let stream = TestRequest::chat(&format!("c-{index}")).send(&node).await;
        assert_eq!(stream.status, StatusCode::OK);
        assert_eq!(stream.text, complete_stream(12));
        assert!(stream.complete);
        let call = TestRequest::new("/look/x", &format!("l-{index}"));
        let call = call.send(&node).await;
        assert_eq!(call.status, StatusCode::OK);
        assert_eq!(call.text, "receipt");
    }
}

/// An engine dies between two events of such a stream and closes its connections in order. The stream looks
/// complete, and its caller would take half an answer for the whole one.
#[tokio::test(flavor = "multi_thread")]
async fn dead_engine_leaves_no_whole_stream() {
    let site = TestSite::start(9, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_unframed(true);
    site.groups.set_events(40);
    for index in 0..2 {
        let id = format!("c-{index}");
        let (_connection, response) = TestRequest::chat(&id).begin(&node).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let serving = site.groups.serving();
        let mut heads = serving.iter().map(|members| &members[0]);
        let head = heads.find(|head| site.groups.ran_at(head, &id));
        site.groups.crash(head.expect("a head runs the request"));
        let response = read_response(response).await;
        let whole = response.text == complete_stream(40);
        assert_eq!(response.complete, whole, "{}", response.text);
        node.wait_log_line(&["target_ended"]).await;
        if index == 0 {
            assert!(whole, "the stream goes on at the other replica");
        }
    }
}

/// An engine that leaves accepts no new connections and ends what it has begun. Its streams are whole, and
/// callers would lose a ready answer if they were not passed on.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_ends_whole_stream() {
    let site = TestSite::start(9, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_unframed(true);
    site.groups.set_events(40);
    let (_connection, response) = TestRequest::chat("c-0").begin(&node).await;
    let head = site.replica_running("c-0")[0].clone();
    site.groups.drain(&head);
    site.stop_listening(&head);
    let response = read_response(response).await;
    assert!(response.complete);
    assert_eq!(response.text, complete_stream(40));
    assert!(node.log_lines(&["target_ended"]).is_empty());
}

/// An engine dies between two events of such a stream while it drains. It had begun to leave in order, and yet its
/// stream is not whole.
#[tokio::test(flavor = "multi_thread")]
async fn draining_engine_dies() {
    let site = TestSite::start(9, 0);
    let node = site.node("n0").await;
    node.wait_replicas(2).await;
    site.groups.set_unframed(true);
    site.groups.set_events(40);
    site.groups.set_event_shape(0, Duration::from_millis(40));
    let (_connection, response) = TestRequest::chat("c-0").begin(&node).await;
    let head = site.replica_running("c-0")[0].clone();
    site.groups.drain(&head);
    tokio::time::sleep(Duration::from_millis(700)).await;
    site.groups.crash(&head);
    let response = read_response(response).await;
    let whole = response.text == complete_stream(40);
    assert_eq!(response.complete, whole, "{}", response.text);
}

/// An instance dies in the middle of such a response to a call. Its caller must not get half of the response
/// as the whole one.
#[tokio::test(flavor = "multi_thread")]
async fn dead_instance_leaves_no_whole_call() {
    let site = TestSite::start(0, 2);
    let node = site.node("n0").await;
    site.set_modes(ServiceMode::DiesUnframed);
    let response = TestRequest::new("/pay/x", "p-0").send(&node).await;
    assert_eq!(
        response.status,
        StatusCode::BAD_GATEWAY,
        "{}",
        response.text
    );
    let response = TestRequest::new("/look/x", "l-0").send(&node).await;
    assert_ne!(response.status, StatusCode::OK, "{}", response.text);
}
