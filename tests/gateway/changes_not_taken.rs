//! Each change that a node reads and does not take has a line and is counted by its reason, so that an operator gets
//! from a wrong refusal to the change that is not in force.

use crate::node::{TestNode, wait_for};
use crate::site::{TestSite, configuration};

async fn wait_count(node: &TestNode, table: &str, reason: &str) {
    let labels = [format!("table=\"{table}\""), format!("reason=\"{reason}\"")];
    for _ in 0..100 {
        let metrics = node.metrics().await;
        let mut lines = metrics.lines().filter(|line| line.contains("not_taken"));
        if lines.any(|line| labels.iter().all(|label| line.contains(label.as_str()))) {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("no count of {table} {reason}");
}

/// Guards against a configuration that is not in force at a node without a count that says why.
#[tokio::test(flavor = "multi_thread")]
async fn counted_by_reason() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    site.configure(&configuration(7));
    node.wait_log_line(&["config_applied", "\"revision\":7"])
        .await;
    site.configure(&configuration(6));
    node.wait_log_line(&["config_regressed", "\"revision\":6"])
        .await;
    wait_count(&node, "op", "older_revision").await;
    site.store.put("op", "config", b"{");
    node.wait_log_line(&["config_unreadable"]).await;
    wait_count(&node, "op", "unreadable").await;
    site.store.put("servers", "odd-entry", b"{");
    node.wait_log_line(&["entry_unreadable", "odd-entry"]).await;
    wait_count(&node, "servers", "unreadable").await;
}

/// Guards against an era that begins unseen: each rise has one line at each node, with what was known.
#[tokio::test(flavor = "multi_thread")]
async fn rise_has_one_line() {
    let site = TestSite::start(0, 1);
    let nodes = [site.node("n0").await, site.node("n1").await];
    let copy = site.store.copy();
    site.configure(&configuration(7));
    for node in &nodes {
        node.wait_log_line(&["config_applied", "\"revision\":7"])
            .await;
    }
    let lost = site.store.restore(&copy);
    site.store.write_again(&lost, &["op"]);
    for node in &nodes {
        wait_for("the line of the rise", || {
            !node
                .log_lines(&["store_era_began", "\"revision\":7"])
                .is_empty()
        })
        .await;
        let rises = node.log_lines(&["store_era_began", "\"revision\":7"]);
        assert_eq!(rises.len(), 1, "{rises:?}");
        assert!(node.metrics().await.contains("store_restored"));
    }
}
