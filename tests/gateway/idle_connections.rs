//! Connections that clients keep open between requests.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;

use crate::request::{TestRequest, read_response};
use crate::site::{TestSite, configuration};

/// Configured idle timeout of client connections, in milliseconds.
const IDLE_MS: u64 = 1500;

/// Events of a stream that lasts two seconds, longer than the idle timeout.
const STREAM_EVENTS: usize = 50;

/// Pause between two requests, shorter than the idle timeout.
const REQUEST_INTERVAL: Duration = Duration::from_millis(900);

/// A stream takes longer than the idle timeout, and the next request follows on the same connection
/// within the timeout. If idle time were measured from the start of the first request, the
/// connection would be closed under the second.
#[tokio::test(flavor = "multi_thread")]
async fn idle_since_last_response() {
    let site = TestSite::start(4, 1);
    let mut config = configuration(2);
    config["limits"]["idle_timeout_ms"] = json!(IDLE_MS);
    site.configure(&config);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.groups.set_events(STREAM_EVENTS);
    let (mut connection, response) = TestRequest::chat("c-1").begin(&node).await;
    let response = read_response(response).await;
    assert!(response.complete);
    tokio::time::sleep(REQUEST_INTERVAL).await;
    let again = TestRequest::new("/look/x", "l-1")
        .begin_on(&mut connection)
        .await;
    let again = again.expect("response on the idle connection");
    assert_eq!(again.status(), StatusCode::OK);
}
