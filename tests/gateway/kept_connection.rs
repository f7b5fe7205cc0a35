//! Connections that callers keep between requests.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;

use crate::request::{TestRequest, read_response};
use crate::site::{TestSite, configuration};

/// Time for which the configuration lets a connection be idle, in milliseconds.
const IDLE_MS: u64 = 1500;

/// Events of a stream that lasts two seconds, longer than a connection may be idle.
const STREAM_EVENTS: usize = 50;

/// Pause between two requests, within what the configuration allows.
const CALLER_PAUSE: Duration = Duration::from_millis(900);

/// A caller reads a stream that takes longer than a connection may be idle, thinks for a second, and
/// asks again on the same connection. The pause is within what is allowed, so the request must be
/// answered; where the time counts from the first request, the connection is closed under it.
#[tokio::test(flavor = "multi_thread")]
async fn idle_from_answer() {
    let site = TestSite::start(4, 1);
    let mut config = configuration(2);
    config["limits"]["idle_timeout_ms"] = json!(IDLE_MS);
    site.configure(&config);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.groups.set_events(STREAM_EVENTS);
    let (mut link, answer) = TestRequest::chat("c-1").begin(&node).await;
    let answer = read_response(answer).await;
    assert!(answer.complete);
    tokio::time::sleep(CALLER_PAUSE).await;
    let again = TestRequest::new("/look/x", "l-1").begin_on(&mut link).await;
    let again = again.expect("an answer on the kept connection");
    assert_eq!(again.status(), StatusCode::OK);
}
