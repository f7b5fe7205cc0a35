//! What a restored store shows again of what had ended before it was copied back.

use std::time::Duration;

use tokio::time::Instant;

use crate::drill_clients::{ask_during, is_served};
use crate::evacuated_site::{end_evacuation, evacuate, wait_begun, wait_ended};
use crate::node::TestNode;
use crate::site::TestSite;
use crate::store_copy::{AWAY, KNOWN, use_versions};
use crate::store_copy_rows::TARGET_HEARTBEAT;

/// Time after a restore at which the store is restored again: what it shows is still held back.
const SECOND_DRILL: Duration = Duration::from_secs(3);

/// Time for which nodes could act on what a restored store shows.
const REACTION_TIME: Duration = Duration::from_secs(6);

/// Guards against an evacuation that had ended before the drill and comes into force again: clients are rejected until the
/// operator has removed it again.
#[tokio::test(flavor = "multi_thread")]
async fn ended_evacuation_stays_ended() {
    let site = TestSite::start_bounded(1);
    let nodes = [site.node("n0").await, site.node("n1").await];
    let nodes: Vec<&TestNode> = nodes.iter().collect();
    evacuate(&site, "z0");
    wait_begun(&nodes, "z0").await;
    let copy = site.store.copy();
    use_versions(&site);
    end_evacuation(&site, "z0");
    wait_ended(&nodes, "z0").await;
    let judged = Instant::now();
    let script = async {
        drop(site.store.drill(&copy, AWAY).await);
        tokio::time::sleep(TARGET_HEARTBEAT).await;
        end_evacuation(&site, "z0");
        tokio::time::sleep(REACTION_TIME).await;
    };
    let (answers, ()) = ask_during(&nodes, &[KNOWN], script).await;
    answers.assert_since(KNOWN, judged, nodes.len(), is_served);
}

/// Guards against an evacuation that stays without effect since a restored store shows it: nobody removes it.
#[tokio::test(flavor = "multi_thread")]
async fn standing_evacuation_begins() {
    let site = TestSite::start_bounded(1);
    let nodes = [site.node("n0").await, site.node("n1").await];
    let nodes: Vec<&TestNode> = nodes.iter().collect();
    evacuate(&site, "z0");
    wait_begun(&nodes, "z0").await;
    let copy = site.store.copy();
    use_versions(&site);
    end_evacuation(&site, "z0");
    wait_ended(&nodes, "z0").await;
    drop(site.store.drill(&copy, AWAY).await);
    tokio::time::sleep(REACTION_TIME).await;
    for node in nodes {
        assert_eq!(node.log_lines(&["evacuation_begun", "z0"]).len(), 2);
    }
}

/// Guards against a target that had left and gets requests again, since what the first of two drills showed counts
/// some seconds after it, though the second one has just shown it again.
#[tokio::test(flavor = "multi_thread")]
async fn left_before_two_drills() {
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
        tokio::time::sleep(SECOND_DRILL).await;
        drop(site.store.drill(&copy, AWAY).await);
        tokio::time::sleep(TARGET_HEARTBEAT * 2).await;
        site.store.remove("servers", "s0");
        tokio::time::sleep(REACTION_TIME).await;
    };
    let (answers, ()) = ask_during(&nodes, &[KNOWN], script).await;
    answers.assert_since(KNOWN, judged, nodes.len(), is_served);
    let asked = answers.all.iter().filter(|answer| answer.sent >= judged);
    let runs: usize = asked
        .map(|answer| site.instances[0].execution_count(&answer.id))
        .sum();
    assert_eq!(runs, 0);
}
