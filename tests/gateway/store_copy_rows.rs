//! The rows of nodes, targets and replicas after the store has come back from a copy that lacks them, or that holds
//! what was true before.

use std::time::Duration;

use http::StatusCode;
use serde_json::{Value, json};
use standin::site::{GateMode, SiteInstance, StoreGate, StoreMode};
use tokio::time::Instant;

use crate::drill_clients::{Answers, ask_during, is_served};
use crate::node::{TestNode, wait_for};
use crate::request::{TestRequest, TestResponse};
use crate::site::{CONFIG_BOUND, TestSite, configuration, with_route};
use crate::store_copy::{ADDED, ASK_TIME, AWAY, KNOWN, use_versions};

/// Table with the heartbeats of nodes.
const NODES_TABLE: &str = "nodes";

/// Time after the return within which all rows of nodes are written again.
const REWRITE_BOUND: Duration = Duration::from_secs(2);

/// Interval of the heartbeats of targets.
pub const TARGET_HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time after the return after which the platform removes the entries of targets that are gone.
const EXPIRY: Duration = TARGET_HEARTBEAT.saturating_mul(3);

/// Time for which nodes could act on what a restored store shows.
const REACTION_TIME: Duration = Duration::from_secs(6);

/// Nodes of a site whose heartbeats are lost.
const MANY_NODES: usize = 12;

/// Ids of the requests that a client sent since a moment.
fn ids_since(answers: &Answers, from: Instant) -> Vec<&str> {
    let asked = answers.all.iter().filter(|answer| answer.sent >= from);
    asked.map(|answer| answer.id.as_str()).collect()
}

fn runs_of(instance: &SiteInstance, ids: &[&str]) -> usize {
    ids.iter().map(|id| instance.execution_count(id)).sum()
}

/// Guards against heartbeats that stay lost: nodes that count too few others share the retries and the rates of
/// targets wrongly.
#[tokio::test(flavor = "multi_thread")]
async fn lost_heartbeats() {
    let site = TestSite::start_bounded(2);
    let copy = site.store.copy();
    let mut nodes = Vec::new();
    for index in 0..MANY_NODES {
        let domain = format!("z{}", index % 3);
        let name = format!("n{index}");
        nodes.push(site.node_in(&domain, &name, site.store_address()).await);
    }
    let count = format!("\"nodes\":{MANY_NODES}}}");
    for node in &nodes {
        node.wait_log_line(&["nodes_counted", &count]).await;
    }
    let nodes: Vec<&TestNode> = nodes.iter().collect();
    let started = Instant::now();
    let script = async {
        let lost = site.store.drill(&copy, AWAY).await;
        let returned = Instant::now();
        site.store.write_again(&lost, &["op", "servers"]);
        assert_eq!(site.store.keys(NODES_TABLE), Vec::<String>::new());
        wait_for("all heartbeats", || {
            site.store.keys(NODES_TABLE).len() == MANY_NODES
        })
        .await;
        let elapsed = returned.elapsed();
        tokio::time::sleep(REWRITE_BOUND).await;
        elapsed
    };
    let (answers, elapsed) = ask_during(&nodes, &[KNOWN], script).await;
    assert!(elapsed <= REWRITE_BOUND, "{elapsed:?}");
    answers.assert_since(KNOWN, started, nodes.len(), is_served);
    for node in nodes {
        // A node that had counted fewer others would have said so.
        let counted = node.log_lines(&["nodes_counted"]);
        let last = counted.last().expect("nodes were counted");
        assert_eq!(last["nodes"], json!(MANY_NODES));
    }
}

/// Guards against a target that had left and whose entry the copy shows again: requests to it would fail, or reach
/// whatever has its address now.
#[tokio::test(flavor = "multi_thread")]
async fn left_before_drill() {
    let site = TestSite::start_bounded(3);
    let nodes = [site.node("n0").await, site.node("n1").await];
    let nodes: Vec<&TestNode> = nodes.iter().collect();
    let copy = site.store.copy();
    use_versions(&site);
    site.store.remove("servers", "s0");
    for node in &nodes {
        node.wait_log_line(&["\"s0\""]).await;
    }
    tokio::time::sleep(TARGET_HEARTBEAT).await;
    let judged = Instant::now();
    let script = async {
        drop(site.store.drill(&copy, AWAY).await);
        assert!(site.store.keys("servers").contains(&"s0".to_owned()));
        tokio::time::sleep(EXPIRY).await;
        site.store.remove("servers", "s0");
        tokio::time::sleep(REACTION_TIME).await;
    };
    let (answers, ()) = ask_during(&nodes, &[KNOWN], script).await;
    answers.assert_since(KNOWN, judged, nodes.len(), is_served);
    let ids = ids_since(&answers, judged);
    assert_eq!(runs_of(&site.instances[0], &ids), 0);
    assert!(runs_of(&site.instances[1], &ids) > 0);
}

/// Guards against a target that drains and gets requests again, since the copy's entry is from before it said so.
#[tokio::test(flavor = "multi_thread")]
async fn drained_before_drill() {
    let site = TestSite::start_bounded(3);
    let nodes = [site.node("n0").await, site.node("n1").await];
    let nodes: Vec<&TestNode> = nodes.iter().collect();
    let copy = site.store.copy();
    use_versions(&site);
    let mut entry = json!({
        "service": "records", "address": site.instances[0].address().to_string(), "zone": "z0", "version": "v1",
        "slots": 6, "state": "draining", "cold_remaining_ms": 0, "sequence": 2,
    });
    put_entry(&site, "s0", &entry);
    tokio::time::sleep(CONFIG_BOUND).await;
    let judged = Instant::now();
    let script = async {
        drop(site.store.drill(&copy, AWAY).await);
        tokio::time::sleep(TARGET_HEARTBEAT).await;
        entry["sequence"] = json!(3);
        put_entry(&site, "s0", &entry);
        tokio::time::sleep(REACTION_TIME).await;
    };
    let (answers, ()) = ask_during(&nodes, &[KNOWN], script).await;
    answers.assert_since(KNOWN, judged, nodes.len(), is_served);
    let ids = ids_since(&answers, judged);
    assert_eq!(runs_of(&site.instances[0], &ids), 0);
    assert!(runs_of(&site.instances[1], &ids) > 0);
}

fn put_entry(site: &TestSite, id: &str, entry: &Value) {
    site.store.put("servers", id, entry.to_string().as_bytes());
}

/// Guards against a node that is cut off from the store during the drill and after it, follows others, and drops what
/// they pass on since it knows higher versions.
async fn cut_off_during_drill(mode: GateMode) {
    let site = TestSite::start_bounded(2);
    let others = [site.node("n0").await, site.node("n1").await];
    let gate = StoreGate::open(&site.store).expect("a port is free");
    let cut_off = site.node_in("z1", "n2", gate.address).await;
    let nodes: Vec<&TestNode> = others.iter().chain([&cut_off]).collect();
    for node in &nodes {
        node.wait_log_line(&["nodes_counted", "\"nodes\":3"]).await;
    }
    site.configure(&configuration(2));
    let copy = site.store.copy();
    use_versions(&site);
    site.configure(&configuration(5));
    for node in &nodes {
        node.wait_log_line(&["config_applied", "\"revision\":5,"])
            .await;
    }
    let lost_version = site.store.version();
    gate.set(mode);
    let started = Instant::now();
    let script = async {
        tokio::time::sleep(CONFIG_BOUND).await;
        let lost = site.store.drill(&copy, AWAY).await;
        site.store.write_again(&lost, &["op", "servers"]);
        tokio::time::sleep(CONFIG_BOUND * 2).await;
        site.configure(&with_route(9, "/added/"));
        assert!(site.store.version() < lost_version);
        let due = Instant::now() + CONFIG_BOUND;
        tokio::time::sleep_until(due + ASK_TIME).await;
        due
    };
    let (answers, due) = ask_during(&nodes, &[KNOWN, ADDED], script).await;
    answers.assert_since(KNOWN, started, nodes.len(), is_served);
    answers.assert_since(ADDED, due, nodes.len(), is_served);
    gate.set(GateMode::Open);
    cut_off.wait_log_line(&["store_regained"]).await;
}

/// See above; the store turns the node away.
#[tokio::test(flavor = "multi_thread")]
async fn turned_away_during_drill() {
    cut_off_during_drill(GateMode::TurnsAway).await;
}

/// See above; the store is silent.
#[tokio::test(flavor = "multi_thread")]
async fn silent_during_drill() {
    cut_off_during_drill(GateMode::Silent).await;
}

/// Chats at two nodes until a script ends; all must be served.
async fn chat_during<T>(nodes: &[TestNode], script: impl Future<Output = T>) -> T {
    let over = tokio::sync::Notify::new();
    let chats = async {
        let mut responses: Vec<TestResponse> = Vec::new();
        for number in 0.. {
            let id = format!("drill-{number}");
            let request = TestRequest::chat(&id);
            tokio::select! {
                () = over.notified() => break,
                response = request.send(&nodes[number % nodes.len()]) => responses.push(response),
            }
        }
        responses
    };
    let scripted = async {
        let result = script.await;
        over.notify_one();
        result
    };
    let (responses, result) = tokio::join!(chats, scripted);
    assert!(!responses.is_empty());
    for response in &responses {
        assert_eq!(response.status, StatusCode::OK, "{}", response.text);
        assert!(response.complete);
    }
    result
}

/// Guards against a replica that is taken apart, or whose hosts are taken for free, since the restored store has
/// neither its row nor the entries of its members.
#[tokio::test(flavor = "multi_thread")]
async fn lost_replica_row() {
    let mut site = TestSite::start(0, 0);
    let copy = site.store.copy();
    for index in 0..5 {
        site.add_engine(&format!("e{index}"));
    }
    let nodes = [site.node("n0").await, site.node("n1").await];
    for node in &nodes {
        node.wait_replicas(1).await;
    }
    let serving = site.groups.serving();
    let formed: Vec<_> = nodes
        .iter()
        .map(|node| node.log_lines(&["step_taken", "form"]).len())
        .collect();
    chat_during(&nodes, async {
        let lost = site.store.drill(&copy, AWAY).await;
        tokio::time::sleep(TARGET_HEARTBEAT).await;
        site.store.write_again(&lost, &["op", "servers"]);
        tokio::time::sleep(REACTION_TIME).await;
    })
    .await;
    assert_eq!(site.groups.serving(), serving);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
    for (node, before) in nodes.iter().zip(formed) {
        assert_eq!(node.log_lines(&["step_taken", "form"]).len(), before);
    }
}

/// Guards against a replica that can't be formed again after the drill, since its epoch would be below those that its
/// hosts have seen.
#[tokio::test(flavor = "multi_thread")]
async fn new_replica_after_drill() {
    let mut site = TestSite::start(5, 0);
    let copy = site.store.copy();
    use_versions(&site);
    let node = site.node("n0").await;
    node.wait_replicas(1).await;
    let lost = site.store.drill(&copy, AWAY).await;
    site.store.write_again(&lost, &["op", "servers"]);
    node.wait_log_line(&["store_regained"]).await;
    let member = site.groups.serving()[0][1].clone();
    site.kill_engine(&member);
    // The loss is only noticed by a request that runs into it.
    drop(TestRequest::chat("c-1").send(&node).await);
    site.wait_serving_without(&member, 1).await;
    node.wait_replicas(1).await;
    let response = TestRequest::chat("c-2").send(&node).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// Guards against nodes that all stop and start during the drill, and then take a replica apart that the store knows
/// nothing of, or form one anew with an epoch from before.
#[tokio::test(flavor = "multi_thread")]
async fn restart_during_drill() {
    let mut site = TestSite::start(5, 0);
    let copy = site.store.copy();
    use_versions(&site);
    let stopped = [site.node("n0").await, site.node("n1").await];
    for node in &stopped {
        node.wait_replicas(1).await;
    }
    let serving = site.groups.serving();
    site.store.set_mode(StoreMode::Away);
    drop(stopped);
    let address = site.store_address();
    let started = [
        site.unready_node_in("z0", "n0", address, false).await,
        site.unready_node_in("z0", "n1", address, false).await,
    ];
    let lost = site.store.restore(&copy);
    site.store.write_again(&lost, &["op", "servers"]);
    for node in &started {
        node.wait_ready(true).await;
        node.wait_replicas(1).await;
    }
    chat_during(&started, tokio::time::sleep(REACTION_TIME)).await;
    assert_eq!(site.groups.serving(), serving);
    let member = serving[0][1].clone();
    site.kill_engine(&member);
    // The loss is only noticed by a request that runs into it.
    drop(TestRequest::chat("c-1").send(&started[0]).await);
    site.wait_serving_without(&member, 1).await;
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// Guards against a replica that is never opened, or whose hosts join another one, since its row is lost after the
/// joins and before it is opened.
#[tokio::test(flavor = "multi_thread")]
async fn row_lost_before_open() {
    let site = TestSite::start(4, 0);
    let copy = site.store.copy();
    let nodes = [site.unready_node("n0").await, site.unready_node("n1").await];
    wait_for("all joins", || site.groups.all_joined()).await;
    assert!(site.groups.serving().is_empty());
    let lost = site.store.restore(&copy);
    site.store.write_again(&lost, &["op", "servers"]);
    site.wait_until_serving(1).await;
    for node in &nodes {
        node.wait_ready(true).await;
        node.wait_replicas(1).await;
    }
    let serving = site.groups.serving();
    chat_during(&nodes, tokio::time::sleep(REACTION_TIME)).await;
    assert_eq!(site.groups.serving(), serving);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}
