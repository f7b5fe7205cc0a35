//! Normal operation: replicas form, streams and calls are served, and configuration changes apply.

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
    let payment = TestRequest::new("/pay/fee", "p-1").send(&node).await;
    assert_eq!(
        (payment.status, payment.text.as_str()),
        (StatusCode::OK, "receipt")
    );
    let runs: usize = site
        .instances
        .iter()
        .map(|instance| instance.execution_count("p-1"))
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
    let unauthorized = TestRequest::new("/look/x", "r-2").header("x-credential", "wrong");
    assert_eq!(
        unauthorized.send(&node).await.status,
        StatusCode::UNAUTHORIZED
    );
    let large = TestRequest::new("/look/x", "r-3").body(vec![b'x'; 5000]);
    assert_eq!(
        large.send(&node).await.status,
        StatusCode::PAYLOAD_TOO_LARGE
    );
    let lookup = TestRequest::new("/look/x", "r-4").header("x-tenant", "somebody-else");
    assert_eq!(lookup.send(&node).await.status, StatusCode::OK);
    let seen = site.instances[0].received_headers().join("\n");
    assert!(seen.contains("\"x-tenant\": \"desk\""), "{seen}");
    assert!(!seen.contains("x-credential"), "{seen}");
}

/// An API key is removed, and an older copy of the configuration is written afterwards. The older
/// one must be ignored, so that the removed key stays invalid.
#[tokio::test(flavor = "multi_thread")]
async fn newer_configuration_stays() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let mut newer = configuration(7);
    newer["tenants"] = json!([{"name": "desk", "api_keys": ["new-key"]}]);
    site.configure(&newer);
    node.wait_log_line(&["config_applied", "\"revision\":7"])
        .await;
    site.configure(&configuration(3));
    // Rewriting the newer version gives a change that follows the older one.
    site.configure(&newer);
    let old_key = TestRequest::new("/look/x", "r-1");
    wait_for("the change feed to be read", || site.store.calls() > 8).await;
    assert_eq!(old_key.send(&node).await.status, StatusCode::UNAUTHORIZED);
    let new_key = old_key.header("x-credential", "new-key");
    assert_eq!(new_key.send(&node).await.status, StatusCode::OK);
}

/// Several nodes plan for the same hosts at the same time. Each replica is formed once, and no host
/// is in two replicas.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_planners() {
    let site = TestSite::start(9, 0);
    let first = site.node("n0").await;
    let _second = site.node("n1").await;
    let _third = site.node("n2").await;
    site.wait_until_serving(2).await;
    drop(first);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}
