//! A store that is away, turns the node away, or forgets its history.

use http::StatusCode;
use standin::site::StoreMode;

use crate::kit::{TestCall, TestSite, configuration, wait_for};

/// The store falls silent. The node serves on with what it knows, and takes what changed once
/// the store is back.
#[tokio::test(flavor = "multi_thread")]
async fn silent_store() {
    let site = TestSite::start(0, 1).await;
    let node = site.node("n0").await;
    site.store.set_mode(StoreMode::Silent);
    node.wait_line(&["store_lost"]).await;
    let answer = TestCall::new("/look/x", "l-1").send(&node).await;
    assert_eq!(answer.status, StatusCode::OK);
    site.configure(&configuration(8));
    site.store.set_mode(StoreMode::Sound);
    node.wait_line(&["store_regained"]).await;
    node.wait_line(&["config_applied", "\"revision\":8"]).await;
}

/// A node starts while the store refuses calls. It knows no configuration: it is not ready, and
/// whoever asks is told to come back rather than that there is no such route.
#[tokio::test(flavor = "multi_thread")]
async fn start_without_store() {
    let site = TestSite::start(0, 1).await;
    site.store.set_mode(StoreMode::Busy);
    let node = site.unready_node("n0").await;
    node.wait_line(&["store_lost"]).await;
    assert!(!node.is_ready().await);
    let answer = TestCall::new("/look/x", "l-1").send(&node).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    site.store.set_mode(StoreMode::Sound);
    node.wait_ready(true).await;
}

/// The store drops its history between two calls. The node reads the tables whole again and
/// misses nothing.
#[tokio::test(flavor = "multi_thread")]
async fn forgotten_history() {
    let site = TestSite::start(0, 1).await;
    let node = site.node("n0").await;
    site.configure(&configuration(5));
    site.store.compact();
    node.wait_line(&["config_applied", "\"revision\":5"]).await;
    wait_for("a second whole read", || {
        node.lines(&["registry_read"]).len() > 1
    })
    .await;
    let answer = TestCall::new("/look/x", "l-1").send(&node).await;
    assert_eq!(answer.status, StatusCode::OK);
}
