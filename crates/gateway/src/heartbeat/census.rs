//! What the heartbeats of all nodes tell: who is live, how to reach them, and what clients ask for.

use std::net::SocketAddr;
use std::time::Duration;

use domain::{DomainId, FastMap, NodeId};
use serving::demand::ReportedDemand;
use serving::feed::{MIN_FOLLOWING_NODES, fallback_sources, feed_order};
use serving::hashing::stable_hash;
use wire::feed::FeedTable;

use super::interval::{blind_age, expiry_age};
use super::row::{LinkRow, NodeRow};
use crate::feed::FeedMember;
use crate::hint_channel::{LoadCollectors, MAX_HINT_PEERS};
use crate::node::{GatewayNode, LiveNode};
use crate::tunnel::TunnelRelay;

/// Nodes of a failure domain that collect reported loads; one of them may be lost.
const COLLECTORS_PER_DOMAIN: usize = 2;

/// Nodes of each failure domain through which a node may connect to targets. Together they carry what a
/// partitioned node sends, each a part.
const RELAYS_PER_DOMAIN: usize = 4;

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
    let rows = copy.values().count();
    let max_age = expiry_age(rows);
    // Whatever keeps this node from writing heartbeats may keep others from it that serve as well.
    let keeps_counted = node.heartbeat_age() > blind_age(rows);
    for (name, value) in copy.values() {
        // A malformed row counts for no node; the next heartbeat replaces it.
        let Some(mut row) = NodeRow::decode(value) else {
            continue;
        };
        // A decision holds on after the node that made it.
        if let Some(decision) = row.decision.take() {
            node.adopt_decision(&decision.into());
        }
        let age = clock.saturating_sub(Duration::from_millis(row.clock_ms));
        if age <= max_age || (keeps_counted && node.is_live(name)) {
            census.add(node, name, row);
        }
    }
    drop(copy);
    // The datagrams that announced the crash records were lost.
    if census.others_suspect && node.crashes.is_clear() {
        node.crashes.evidence_written.notify_one();
    }
    node.feed.set_fallbacks(census.fallbacks(node));
    node.tunnels.set_relays(census.relays(node));
    node.hints.set_collectors(census.collectors(node));
    node.hints.set_peers(census.hint_addresses);
    let domain = node.settings.failure_domain.as_str();
    node.feed
        .set_members(domain, &census.domain_nodes, census.members);
    census.nodes.sort();
    node.set_live_nodes(census.nodes);
    node.review_shares(&census.demand);
}

/// What the heartbeats tell.
#[derive(Debug, Default)]
struct NodeCensus {
    nodes: Vec<LiveNode>,
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
        self.nodes.push(LiveNode {
            name: name.to_owned(),
            domain: row.domain.clone(),
        });
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

    /// Nodes through which this one may connect to targets, the preferred one first: a few of each other
    /// failure domain, since most nodes of its own may have lost the targets as well.
    fn relays(&self, node: &GatewayNode) -> Vec<TunnelRelay> {
        let own = &node.settings.node;
        let rank = |relay: &TunnelRelay| stable_hash(&(own.as_str(), relay.member.node.as_str()));
        let mut others = Vec::new();
        for (domain, links) in &self.other_links {
            let Ok(domain) = domain.parse::<DomainId>() else {
                continue;
            };
            let mut names: Vec<&String> = links.keys().collect();
            names.sort_by_key(|name| stable_hash(&(own.as_str(), name.as_str())));
            for name in names.into_iter().take(RELAYS_PER_DOMAIN) {
                let id = name.parse::<NodeId>().ok();
                let member = id.and_then(|id| links[name].member(id));
                others.extend(member.map(|member| TunnelRelay {
                    member,
                    domain: domain.clone(),
                }));
            }
        }
        let near = self.members.iter().filter(|member| member.node != *own);
        let mut near: Vec<TunnelRelay> = near
            .map(|member| TunnelRelay {
                member: member.clone(),
                domain: node.settings.failure_domain.clone(),
            })
            .collect();
        near.sort_by_key(rank);
        others.sort_by_key(rank);
        others.extend(near.into_iter().take(RELAYS_PER_DOMAIN));
        others
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
