//! The store drops its history, and answers reads of whole tables from a moment before a change. What such a read lacks
//! may have been written since.

use std::time::Duration;

use http::StatusCode;
use standin::site::StoreMode;
use tokio::time::Instant;

use crate::drill_clients::{ask_during, is_served};
use crate::site::{CONFIG_BOUND, TestSite, configuration, with_route};
use crate::store_copy::{ADDED, KNOWN, references, three_nodes};

/// Time for which reads are stale.
const STALE_TIME: Duration = Duration::from_secs(6);

/// Reads within [`STALE_TIME`], and more.
const STALE_READS: u32 = 10_000;

/// Time within which a node takes a change once reads are current.
const CURRENT_TIME: Duration = Duration::from_secs(3);

/// Time for which the store is away, so that all calls that wait for changes end.
const AWAY: Duration = Duration::from_millis(200);

/// Guards against refusals that look proved since a read from before a change counts as proof that there is none.
#[tokio::test(flavor = "multi_thread")]
async fn no_refusal_by_stale_reads() {
    let site = TestSite::start_bounded(2);
    let nodes = three_nodes(&site).await;
    let nodes = references(&nodes);
    let copy = site.store.copy();
    site.configure(&configuration(20));
    for node in &nodes {
        node.wait_log_line(&["config_applied", "\"revision\":20"])
            .await;
    }
    let script = async {
        site.store.read_stale(&copy, STALE_READS);
        site.store.set_mode(StoreMode::Away);
        tokio::time::sleep(AWAY).await;
        site.configure(&with_route(21, "/added/"));
        let due = Instant::now() + CONFIG_BOUND;
        site.store.compact();
        site.store.set_mode(StoreMode::Healthy);
        tokio::time::sleep(STALE_TIME).await;
        site.store.read_stale(&copy, 0);
        tokio::time::sleep(CURRENT_TIME).await;
        let current = Instant::now();
        tokio::time::sleep(Duration::from_millis(300)).await;
        (due, current)
    };
    let (answers, (due, current)) = ask_during(&nodes, &[KNOWN, ADDED], script).await;
    let is_refused = |status: Option<StatusCode>| status == Some(StatusCode::NOT_FOUND);
    answers.assert_since(ADDED, due, nodes.len(), |status| !is_refused(status));
    answers.assert_since(ADDED, current, nodes.len(), is_served);
}
