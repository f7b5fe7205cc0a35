//! The store is unreachable, rejects calls or has compacted its history.

use std::time::{Duration, Instant};

use http::StatusCode;
use standin::site::StoreMode;

use crate::node::{TestNode, wait_for};
use crate::request::TestRequest;
use crate::site::{TestSite, configuration};

/// Time for which queries are counted.
const QUERY_WINDOW: Duration = Duration::from_secs(4);

/// Query rounds of the first node for a fabric domain that needs changes.
const FIRST_NODE_ROUNDS_PER_S: f64 = 4.0;

/// Probes of a suspected host by each node.
const SUSPECT_PROBES_PER_S: f64 = 1.5;

/// The store stops responding. The node serves with the state it has, and applies the missed
/// changes once the store is back.
#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_store() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.store.set_mode(StoreMode::Unresponsive);
    node.wait_log_line(&["store_lost"]).await;
    let response = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(response.status, StatusCode::OK);
    site.configure(&configuration(8));
    site.store.set_mode(StoreMode::Healthy);
    node.wait_log_line(&["store_regained"]).await;
    node.wait_log_line(&["config_applied", "\"revision\":8"])
        .await;
}

/// A node starts while the store rejects calls. Without a configuration it is not ready, and
/// requests get 503 rather than 404.
#[tokio::test(flavor = "multi_thread")]
async fn start_without_store() {
    let site = TestSite::start(0, 1);
    site.store.set_mode(StoreMode::Unavailable);
    let node = site.unready_node("n0").await;
    node.wait_log_line(&["store_lost"]).await;
    assert!(!node.is_ready().await);
    let response = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    site.store.set_mode(StoreMode::Healthy);
    node.wait_ready(true).await;
}

/// The store compacts its history between two calls. The node reads the tables again completely and
/// misses no change.
#[tokio::test(flavor = "multi_thread")]
async fn compacted_history() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.configure(&configuration(5));
    site.store.compact();
    node.wait_log_line(&["config_applied", "\"revision\":5"])
        .await;
    wait_for("a second whole read", || {
        node.log_lines(&["registry_read"]).len() > 1
    })
    .await;
    let response = TestRequest::new("/look/x", "l-1").send(&node).await;
    assert_eq!(response.status, StatusCode::OK);
}

/// A replica loses a host while the store is unreachable, so the registry does not show it. The
/// node queries the hosts directly and forms a new replica before the store is back.
#[tokio::test(flavor = "multi_thread")]
async fn repair_without_store() {
    let mut site = TestSite::start(5, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.store.set_mode(StoreMode::Unresponsive);
    node.wait_log_line(&["store_lost", "servers"]).await;
    let member = site.groups.serving()[0][1].clone();
    site.kill_engine(&member);
    // The loss is only noticed by a request that runs into it.
    let first = TestRequest::chat("c-1").send(&node).await;
    assert!(first.status == StatusCode::OK || first.status.is_server_error());
    wait_for("a new replica", || {
        let serving = site.groups.serving();
        serving.len() == 1 && !serving[0].contains(&member)
    })
    .await;
    node.wait_replicas(1).await;
    let response = TestRequest::chat("c-2").send(&node).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// A node starts after an outage and reads an outdated entry: a host of a working replica seems to
/// be in none. The node queries the hosts before it acts, and the replica stays.
#[tokio::test(flavor = "multi_thread")]
async fn outdated_member_entry() {
    let site = TestSite::start(5, 0);
    let first = site.node("n0").await;
    first.wait_replicas(1).await;
    let serving = site.groups.serving();
    drop(first);
    site.groups.write_stale_entry(&serving[0][2]);
    let node = site.restarted_node("n1").await;
    node.wait_replicas(1).await;
    // Give the planner several rounds to act on the outdated entry.
    wait_for("some store calls", || site.store.calls() > 12).await;
    assert_eq!(site.groups.serving(), serving);
    assert!(node.log_lines(&["step_taken", "form"]).is_empty());
}

/// An outdated entry of a serving head says that it is in no replica, while the store works. Its
/// members must not join another replica under its streams; the head has to leave first.
#[tokio::test(flavor = "multi_thread")]
async fn outdated_head_entry() {
    let site = TestSite::start(6, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let serving = site.groups.serving();
    site.groups.write_stale_entry(&serving[0][0]);
    wait_for("a plan based on the entry", || {
        node.log_lines(&["step_taken", "form helper"]).len() > 1
    })
    .await;
    node.wait_replicas(1).await;
    assert_eq!(site.groups.violations(), Vec::<String>::new());
    assert_eq!(site.groups.serving(), serving);
}

/// Hosts join and open a replica during an outage. The first entries read afterwards predate their
/// joins and name no replica. The hosts must not join another replica while theirs is open, which
/// would stop its streams.
#[tokio::test(flavor = "multi_thread")]
async fn outdated_entries_after_outage() {
    let mut site = TestSite::start(5, 0);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    site.store.set_mode(StoreMode::Unavailable);
    node.wait_log_line(&["store_lost", "servers"]).await;
    let lost = site.groups.serving()[0][1].clone();
    site.kill_engine(&lost);
    // The loss is only noticed by a request that runs into it.
    drop(TestRequest::chat("c-1").send(&node).await);
    site.wait_serving_without(&lost, 1).await;
    let serving = site.groups.serving();
    for member in &serving[0] {
        site.groups.write_stale_entry(member);
    }
    site.store.set_mode(StoreMode::Healthy);
    expect_kept(&site, &node, &serving).await;
}

/// Hosts join a replica, and their entries of before the join are read afterwards. The node must not
/// take them for free, or their replica would never open and no client would be served.
#[tokio::test(flavor = "multi_thread")]
async fn outdated_entries_while_forming() {
    let site = TestSite::start(4, 0);
    site.groups.hold_entries();
    let node = site.node("n0").await;
    wait_for("all joins", || site.groups.all_joined()).await;
    for engine in &site.engines {
        site.groups.write_stale_entry(&engine.id);
    }
    site.wait_until_serving(1).await;
    assert_eq!(node.log_lines(&["step_taken", "form"]).len(), 1);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// A replica loses a host during an outage of the store, and none can replace it. All nodes want to
/// know what its other hosts do. The queries must not grow with the number of nodes, or the hosts of
/// a large deployment would be busy with them for as long as the outage lasts.
#[tokio::test(flavor = "multi_thread")]
async fn queries_shared_by_nodes() {
    let mut site = TestSite::start(4, 0);
    let mut nodes = Vec::new();
    for number in 0..6 {
        nodes.push(site.node(&format!("n{number}")).await);
    }
    for node in &nodes {
        node.wait_replicas(1).await;
        node.wait_log_line(&["nodes_counted", "\"nodes\":6"]).await;
    }
    site.store.set_mode(StoreMode::Unavailable);
    for node in &nodes {
        node.wait_log_line(&["store_lost", "servers"]).await;
    }
    let lost = site.groups.serving()[0][1].clone();
    site.kill_engine(&lost);
    for node in &nodes {
        drop(TestRequest::chat("c-1").send(node).await);
    }
    let (before, started) = (site.groups.report_count(), Instant::now());
    tokio::time::sleep(QUERY_WINDOW).await;
    let count = site.groups.report_count() - before;
    // Twice the rounds of the first node at the three hosts that are left, and the lost one's probes.
    let rounds = started.elapsed().as_secs_f64() * 2.0 * FIRST_NODE_ROUNDS_PER_S;
    let probes = started.elapsed().as_secs_f64() * 6.0 * SUSPECT_PROBES_PER_S;
    let most = rounds * 3.0 + probes;
    assert!(to_f64(count) <= most, "{count} queries, expected {most:.0}");
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Waits for several rounds of planning and checks that the replicas were left alone.
async fn expect_kept(site: &TestSite, node: &TestNode, serving: &[Vec<String>]) {
    node.wait_replicas(serving.len()).await;
    let calls = site.store.calls();
    wait_for("some store calls", || site.store.calls() > calls + 8).await;
    assert_eq!(site.groups.violations(), Vec::<String>::new());
    assert_eq!(site.groups.serving(), serving);
    let response = TestRequest::chat("c-9").send(node).await;
    assert_eq!(response.status, StatusCode::OK);
}
