//! An operator that writes a configuration again after the store was restored may give it a number that is already in
//! force. The document that the store holds counts.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;

use crate::node::{TestNode, wait_for};
use crate::request::TestRequest;
use crate::site::{TestSite, configuration, with_route};

/// Time after which every node acts on a confirmed configuration.
const CONFIG_TIME: Duration = Duration::from_secs(2);

async fn ask(node: &TestNode, path: &str) -> StatusCode {
    TestRequest::new(path, "n-1").send(node).await.status
}

/// Guards against a route that no node serves, since another document with the same number is in force.
#[tokio::test(flavor = "multi_thread")]
async fn second_document_served() {
    let site = TestSite::start(0, 1);
    let nodes = [site.node("n0").await, site.node("n1").await];
    site.configure(&configuration(7));
    for node in &nodes {
        node.wait_log_line(&["config_applied", "\"revision\":7"])
            .await;
    }
    site.configure(&with_route(7, "/added/"));
    tokio::time::sleep(CONFIG_TIME).await;
    for node in &nodes {
        assert_eq!(ask(node, "/added/x").await, StatusCode::OK);
    }
}

/// Guards against a revoked key that is accepted, since another document with the same number is in force.
#[tokio::test(flavor = "multi_thread")]
async fn second_document_revokes() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.configure(&configuration(7));
    node.wait_log_line(&["config_applied", "\"revision\":7"])
        .await;
    let mut config = configuration(7);
    config["tenants"][0]["api_keys"] = json!(["another-key"]);
    site.configure(&config);
    tokio::time::sleep(CONFIG_TIME).await;
    assert_eq!(ask(&node, "/look/x").await, StatusCode::UNAUTHORIZED);
}

/// Guards against a configuration that counts as changed each time its row is written again.
#[tokio::test(flavor = "multi_thread")]
async fn same_document_applied_once() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.configure(&configuration(7));
    node.wait_log_line(&["config_applied", "\"revision\":7"])
        .await;
    site.configure(&configuration(7));
    site.configure(&configuration(8));
    let applied = || node.log_lines(&["config_applied"]);
    wait_for("the next configuration", || {
        !node
            .log_lines(&["config_applied", "\"revision\":8"])
            .is_empty()
    })
    .await;
    let sevens = node.log_lines(&["config_applied", "\"revision\":7"]);
    assert_eq!(sevens.len(), 1, "{:?}", applied());
}
