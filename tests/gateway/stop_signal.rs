//! Graceful stops.

use http::StatusCode;

use crate::call::{TestCall, read_rest, whole_stream};
use crate::kit::TestSite;

/// A node is stopped in the middle of an answer. It is not ready at once, so the balancer sends
/// new callers elsewhere; the answer ends whole, and the process ends by itself.
#[tokio::test(flavor = "multi_thread")]
async fn stream_ends_whole() {
    let site = TestSite::start(4, 1).await;
    let mut node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.groups.set_events(40);
    let (_link, answer) = TestCall::chat("c-1").begin(&node).await;
    node.signal("TERM");
    node.wait_ready(false).await;
    // A caller that has not heard of it yet is still answered, and told to leave.
    let late = TestCall::new("/look/x", "l-1").send(&node).await;
    assert_eq!(late.status, StatusCode::OK);
    assert_eq!(late.headers["connection"], "close");
    let answer = read_rest(answer).await;
    assert!(answer.whole);
    assert_eq!(answer.text, whole_stream(40));
    assert_eq!(node.wait_end().await, Some(0));
    assert_eq!(node.lines(&["node_stopping"]).len(), 2);
}

/// The settings file changes while the process runs.
#[tokio::test(flavor = "multi_thread")]
async fn settings_reread() {
    let site = TestSite::start(0, 1).await;
    let node = site.node("n0").await;
    node.signal("HUP");
    let line = node.wait_line(&["settings_reread"]).await;
    assert_eq!(line["outcome"], "usable");
    assert!(node.is_ready().await);
}
