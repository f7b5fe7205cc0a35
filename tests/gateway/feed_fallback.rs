//! Nodes that follow another failure domain while the store turns them away.

use std::time::Duration;

use standin::site::{GateMode, StoreGate};

use crate::site::{TestSite, configuration};

/// Changes of the configuration after the store has taken a node back, and the pause before each.
const CHANGES: u64 = 5;
const PAUSE: Duration = Duration::from_millis(700);

/// Guards against a node that follows another failure domain for good after the store has turned it away once: what it
/// knows is older than it need be, and costs traffic between failure domains.
#[tokio::test(flavor = "multi_thread")]
async fn store_read_again() {
    let site = TestSite::start_bounded(1);
    let others = [site.node("n0").await, site.node("n1").await];
    let gate = StoreGate::open(&site.store).expect("a port is free");
    let node = site.node_in("z1", "n2", gate.address).await;
    for node in others.iter().chain([&node]) {
        node.wait_log_line(&["nodes_counted", "\"nodes\":3"]).await;
    }
    gate.set(GateMode::TurnsAway);
    for lane in ["\"lane\":\"urgent\"", "\"lane\":\"bulk\""] {
        node.wait_log_line(&["feed_followed", lane]).await;
    }
    tokio::time::sleep(PAUSE).await;
    gate.set(GateMode::Open);
    node.wait_log_line(&["store_regained"]).await;
    tokio::time::sleep(PAUSE * 3).await;
    let mut sources = Vec::new();
    for revision in 10..10 + CHANGES {
        site.configure(&configuration(revision));
        let applied = format!("\"revision\":{revision},");
        let line = node.wait_log_line(&["config_applied", &applied]).await;
        sources.push(line["source"].as_str().map(str::to_owned));
        tokio::time::sleep(PAUSE).await;
    }
    let from_store = Some("store".to_owned());
    assert!(
        sources.iter().all(|source| *source == from_store),
        "{sources:?}"
    );
}
