//! What a restored store shows again of what had ended before it was copied back.

use std::time::Duration;

use tokio::time::Instant;

use crate::drill_clients::{ask_during, is_served};
use crate::node::TestNode;
use crate::site::TestSite;
use crate::store_copy::{AWAY, KNOWN, use_versions};
use crate::store_copy_rows::TARGET_HEARTBEAT;

/// Time after a restore at which the store is restored again: what it shows is still held back.
const SECOND_DRILL: Duration = Duration::from_secs(3);

/// Time for which nodes could act on what a restored store shows.
const REACTION_TIME: Duration = Duration::from_secs(6);

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
