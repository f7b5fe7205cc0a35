//! A calm day: replicas form, streams and calls are answered, a configuration comes into force.

use http::StatusCode;
use serde_json::json;

use crate::node::wait_for;
use crate::request::{TestRequest, complete_stream};
use crate::site::{TestSite, configuration};

#[tokio::test(flavor = "multi_thread")]
async fn stream_and_call() {
    let site = TestSite::start(5, 2);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let stream = TestRequest::chat("c-1").send(&node).await;
    assert_eq!(stream.status, StatusCode::OK, "{stream:?}");
    assert!(stream.complete);
    assert_eq!(stream.text, complete_stream(12));
    assert_eq!(stream.headers["x-response-signature"], "signed");
    let paid = TestRequest::new("/pay/fee", "p-1").send(&node).await;
    assert_eq!(
        (paid.status, paid.text.as_str()),
        (StatusCode::OK, "receipt")
    );
    let runs: usize = site
        .instances
        .iter()
        .map(|instance| instance.runs("p-1"))
        .sum();
    assert_eq!(runs, 1);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn routes_and_keys() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let unknown = TestRequest::new("/nowhere/x", "r-1").send(&node).await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    let stranger = TestRequest::new("/look/x", "r-2").header("x-credential", "wrong");
    assert_eq!(stranger.send(&node).await.status, StatusCode::UNAUTHORIZED);
    let large = TestRequest::new("/look/x", "r-3").body(vec![b'x'; 5000]);
    assert_eq!(
        large.send(&node).await.status,
        StatusCode::PAYLOAD_TOO_LARGE
    );
    let looked = TestRequest::new("/look/x", "r-4").header("x-tenant", "somebody-else");
    assert_eq!(looked.send(&node).await.status, StatusCode::OK);
    let seen = site.instances[0].seen().join("\n");
    assert!(seen.contains("\"x-tenant\": \"desk\""), "{seen}");
    assert!(!seen.contains("x-credential"), "{seen}");
}

/// An operator takes a key away and moves a route; an older copy of the configuration turns up
/// afterwards. A caller whose key is gone must not be let in again.
#[tokio::test(flavor = "multi_thread")]
async fn newer_configuration_stays() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let mut newer = configuration(7);
    newer["tenants"] = json!([{"name": "desk", "api_keys": ["new-key"]}]);
    site.configure(&newer);
    node.wait_line(&["config_applied", "\"revision\":7"]).await;
    site.configure(&configuration(3));
    // A later version shows that the older one was read and not taken.
    site.configure(&newer);
    let old_key = TestRequest::new("/look/x", "r-1");
    wait_for("the feed", || site.store.calls() > 8).await;
    assert_eq!(old_key.send(&node).await.status, StatusCode::UNAUTHORIZED);
    let new_key = old_key.header("x-credential", "new-key");
    assert_eq!(new_key.send(&node).await.status, StatusCode::OK);
}

/// Several nodes plan at the same moment for the same hosts. Each replica forms once, and no host
/// is in two.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_share_work() {
    let site = TestSite::start(9, 0);
    let first = site.node("n0").await;
    let _second = site.node("n1").await;
    let _third = site.node("n2").await;
    site.wait_serving(2).await;
    drop(first);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}
