//! All nodes stop at once and start again.

use http::StatusCode;

use crate::request::TestRequest;
use crate::site::TestSite;

/// All nodes are killed while replicas serve. A new node adopts the existing replicas without
/// forming any again, and serves as soon as it has read the store.
#[tokio::test(flavor = "multi_thread")]
async fn replicas_adopted() {
    let site = TestSite::start(5, 1);
    let first = site.node("n0").await;
    let second = site.node("n1").await;
    site.wait_until_serving(1).await;
    let before = site.groups.serving();
    drop((first, second));
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let response = TestRequest::chat("c-1").send(&node).await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert!(node.log_lines(&["step_taken", "form helper"]).is_empty());
    assert_eq!(site.groups.serving(), before);
}
