//! A store that is away, turns the node away, or forgets its history.

use http::StatusCode;
use standin::site::StoreMode;

use crate::node::wait_for;
use crate::request::TestRequest;
use crate::site::{TestSite, configuration};

/// The store falls silent. The node serves on with what it knows, and takes what changed once
/// the store is back.
#[tokio::test(flavor = "multi_thread")]
async fn silent_store() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.store.set_mode(StoreMode::Silent);
    node.wait_line(&["store_lost"]).await;
    let answer = TestRequest::new("/look/x", "l-1").send(&node).await;
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
    let site = TestSite::start(0, 1);
    site.store.set_mode(StoreMode::Busy);
    let node = site.unready_node("n0").await;
    node.wait_line(&["store_lost"]).await;
    assert!(!node.is_ready().await);
    let answer = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    site.store.set_mode(StoreMode::Sound);
    node.wait_ready(true).await;
}

/// The store drops its history between two calls. The node reads the tables whole again and
/// misses nothing.
#[tokio::test(flavor = "multi_thread")]
async fn forgotten_history() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.configure(&configuration(5));
    site.store.compact();
    node.wait_line(&["config_applied", "\"revision\":5"]).await;
    wait_for("a second whole read", || {
        node.lines(&["registry_read"]).len() > 1
    })
    .await;
    let answer = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(answer.status, StatusCode::OK);
}

/// A replica loses a host while the store is away, so nothing is written about it. The nodes ask
/// the hosts themselves: callers are served by the replica's successor before the store is back.
#[tokio::test(flavor = "multi_thread")]
async fn repair_without_store() {
    let mut site = TestSite::start(5, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.store.set_mode(StoreMode::Silent);
    node.wait_line(&["store_lost", "servers"]).await;
    let member = site.groups.serving()[0][1].clone();
    site.kill_engine(&member);
    // The caller whose request meets the loss is what shows it.
    let first = TestRequest::chat("c-1").send(&node).await;
    assert!(first.status == StatusCode::OK || first.status.is_server_error());
    wait_for("a successor", || {
        let serving = site.groups.serving();
        serving.len() == 1 && !serving[0].contains(&member)
    })
    .await;
    node.wait_replicas(1).await;
    let answer = TestRequest::chat("c-2").send(&node).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// A node starts just after an outage and reads entries from before it: one host seems to be in
/// no replica, though it serves in a whole one. The node asks the hosts before it acts, and the
/// replica is not taken apart.
#[tokio::test(flavor = "multi_thread")]
async fn old_entries_doubted() {
    let site = TestSite::start(5, 0);
    let first = site.node("n0").await;
    first.wait_replicas(1).await;
    let serving = site.groups.serving();
    drop(first);
    site.groups.write_old_entry(&serving[0][2]);
    let node = site.restarted_node("n1").await;
    node.wait_replicas(1).await;
    // The plan had several rounds to act on the old entry.
    wait_for("some calls of the store", || site.store.calls() > 12).await;
    assert_eq!(site.groups.serving(), serving);
    assert!(node.lines(&["step_taken", "form"]).is_empty());
}

/// An old entry of a head arrives while the store is sound: the head seems to be in no replica, though
/// it serves. Its members must not join another replica under its streams; the head leaves first.
#[tokio::test(flavor = "multi_thread")]
async fn old_head_entry() {
    let site = TestSite::start(6, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let serving = site.groups.serving();
    site.groups.write_old_entry(&serving[0][0]);
    wait_for("a plan that goes by it", || {
        node.lines(&["step_taken", "form helper"]).len() > 1
    })
    .await;
    node.wait_replicas(1).await;
    assert_eq!(site.groups.violations(), Vec::<String>::new());
    assert_eq!(site.groups.serving(), serving);
}
