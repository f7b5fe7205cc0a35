//! Limits that engines state for all nodes together, counted at the engines.

use std::time::{Duration, Instant};

use http::StatusCode;
use standin::site::{GateMode, StoreGate};

use crate::node::TestNode;
use crate::request::{TestRequest, read_response};
use crate::retry_totals::gated_nodes;
use crate::site::TestSite;

/// Requests a second that the engine in need takes.
const LIMIT: f64 = 2.2;

/// Window in which arrivals count, and how many are allowed in it.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED: f64 = 1.5 * 4.0 * LIMIT + 5.0;

/// Time after which all nodes that were told must follow.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Clients of each node, and the pause between two requests of one.
const CLIENTS: usize = 3;
const PAUSE: Duration = Duration::from_millis(100);

/// Sends chats at all nodes for a while; returns how many were answered whole, and how many were not.
async fn send_chats(
    nodes: &[(TestNode, StoreGate)],
    name: &str,
    lasting: Duration,
) -> (usize, usize) {
    let until = Instant::now() + lasting;
    let clients = (0..CLIENTS).flat_map(|client| {
        let nodes = nodes.iter().enumerate();
        nodes.map(move |(index, (node, _))| async move {
            let mut counts = (0, 0);
            for number in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let request = TestRequest::chat(&format!("{name}-{index}-{client}-{number}"));
                let (_connection, response) = request.begin(node).await;
                let response = read_response(response).await;
                let is_whole = response.status == StatusCode::OK && response.complete;
                counts.0 += usize::from(is_whole);
                counts.1 += usize::from(!is_whole);
                tokio::time::sleep(PAUSE).await;
            }
            counts
        })
    });
    let counts = futures::future::join_all(clients).await;
    counts
        .into_iter()
        .fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

fn assert_within_limit(site: &TestSite, head: &str, since: Instant) {
    let most = site.groups.arrivals.most_at(head, since, WINDOW);
    let most = f64::from(u32::try_from(most).expect("few requests"));
    assert!(most <= ALLOWED, "{most} requests in a window");
}

/// Guards against a head that is sent as much as before after it has stated a limit, by all nodes together;
/// and against one that is left out for good after it has stopped stating it.
#[tokio::test(flavor = "multi_thread")]
async fn limit_held_and_dropped() {
    let site = TestSite::start(14, 0);
    let nodes = gated_nodes(&site).await;
    let head = site.groups.serving()[0][0].clone();
    site.groups.set_limit(&head, Some(LIMIT));
    let stated = Instant::now();
    let (_, failed) = send_chats(&nodes, "limited", Duration::from_secs(12)).await;
    assert_eq!(failed, 0, "the other replicas have room");
    assert_within_limit(&site, &head, stated + LEARNING_TIME);
    site.groups.set_limit(&head, None);
    send_chats(&nodes, "learning", Duration::from_secs(4)).await;
    let dropped = Instant::now();
    send_chats(&nodes, "free", Duration::from_secs(4)).await;
    let most = site.groups.arrivals.most_at(&head, dropped, WINDOW);
    assert!(most > 25, "only {most} requests in a window");
}

/// Guards against a limit that nodes exceed while they don't see each other, start again or can't reach the
/// store.
#[tokio::test(flavor = "multi_thread")]
async fn limit_held_without_store() {
    let site = TestSite::start(14, 0);
    let mut nodes = gated_nodes(&site).await;
    let head = site.groups.serving()[0][0].clone();
    site.groups.set_limit(&head, Some(LIMIT));
    let stated = Instant::now();
    send_chats(&nodes, "before", Duration::from_secs(3)).await;
    for (_, gate) in nodes.iter().skip(1).step_by(2) {
        gate.set(GateMode::TurnsAway);
    }
    send_chats(&nodes, "apart", Duration::from_secs(6)).await;
    for (_, gate) in &nodes {
        gate.set(GateMode::Silent);
    }
    send_chats(&nodes, "away", Duration::from_secs(6)).await;
    for (_, gate) in &nodes {
        gate.set(GateMode::Open);
    }
    drop(nodes.remove(0));
    nodes.insert(0, site.gated_node("z0", "n0").await);
    send_chats(&nodes, "again", Duration::from_secs(6)).await;
    assert_within_limit(&site, &head, stated + LEARNING_TIME);
}
