//! Heartbeats that count the live gateway nodes.
//!
//! The count sets each node's share of the budgets shared by all nodes, and the order in which
//! nodes act for a fabric domain. No safety property depends on it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::{StoreClient, StoreError};
use serde::{Deserialize, Serialize};

use crate::node::GatewayNode;

/// Table with one row per node.
const NODES_TABLE: &str = "nodes";

/// Heartbeat interval in a small deployment. Each heartbeat costs one write and one read of the
/// store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(4);

/// Number of nodes up to which the heartbeat interval is constant; above it, the interval grows in
/// proportion. Each heartbeat reads about 100 bytes per node: at 410 nodes this reduces 10 KB per
/// second to 1.6.
const BASE_INTERVAL_NODES: usize = 64;

/// Heartbeat interval until the first count succeeds.
const INITIAL_INTERVAL: Duration = Duration::from_millis(700);

/// Number of intervals without a heartbeat after which a node counts as gone; two heartbeats may be
/// lost.
const EXPIRY_INTERVALS: f64 = 2.75;

/// Timeout for a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Serialize, Deserialize)]
struct NodeRow {
    /// Store clock at the time of the heartbeat, in milliseconds.
    clock_ms: u64,
    /// Address at which the node receives hints; `None` if it receives none.
    #[serde(default)]
    hints: Option<SocketAddr>,
    /// Whether the node suspects a request of crashing targets.
    #[serde(default)]
    suspects: bool,
}

/// Writes heartbeats and counts those of other nodes; never returns.
pub async fn run_heartbeats(node: Rc<GatewayNode>) {
    let mut client = StoreClient::new(node.settings.store);
    let mut clock = None;
    let mut is_announced = false;
    loop {
        let result = send_heartbeat(&node, &mut client, clock).await;
        if result.is_ok() && clock.is_some() && !is_announced {
            is_announced = true;
            // Other nodes can announce crash records to this one from now on. Those that were
            // written since its first read were announced without it.
            node.crash_records_changed.notify_one();
        }
        let interval = match &result {
            Ok(_) if clock.is_some() => heartbeat_interval(node.node_count()),
            Ok(_) | Err(_) => INITIAL_INTERVAL,
        };
        if let Ok(now) = result {
            clock = Some((now, node.now()));
            node.set_store_clock(now);
        }
        tokio::time::sleep(interval).await;
    }
}

fn heartbeat_interval(nodes: usize) -> Duration {
    let scaled = nodes.max(BASE_INTERVAL_NODES);
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    HEARTBEAT_INTERVAL.mul_f64(count(scaled) / count(BASE_INTERVAL_NODES))
}

type ClockSample = (Duration, Duration);

async fn send_heartbeat(
    node: &GatewayNode,
    client: &mut StoreClient,
    clock: Option<ClockSample>,
) -> Result<Duration, StoreError> {
    // The first heartbeat follows the first read, which supplies the store's clock.
    if let Some((store_time, process_time)) = clock {
        let now = store_time + node.now().saturating_sub(process_time);
        let row = NodeRow {
            clock_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            hints: node.hints.address(),
            suspects: !node.suspects_no_request(),
        };
        let value =
            serde_json::to_vec(&row).map_err(|error| StoreError::Malformed(error.to_string()))?;
        let name = node.settings.node.as_str();
        client
            .put_row(NODES_TABLE, name, &value, STORE_TIMEOUT)
            .await?;
    }
    read_heartbeats(node, client).await
}

/// Counts the live nodes and updates the addresses for hints; returns the store's clock.
pub async fn read_heartbeats(
    node: &GatewayNode,
    client: &mut StoreClient,
) -> Result<Duration, StoreError> {
    let page = client.read_table(NODES_TABLE, STORE_TIMEOUT).await?;
    let max_age = heartbeat_interval(page.rows.len()).mul_f64(EXPIRY_INTERVALS);
    let mut live_nodes = Vec::new();
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
        if age > max_age {
            continue;
        }
        live_nodes.push(row.key.clone());
        let is_other = row.key != node.settings.node.as_str();
        peers.extend(parsed.hints.filter(|_| is_other));
        others_suspect |= is_other && parsed.suspects;
    }
    // The datagrams that announced the crash records were lost.
    if others_suspect && node.suspects_no_request() {
        node.crash_records_changed.notify_one();
    }
    node.hints.set_peers(peers);
    live_nodes.sort();
    node.set_live_nodes(live_nodes);
    Ok(page.clock)
}
