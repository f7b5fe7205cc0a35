//! Heartbeats that count the live gateway nodes.
//!
//! The count sets each node's share of the budgets shared by all nodes, and the order in which
//! nodes act for a fabric domain. No safety property depends on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::{StoreClient, StoreError};
use domain::{FastMap, ModelName, NodeId, ServiceName};
use peers::SharedKey;
use serde::{Deserialize, Serialize};
use serving::feed::{MIN_FOLLOWING_NODES, TableDelta, fallback_sources, feed_order};
use wire::feed::{FeedLane, FeedTable};

use crate::demand::{ReportedDemand, ShareDecision};
use crate::feed::{COUNT_INTERVAL, FeedMember};
use crate::hints::{LoadCollectors, MAX_HINT_PEERS};
use crate::node::GatewayNode;

/// Table with one row per node.
pub const NODES_TABLE: &str = "nodes";

/// Heartbeat interval in a small deployment. Each heartbeat costs one write of the store, and one
/// read of a node that follows no other.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(4);

/// Number of nodes up to which the heartbeat interval is constant; above it, the interval grows in
/// proportion. Each heartbeat reads about 100 bytes per node: at 410 nodes this reduces 10 KB per
/// second to 1.6.
const BASE_INTERVAL_NODES: usize = 64;

/// Time between the first heartbeat and the next read, which shows the other nodes of a start of
/// all; also the delay after a failed call.
const INITIAL_INTERVAL: Duration = Duration::from_millis(700);

/// Number of intervals without a heartbeat after which a node counts as gone; two heartbeats may be
/// lost.
const EXPIRY_INTERVALS: f64 = 2.75;

/// Interval at which a node that others follow reads the heartbeats.
const ROOT_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Nodes of a failure domain that collect reported loads; one of them may be lost.
const COLLECTORS_PER_DOMAIN: usize = 2;

/// Minimum interval between two heartbeats that are due.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

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
    /// Failure domain of the node.
    #[serde(default)]
    domain: String,
    /// How other nodes link to it; `None` if they can't.
    #[serde(default)]
    link: Option<LinkRow>,
    /// Replicas of each model that the node's requests keep busy, in thousandths.
    #[serde(default)]
    demand: BTreeMap<ServiceName, BTreeMap<ModelName, u32>>,
    /// The newest decision on shares that the node knows.
    #[serde(default)]
    decision: Option<ShareDecision>,
}

#[derive(Debug, Serialize, Deserialize)]
struct LinkRow {
    address: SocketAddr,
    /// Key of the process. Only those who can read the store know it.
    key: String,
}

impl LinkRow {
    /// The node that accepts the link; `None` if its key is malformed.
    fn member(&self, node: NodeId) -> Option<FeedMember> {
        let key = SharedKey::new(&self.key).ok()?;
        Some(FeedMember {
            node,
            address: self.address,
            key,
        })
    }
}

/// Writes heartbeats and counts those of other nodes; never returns.
pub async fn run_heartbeats(node: Rc<GatewayNode>) {
    let mut client = StoreClient::new(node.settings.store);
    while announce(&node, &mut client).await.is_err() {
        tokio::time::sleep(INITIAL_INTERVAL).await;
    }
    let mut written_at = node.now();
    let mut pause = INITIAL_INTERVAL;
    loop {
        let key_changed = tokio::time::timeout(pause, node.feed.key_changed.notified());
        let mut has_decided = false;
        let reads_now = tokio::select! {
            changed = key_changed => changed.is_ok(),
            () = node.demand.decided.notified() => {
                has_decided = true;
                false
            }
            () = count_repeatedly(&node) => false,
        };
        let interval = heartbeat_interval(node.node_count());
        let is_due = has_decided || node.now().saturating_sub(written_at) >= interval;
        let mut outcome = Ok(());
        if is_due {
            outcome = write_heartbeat(&node, &mut client).await;
            if outcome.is_ok() {
                written_at = node.now();
            }
        }
        if outcome.is_ok() && (reads_now || !node.feed.is_following(FeedLane::Bulk)) {
            outcome = read_heartbeats(&node, &mut client).await;
            node.feed.set_counted();
        }
        pause = match outcome {
            Ok(()) => next_pause(&node, written_at),
            Err(_) => retry_pause(&node),
        };
    }
}

/// Writes the first heartbeat. It follows the first read, which supplies the store's clock.
async fn announce(node: &GatewayNode, client: &mut StoreClient) -> Result<(), StoreError> {
    if node.store_clock().is_none() {
        read_heartbeats(node, client).await?;
    }
    write_heartbeat(node, client).await?;
    // Other nodes can announce crash records to this one from now on.
    node.crash_records_changed.notify_one();
    Ok(())
}

fn heartbeat_interval(nodes: usize) -> Duration {
    let scaled = nodes.max(BASE_INTERVAL_NODES);
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    HEARTBEAT_INTERVAL.mul_f64(count(scaled) / count(BASE_INTERVAL_NODES))
}

/// Time until the next heartbeat is due, or the next read of a node that others follow.
fn next_pause(node: &GatewayNode, written_at: Duration) -> Duration {
    let due_at = written_at + heartbeat_interval(node.node_count());
    let pause = due_at.saturating_sub(node.now());
    let pause = pause.max(RETRY_INTERVAL);
    if node.feed.is_root(&node.settings.node) {
        return pause.min(ROOT_READ_INTERVAL);
    }
    pause
}

/// Time until the next attempt after a failed call: longer for nodes that are farther from the store
/// in the tree, since the store is probably away for all.
fn retry_pause(node: &GatewayNode) -> Duration {
    let depth = node.feed.depth(&node.settings.node);
    INITIAL_INTERVAL * (1 + 2 * depth)
}

/// Counts the nodes at intervals, since heartbeats expire without a change; never returns.
async fn count_repeatedly(node: &GatewayNode) {
    loop {
        tokio::time::sleep(COUNT_INTERVAL).await;
        count_nodes(node);
    }
}

async fn write_heartbeat(node: &GatewayNode, client: &mut StoreClient) -> Result<(), StoreError> {
    let clock = node.store_clock().unwrap_or_default();
    let link = node.feed.address().map(|address| LinkRow {
        address,
        key: node.feed.key_text.clone(),
    });
    let row = NodeRow {
        clock_ms: u64::try_from(clock.as_millis()).unwrap_or(u64::MAX),
        hints: node.hints.address(),
        suspects: !node.suspects_no_request(),
        domain: node.settings.failure_domain.to_string(),
        link,
        demand: node.demand_report(),
        decision: Some(node.share_decision()).filter(|decision| decision.clock_ms > 0),
    };
    let value =
        serde_json::to_vec(&row).map_err(|error| StoreError::Malformed(error.to_string()))?;
    let name = node.settings.node.as_str();
    client
        .put_row(NODES_TABLE, name, &value, STORE_TIMEOUT)
        .await?;
    Ok(())
}

/// Reads the heartbeats of all nodes, or those that changed since the last read.
///
/// # Errors
///
/// [`StoreError`] of the call.
pub async fn read_heartbeats(
    node: &GatewayNode,
    client: &mut StoreClient,
) -> Result<(), StoreError> {
    let known = node.feed.copy(FeedTable::Nodes).borrow().version();
    let changes = match known {
        Some(known) => {
            client
                .watch_table(NODES_TABLE, known, Duration::ZERO, STORE_TIMEOUT)
                .await
        }
        None => Err(StoreError::Compacted),
    };
    let delta = match changes {
        Ok(response) => TableDelta {
            version: response.version,
            is_full: false,
            rows: response.rows,
            gap: None,
        },
        Err(StoreError::Compacted) => {
            let page = client.read_table(NODES_TABLE, STORE_TIMEOUT).await?;
            node.set_store_clock(page.clock);
            TableDelta {
                version: page.version,
                is_full: true,
                rows: page.rows,
                gap: None,
            }
        }
        Err(error) => return Err(error),
    };
    node.feed.take(FeedTable::Nodes, delta, node.now());
    count_nodes(node);
    Ok(())
}

/// Counts the live nodes, and updates the addresses for hints and the tree of the failure domain.
pub fn count_nodes(node: &GatewayNode) {
    let Some(clock) = node.store_clock() else {
        return;
    };
    if !node.feed.begin_count(node.now()) {
        return;
    }
    let copy = node.feed.copy(FeedTable::Nodes).borrow();
    // Nobody can tell who is live while the store is away, so none expires then. If nodes did, the
    // others would take over their turns and their shares of the budgets.
    let clock = clock.saturating_sub(copy.age(node.now()));
    let mut census = NodeCensus::default();
    let max_age = heartbeat_interval(copy.values().count()).mul_f64(EXPIRY_INTERVALS);
    for (name, value) in copy.values() {
        // A malformed row counts for no node; the next heartbeat replaces it.
        let Ok(row) = serde_json::from_slice::<NodeRow>(value) else {
            continue;
        };
        // A decision holds on after the node that made it.
        if let Some(decision) = &row.decision {
            node.adopt_decision(decision);
        }
        let age = clock.saturating_sub(Duration::from_millis(row.clock_ms));
        if age <= max_age {
            census.add(node, name, row);
        }
    }
    drop(copy);
    // The datagrams that announced the crash records were lost.
    if census.others_suspect && node.suspects_no_request() {
        node.crash_records_changed.notify_one();
    }
    node.feed.set_fallbacks(census.fallbacks(node));
    node.hints.set_collectors(census.collectors(node));
    node.hints.set_peers(census.hint_addresses);
    let domain = node.settings.failure_domain.as_str();
    node.feed
        .set_members(domain, &census.domain_nodes, census.members);
    census.names.sort();
    node.set_live_nodes(census.names);
    node.review_shares(&census.demand);
}

/// What the heartbeats tell.
#[derive(Debug, Default)]
struct NodeCensus {
    names: Vec<String>,
    hint_addresses: Vec<SocketAddr>,
    others_suspect: bool,
    /// Nodes that receive hints, by failure domain, with their addresses.
    hint_nodes: FastMap<String, FastMap<String, SocketAddr>>,
    demand: ReportedDemand,
    /// Nodes of the failure domain, this one included.
    domain_nodes: Vec<NodeId>,
    /// Those of them that accept links.
    members: Vec<FeedMember>,
    /// Links of nodes of the other failure domains.
    other_links: FastMap<String, FastMap<String, LinkRow>>,
}

impl NodeCensus {
    /// Nodes that collect the loads reported by heads: the first of each failure domain's tree, if
    /// there are too many nodes for hints to all of them.
    fn collectors(&self, node: &GatewayNode) -> LoadCollectors {
        let mut collectors = LoadCollectors::default();
        let own_domain = node.settings.failure_domain.as_str();
        let own_name = node.settings.node.as_str();
        let is_small = self.hint_addresses.len() <= MAX_HINT_PEERS;
        let own_count = self.hint_nodes.get(own_domain).map_or(0, FastMap::len);
        if is_small || own_count < MIN_FOLLOWING_NODES {
            return collectors;
        }
        for (domain, nodes) in &self.hint_nodes {
            let order = feed_order(domain, nodes.keys().map(String::as_str));
            let first: Vec<&str> = order.into_iter().take(COLLECTORS_PER_DOMAIN).collect();
            let addresses = first.iter().filter(|name| **name != own_name);
            let addresses = addresses.filter_map(|name| nodes.get(*name).copied());
            if domain != own_domain {
                collectors.others.extend(addresses);
                continue;
            }
            collectors.own.extend(addresses);
            collectors.is_collector = first.contains(&own_name);
            let others = nodes.iter().filter(|(name, _)| *name != own_name);
            collectors
                .domain
                .extend(others.map(|(_, address)| *address));
        }
        collectors
    }

    fn add(&mut self, node: &GatewayNode, name: &str, row: NodeRow) {
        self.names.push(name.to_owned());
        self.demand.add(&row.demand);
        let is_other = name != node.settings.node.as_str();
        self.hint_addresses.extend(row.hints.filter(|_| is_other));
        self.others_suspect |= is_other && row.suspects;
        if let Some(address) = row.hints {
            let nodes = self.hint_nodes.entry(row.domain.clone()).or_default();
            nodes.insert(name.to_owned(), address);
        }
        if row.domain != node.settings.failure_domain.as_str() {
            if let Some(link) = row.link {
                let links = self.other_links.entry(row.domain).or_default();
                links.insert(name.to_owned(), link);
            }
            return;
        }
        let (Ok(id), Some(link)) = (name.parse::<NodeId>(), row.link) else {
            return;
        };
        self.domain_nodes.push(id.clone());
        self.members.extend(link.member(id));
    }

    /// Nodes of the other failure domains that this node may follow while the store turns it away.
    fn fallbacks(&self, node: &GatewayNode) -> Vec<FeedMember> {
        let own = node.settings.node.as_str();
        let mut fallbacks = Vec::new();
        for (domain, links) in &self.other_links {
            let order = feed_order(domain, links.keys().map(String::as_str));
            for name in fallback_sources(own, &order) {
                let id = name.parse::<NodeId>().ok();
                fallbacks.extend(id.and_then(|id| links[name].member(id)));
            }
        }
        fallbacks
    }
}
