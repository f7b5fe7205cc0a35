//! Graceful shutdown.

use std::time::Duration;

use http::StatusCode;

use standin::site::ServiceMode;

use crate::request::{TestRequest, complete_stream, read_response};
use crate::site::TestSite;

/// Events of a stream that lasts about two seconds, so that one started late can't finish in time.
const STREAM_EVENTS: usize = 50;

/// Interval between two requests; the one replica has room for their streams.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// How long the process is paused while a client connects.
const PAUSED_TIME: Duration = Duration::from_millis(20);

/// A node gets SIGTERM during a stream. It reports itself as not ready at once, so that the load
/// balancer uses other nodes; the stream is completed, and the process exits with 0.
#[tokio::test(flavor = "multi_thread")]
async fn running_stream_completes() {
    let site = TestSite::start(4, 1);
    let mut node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.groups.set_events(40);
    let (_connection, response) = TestRequest::chat("c-1").begin(&node).await;
    node.signal("TERM");
    node.wait_ready(false).await;
    // A client that still connects is served and told to close the connection.
    let late = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(late.status, StatusCode::OK);
    assert_eq!(late.headers["connection"], "close");
    let response = read_response(response).await;
    assert!(response.complete);
    assert_eq!(response.text, complete_stream(40));
    assert_eq!(node.wait_exit().await, Some(0));
    assert_eq!(node.log_lines(&["node_stopping"]).len(), 2);
}

/// During a rolling restart of a failure domain the load balancer has too few ready nodes and keeps
/// connecting to those that shut down. Every request must get either a complete response or a 503
/// with a `Retry-After`; no stream may be truncated, however late it started.
#[tokio::test(flavor = "multi_thread")]
async fn late_requests_complete_or_rejected() {
    let site = TestSite::start(4, 1);
    let mut node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.groups.set_events(STREAM_EVENTS);
    node.signal("TERM");
    let mut streams = Vec::new();
    for number in 0.. {
        if !node.is_running() {
            break;
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
        let request = TestRequest::chat(&format!("c-{number}"));
        // Pausing the process simulates a busy host: it accepts the connection when the request has
        // already arrived.
        node.signal("STOP");
        let resume = async {
            tokio::time::sleep(PAUSED_TIME).await;
            node.signal("CONT");
        };
        let (began, ()) = tokio::join!(request.try_begin(&node), resume);
        let Some((connection, response)) = began else {
            continue;
        };
        if response.status() != StatusCode::OK {
            assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
            assert!(response.headers().contains_key("retry-after"));
            continue;
        }
        // The connection stays open until the response was read.
        streams.push(tokio::spawn(async move {
            let response = read_response(response).await;
            drop(connection);
            response
        }));
    }
    assert_eq!(node.wait_exit().await, Some(0));
    assert!(!streams.is_empty(), "first requests are still served");
    let rejected = node.log_lines(&["gateway_refused", "node is shutting down"]);
    assert!(!rejected.is_empty(), "last requests are rejected");
    for stream in streams {
        let response = stream.await.expect("stream task doesn't panic");
        assert!(response.complete, "truncated: {response:?}");
        assert_eq!(response.text, complete_stream(STREAM_EVENTS));
    }
}

/// A client connects when the process is about to exit. Either its payment is executed and it gets
/// the receipt, or the connection closes before any target sees the payment; a payment without a
/// receipt would look lost.
#[tokio::test(flavor = "multi_thread")]
async fn last_request_answered() {
    let site = TestSite::start(0, 1);
    let mut node = site.node("n0").await;
    site.instances[0].set_mode(ServiceMode::Slow);
    node.signal("TERM");
    for number in 0.. {
        if !node.is_running() {
            break;
        }
        let id = format!("p-{number}");
        // Short enough to finish before the process must exit.
        let request = TestRequest::new("/pay/x", &id).header("x-deadline-ms", "1000");
        let Some((_connection, response)) = request.try_begin(&node).await else {
            assert_eq!(
                site.instances[0].execution_count(&id),
                0,
                "{id} was executed without a response"
            );
            continue;
        };
        let response = read_response(response).await;
        let is_rejected = response.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(
            is_rejected || response.status == StatusCode::OK,
            "{response:?}"
        );
    }
    assert_eq!(node.wait_exit().await, Some(0));
}

/// SIGHUP validates the settings file again and logs the result; the node stays ready.
#[tokio::test(flavor = "multi_thread")]
async fn settings_reread() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    node.signal("HUP");
    let line = node.wait_log_line(&["settings_reread"]).await;
    assert_eq!(line["outcome"], "usable");
    assert!(node.is_ready().await);
}
