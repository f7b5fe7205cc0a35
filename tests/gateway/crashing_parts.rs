//! Requests that share a prompt part crash every engine that begins to answer one; no two are alike.
//!
//! `CRASH_NODES=N` plays the first test with so many nodes.

use std::time::Duration;

use http::StatusCode;
use standin::site::{CRASH_PART, GateMode, StoreGate, StoreMode};

use crate::node::{TestNode, wait_for};
use crate::request::{TestRequest, TestResponse, complete_stream, read_response};
use crate::site::TestSite;

/// Crashes from which on all nodes must know the part within [`PROPAGATION_TIME`].
const KNOWN_CRASHES: usize = 5;

/// Requests with the part that may reach engines after that.
const LATE_REQUESTS: usize = 3;

/// Time after the last of [`KNOWN_CRASHES`], or after the store has become stable, within which all nodes
/// must know of the part.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Pause between two requests with the part.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(300);

/// Engines of a site, in replicas of four.
const ENGINES: usize = 60;

/// Replicas that they form.
const REPLICAS: usize = 14;

/// Part of nearly all prompts.
const POPULAR: &str = "aaaa0001";

/// Nodes of the first test.
fn node_count() -> usize {
    let text = std::env::var("CRASH_NODES").unwrap_or_else(|_| "6".to_owned());
    text.parse().expect("CRASH_NODES is a number")
}

fn with_parts(id: &str, parts: &[&str]) -> TestRequest {
    let mut prefix: Vec<String> = parts.iter().map(|part| format!("{part}:20")).collect();
    prefix.push(format!("{:08x}:10", fingerprint_of(id)));
    let body = format!("request {id}").into_bytes();
    TestRequest::chat(id)
        .header("x-prompt-prefix", &prefix.join(","))
        .body(body)
}

/// A number that differs between requests: the last part is a request's own.
fn fingerprint_of(id: &str) -> u32 {
    id.bytes()
        .fold(7, |hash: u32, byte| hash.wrapping_mul(31) ^ u32::from(byte))
}

/// Sends a request and reads what comes; the connection may break.
async fn send(request: &TestRequest, node: &TestNode) -> Option<TestResponse> {
    let (_connection, response) = request.try_begin(node).await?;
    Some(read_response(response).await)
}

/// A request with the part, which stands first or second.
fn crashing(index: usize) -> TestRequest {
    let id = format!("x-{index}");
    if index.is_multiple_of(2) {
        with_parts(&id, &[POPULAR, CRASH_PART])
    } else {
        with_parts(&id, &[CRASH_PART, POPULAR])
    }
}

async fn start_nodes(site: &TestSite, count: usize) -> Vec<TestNode> {
    let mut nodes = Vec::new();
    for index in 0..count {
        nodes.push(site.node(&format!("n{index}")).await);
    }
    await_nodes(site, &nodes).await;
    nodes
}

async fn await_nodes(site: &TestSite, nodes: &[TestNode]) {
    site.wait_until_serving(REPLICAS).await;
    let counted = format!("\"nodes\":{}", nodes.len());
    for node in nodes {
        node.wait_replicas(REPLICAS).await;
        node.wait_log_line(&["nodes_counted", &counted]).await;
    }
}

/// Sends requests with the part to each node in turn until [`KNOWN_CRASHES`] engines have crashed or two
/// requests in a row have crashed none.
async fn crash_engines(site: &TestSite, nodes: &[TestNode]) {
    let mut without_crash = 0;
    for index in 0..KNOWN_CRASHES * 4 {
        let before = site.groups.crashed();
        drop(send(&crashing(index), &nodes[index % nodes.len()]).await);
        tokio::time::sleep(ARRIVAL_INTERVAL).await;
        without_crash = if site.groups.crashed() > before {
            0
        } else {
            without_crash + 1
        };
        if site.groups.crashed() >= KNOWN_CRASHES || without_crash > 1 {
            break;
        }
    }
    assert!(site.groups.crashed() > 1, "the part crashes engines");
}

/// Sends requests with the part to every node; checks that no more engines crash than the rules allow.
async fn check_barred(site: &TestSite, nodes: &[TestNode]) {
    let crashed = site.groups.crashed();
    for (index, node) in nodes.iter().enumerate() {
        for round in 0..2 {
            let request = crashing(1000 + 2 * index + round);
            let response = send(&request, node).await;
            let status = response.map(|response| response.status);
            assert!(
                status == Some(StatusCode::BAD_REQUEST)
                    || site.groups.crashed() <= crashed + LATE_REQUESTS,
                "node {index} answered {status:?}, {} engines crashed after {crashed}",
                site.groups.crashed()
            );
        }
    }
    assert!(site.groups.crashed() <= crashed + LATE_REQUESTS);
}

/// Sends sound requests with these parts to every node; all must be served at the first attempt.
async fn check_served(nodes: &[TestNode], label: &str, parts: &[&str]) {
    for (index, node) in nodes.iter().enumerate() {
        let request = with_parts(&format!("{label}-{index}"), parts);
        let response = request.send(node).await;
        assert_eq!(response.status, StatusCode::OK, "node {index}");
        assert_eq!(response.text, complete_stream(12), "node {index}");
    }
}

/// Serves sound requests until nodes would know of sound answers if there were any.
async fn serve_for_a_while(nodes: &[TestNode]) {
    for round in 0..4 {
        check_served(nodes, &format!("warm-{round}"), &[POPULAR, "bbbb0001"]).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Six nodes get requests with the part in turn. Once five engines have crashed, callers of every node would
/// go on losing their answers for as long as such requests come. No node may send them on 3 s later, and
/// requests of the same caller with the same other parts are served.
#[tokio::test(flavor = "multi_thread")]
async fn part_barred_everywhere() {
    let site = TestSite::start(ENGINES, 0);
    let nodes = start_nodes(&site, node_count()).await;
    check_served(&nodes, "before", &[POPULAR, "bbbb0001"]).await;
    crash_engines(&site, &nodes).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    println!("{} engines crashed", site.groups.crashed());
    check_barred(&site, &nodes).await;
    check_served(&nodes, "after", &[POPULAR, "bbbb0001"]).await;
    check_served(&nodes, "unseen", &[POPULAR, "cccc0001"]).await;
}

/// A sound part that stands beside the crashing one in every request has no answer of its own to speak for
/// it. Callers whose prompts hold it without the crashing part must be served.
#[tokio::test(flavor = "multi_thread")]
async fn companion_part_served() {
    let site = TestSite::start(ENGINES, 0);
    let nodes = start_nodes(&site, 3).await;
    serve_for_a_while(&nodes).await;
    let crashing = |index: usize| {
        let parts = [POPULAR, "eeee0001", CRASH_PART, "eeee0002"];
        with_parts(&format!("x-{index}"), &parts)
    };
    for index in 0..8 {
        drop(send(&crashing(index), &nodes[index % 3]).await);
        tokio::time::sleep(ARRIVAL_INTERVAL).await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    let crashed = site.groups.crashed();
    assert!(crashed <= KNOWN_CRASHES, "{crashed} engines crashed");
    check_served(&nodes, "one", &[POPULAR, "eeee0001"]).await;
    check_served(&nodes, "other", &["eeee0002"]).await;
    drop(send(&crashing(9), &nodes[0]).await);
    assert_eq!(site.groups.crashed(), crashed);
}

/// Streams that run beside the crashing requests are moved with them, so that their parts are at several
/// crashes as well. Their callers must be served when they come again.
#[tokio::test(flavor = "multi_thread")]
async fn moved_neighbours_served() {
    let site = TestSite::start(ENGINES, 0);
    let nodes = start_nodes(&site, 3).await;
    site.groups.set_events(60);
    let parts: Vec<String> = (0..30).map(|index| format!("f{index:07x}")).collect();
    let neighbour = |index: usize, attempt: &str| {
        with_parts(&format!("n-{index}-{attempt}"), &[POPULAR, &parts[index]])
    };
    let mut running = Vec::new();
    for index in 0..parts.len() {
        running.push(neighbour(index, "a").begin(&nodes[index % 3]).await);
    }
    crash_engines(&site, &nodes).await;
    for (_connection, response) in running {
        drop(read_response(response).await);
    }
    site.groups.set_events(4);
    for index in 0..parts.len() {
        let response = neighbour(index, "b").send(&nodes[index % 3]).await;
        assert_eq!(response.status, StatusCode::OK, "neighbour {index}");
    }
    check_barred(&site, &nodes).await;
}

/// A node that starts after the crashes, and one that starts just before them, bar the part too, or each
/// starting node costs more engines.
#[tokio::test(flavor = "multi_thread")]
async fn starting_nodes_bar() {
    let site = TestSite::start(ENGINES, 0);
    let mut nodes = start_nodes(&site, 6).await;
    let early = site.restarted_node("early").await;
    crash_engines(&site, &nodes).await;
    let late = site.restarted_node("late").await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    nodes.push(early);
    nodes.push(late);
    check_barred(&site, &nodes).await;
}

/// The store is away while engines crash, so no node can tell the others. Once it is back, all must know
/// within 3 s what each has seen.
#[tokio::test(flavor = "multi_thread")]
async fn barred_after_outage() {
    let site = TestSite::start(ENGINES, 0);
    let nodes = start_nodes(&site, 6).await;
    site.store.set_mode(StoreMode::Unavailable);
    crash_engines(&site, &nodes[..2]).await;
    tokio::time::sleep(PROPAGATION_TIME * 2).await;
    site.store.set_mode(StoreMode::Healthy);
    tokio::time::sleep(PROPAGATION_TIME).await;
    check_barred(&site, &nodes).await;
}

async fn start_gated(site: &TestSite, count: usize) -> (Vec<TestNode>, Vec<StoreGate>) {
    let (mut nodes, mut gates) = (Vec::new(), Vec::new());
    for index in 0..count {
        let (node, gate) = site.gated_node("z0", &format!("n{index}")).await;
        nodes.push(node);
        gates.push(gate);
    }
    await_nodes(site, &nodes).await;
    (nodes, gates)
}

/// The store carries out what nodes write, and its responses are lost for a second while engines crash.
#[tokio::test(flavor = "multi_thread")]
async fn barred_despite_lost_responses() {
    let site = TestSite::start(ENGINES, 0);
    let (nodes, gates) = start_gated(&site, 6).await;
    for gate in &gates {
        gate.set(GateMode::LosesResponses);
    }
    let opening = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_secs(1)).await;
        for gate in &gates {
            gate.set(GateMode::Open);
        }
    });
    crash_engines(&site, &nodes).await;
    opening.await.expect("gates open");
    tokio::time::sleep(PROPAGATION_TIME).await;
    check_barred(&site, &nodes).await;
}

/// The store responds after a quarter of a second, fifty times as late as usual.
#[tokio::test(flavor = "multi_thread")]
async fn barred_with_slow_store() {
    let site = TestSite::start(ENGINES, 0);
    let (nodes, gates) = start_gated(&site, 6).await;
    for gate in &gates {
        gate.set(GateMode::Slow(Duration::from_millis(250)));
    }
    crash_engines(&site, &nodes).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    check_barred(&site, &nodes).await;
}

/// Ten engines lose their processes in one moment, each under requests with the same popular part. The part
/// crashed none of them, and callers with it must be served.
#[tokio::test(flavor = "multi_thread")]
async fn common_loss_bars_nothing() {
    let site = TestSite::start(ENGINES, 0);
    let nodes = start_nodes(&site, 3).await;
    check_served(&nodes, "before", &[POPULAR, "bbbb0001"]).await;
    let mut running = Vec::new();
    for index in 0..30 {
        let request = with_parts(&format!("r-{index}"), &[POPULAR, "bbbb0001"]);
        running.push(request.begin(&nodes[index % 3]).await);
    }
    let serving = site.groups.serving();
    for replica in serving.iter().take(8) {
        site.groups.crash(&replica[0]);
    }
    for (_connection, response) in running {
        drop(read_response(response).await);
    }
    wait_for("the crashes to be seen", || {
        nodes
            .iter()
            .any(|node| !node.log_lines(&["target_ended"]).is_empty())
    })
    .await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    check_served(&nodes, "after", &[POPULAR, "bbbb0001"]).await;
    for node in &nodes {
        assert!(node.log_lines(&["request_barred", "part-"]).is_empty());
    }
}

/// A part is barred that operators know to be mended. They delete what the store holds on its crashes, and
/// callers with the part must be served again without a restart.
#[tokio::test(flavor = "multi_thread")]
async fn operators_lift_verdict() {
    let site = TestSite::start(ENGINES, 0);
    let nodes = start_nodes(&site, 3).await;
    crash_engines(&site, &nodes).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    check_barred(&site, &nodes).await;
    for key in site.store.keys("ends") {
        site.store.remove("ends", &key);
    }
    for node in &nodes {
        node.wait_log_line(&["request_barred", "cleared", CRASH_PART])
            .await;
    }
    let crashed = site.groups.crashed();
    drop(send(&crashing(2000), &nodes[0]).await);
    assert!(site.groups.crashed() > crashed, "the request is sent again");
}
