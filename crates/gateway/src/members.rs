//! Counting the nodes that live.
//!
//! The count sets each node's part of the budgets that all share, and the order in which nodes
//! act for a fabric domain. Nothing that must hold rests on it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::{StoreClient, StoreError};
use serde::{Deserialize, Serialize};

use crate::node::GatewayNode;

/// Table with a row for each node.
const NODES_TABLE: &str = "nodes";

/// Pause between two heartbeats of a small deployment. Each costs a write and a read of the store.
const HEARTBEAT_PAUSE: Duration = Duration::from_secs(4);

/// Nodes up to which the pause stays; beyond them it grows in proportion. Each heartbeat reads a row
/// of about 100 bytes a node: at 410 nodes 1.6 KB a second instead of 10.
const PAUSE_NODES: usize = 64;

/// Pause while the node counts nobody yet.
const FIRST_PAUSE: Duration = Duration::from_millis(700);

/// Pauses without a heartbeat after which a node counts as gone; two may be lost.
const MAX_PAUSES: f64 = 2.75;

/// Longest wait for the store.
const CALL_LIMIT: Duration = Duration::from_secs(1);

#[derive(Debug, Serialize, Deserialize)]
struct NodeRow {
    /// The store's clock at the heartbeat, in milliseconds.
    clock_ms: u64,
    /// Where the node hears hints.
    #[serde(default)]
    hints: Option<SocketAddr>,
    /// Whether the node suspects a request of ending targets.
    #[serde(default)]
    suspects: bool,
}

/// Writes heartbeats and counts those of others.
pub async fn count_nodes(node: Rc<GatewayNode>) {
    let mut client = StoreClient::new(node.settings.store);
    let mut clock = None;
    loop {
        let counted = beat(&node, &mut client, clock).await;
        let pause = match &counted {
            Ok(_) if clock.is_some() => heartbeat_pause(node.node_count()),
            Ok(_) | Err(_) => FIRST_PAUSE,
        };
        if let Ok(now) = counted {
            clock = Some((now, node.now()));
            node.set_store_clock(now);
        }
        tokio::time::sleep(pause).await;
    }
}

fn heartbeat_pause(nodes: usize) -> Duration {
    let over = nodes.max(PAUSE_NODES);
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    HEARTBEAT_PAUSE.mul_f64(count(over) / count(PAUSE_NODES))
}

type KnownClock = (Duration, Duration);

async fn beat(
    node: &GatewayNode,
    client: &mut StoreClient,
    clock: Option<KnownClock>,
) -> Result<Duration, StoreError> {
    // The first heartbeat follows the first read, which tells the store's clock.
    if let Some((store, own)) = clock {
        let now = store + node.now().saturating_sub(own);
        let row = NodeRow {
            clock_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            hints: node.hints.address(),
            suspects: !node.blames_nobody(),
        };
        let value =
            serde_json::to_vec(&row).map_err(|error| StoreError::Malformed(error.to_string()))?;
        let name = node.settings.node.as_str();
        client
            .put_row(NODES_TABLE, name, &value, CALL_LIMIT)
            .await?;
    }
    let page = client.read_table(NODES_TABLE, CALL_LIMIT).await?;
    let oldest = heartbeat_pause(page.rows.len()).mul_f64(MAX_PAUSES);
    let mut live = Vec::new();
    let mut peers = Vec::new();
    let mut others_suspect = false;
    for row in &page.rows {
        let parsed = row
            .value
            .as_ref()
            .map(|value| serde_json::from_slice::<NodeRow>(value));
        let Some(Ok(parsed)) = parsed else { continue };
        let age = page
            .clock
            .saturating_sub(Duration::from_millis(parsed.clock_ms));
        if age > oldest {
            continue;
        }
        live.push(row.key.clone());
        let is_other = row.key != node.settings.node.as_str();
        peers.extend(parsed.hints.filter(|_| is_other));
        others_suspect |= is_other && parsed.suspects;
    }
    // The datagrams that told it were lost.
    if others_suspect && node.blames_nobody() {
        node.ends_written.notify_one();
    }
    node.hints.set_peers(peers);
    live.sort();
    node.set_nodes(live);
    Ok(page.clock)
}
