//! Hosts follow the work that clients ask for, as one node decides for all.

use std::time::Duration;

use serde_json::json;

use crate::node::{TestNode, wait_for};
use crate::request::TestRequest;
use crate::site::{TestSite, configuration};

/// Hosts of the fabric domain, enough for several replicas of each model.
const HOSTS: usize = 24;

/// Time for which a decision must not be taken back: several reviews.
const CALM_TIME: Duration = Duration::from_secs(4);

/// A site with a model of two hosts beside the one of four, and equal shares.
fn two_model_site() -> TestSite {
    let site = TestSite::start(HOSTS, 0);
    let mut config = configuration(2);
    let models = &mut config["services"][0]["engine"]["models"];
    models[0]["share"] = json!(0.5);
    let mut small = models[0].clone();
    small["name"] = json!("guide");
    small["size"] = json!(2);
    models
        .as_array_mut()
        .expect("models are a list")
        .push(small);
    site.configure(&config);
    site
}

fn small_replicas(site: &TestSite) -> usize {
    let serving = site.groups.serving();
    serving.iter().filter(|members| members.len() == 2).count()
}

/// Asks for the small model at all nodes until one of them decides; returns the index of that node.
async fn ask_until_decided(nodes: &[TestNode]) -> usize {
    for number in 0.. {
        for node in nodes {
            let request = TestRequest::chat(&format!("c-{number}")).header("x-model", "guide");
            request.send(node).await;
        }
        let decides = |node: &TestNode| !node.log_lines(&["shares_decided"]).is_empty();
        if let Some(index) = nodes.iter().position(decides) {
            return index;
        }
    }
    unreachable!("requests are sent until a node decides");
}

/// Two nodes, after one of them has decided and hosts have followed; returns the small model's replicas
/// before, and the index of the node that decided.
async fn decided(site: &TestSite) -> (Vec<TestNode>, usize, usize) {
    let nodes = vec![site.node("n0").await, site.node("n1").await];
    wait_for("a replica of each model", || {
        small_replicas(site) > 0 && small_replicas(site) < site.groups.serving().len()
    })
    .await;
    // The layout stands once nothing has changed for some reviews.
    tokio::time::sleep(CALM_TIME).await;
    let before = small_replicas(site);
    let decider = ask_until_decided(&nodes).await;
    wait_for("more replicas of the small model", || {
        small_replicas(site) > before
    })
    .await;
    (nodes, before, decider)
}

/// Guards against shares that nobody adjusts when the work shifts, and against a decision that is lost
/// with the node that made it: hosts would move back under their clients.
#[tokio::test(flavor = "multi_thread")]
async fn decision_outlives_its_node() {
    let site = two_model_site();
    let (mut nodes, before, decider) = decided(&site).await;
    drop(nodes.remove(decider));
    nodes.push(site.restarted_node("n2").await);
    tokio::time::sleep(CALM_TIME).await;
    assert!(small_replicas(&site) > before);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}

/// Guards against a decision that is lost with all nodes: each wrote its first heartbeat over the row
/// that told of it, and hosts moved back to the published shares.
#[tokio::test(flavor = "multi_thread")]
async fn decision_outlives_all_nodes() {
    let site = two_model_site();
    let (nodes, before, _) = decided(&site).await;
    drop(nodes);
    let _restarted = [
        site.restarted_node("n0").await,
        site.restarted_node("n1").await,
    ];
    tokio::time::sleep(CALM_TIME).await;
    assert!(small_replicas(&site) > before);
    assert_eq!(site.groups.violations(), Vec::<String>::new());
}
