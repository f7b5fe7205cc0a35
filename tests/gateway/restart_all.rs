//! All nodes end at once and start again.

use http::StatusCode;

use crate::request::TestRequest;
use crate::site::TestSite;

/// All nodes lose power while replicas serve. The new ones find the replicas as they stand: none
/// is formed again, and callers are served as soon as a node has read the store.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_taken_over() {
    let site = TestSite::start(5, 1);
    let first = site.node("n0").await;
    let second = site.node("n1").await;
    site.wait_serving(1).await;
    let before = site.groups.serving();
    drop((first, second));
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let answer = TestRequest::chat("c-1").send(&node).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert!(node.lines(&["step_taken", "form helper"]).is_empty());
    assert_eq!(site.groups.serving(), before);
}
