//! The live nodes, counted by their heartbeats.

use std::time::Duration;

use events::{EventCode, LogLine};
use serving::SenderStanding;
use wire::feed::FeedTable;

use super::GatewayNode;
use crate::heartbeat::{blind_age, counted_age, outdated_age};

/// Number of nodes assumed until heartbeats are counted. The resulting share of the budgets is safe
/// in any deployment of today's size.
const ASSUMED_NODES: usize = 16;

/// A live node and its failure domain. Nodes are ordered by name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LiveNode {
    /// Name of the node.
    pub name: String,
    /// Failure domain of the node; empty if its heartbeat does not say.
    pub domain: String,
}

/// How long this node's heartbeats have reached the store.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HeartbeatHistory {
    /// When the first heartbeat was written after a gap in which others may have stopped counting this node.
    steady_since: Option<Duration>,
    /// Whether all others have counted this node at some time.
    was_counted: bool,
}

impl GatewayNode {
    /// Number of live nodes, or `ASSUMED_NODES` until heartbeats are counted.
    #[must_use]
    pub fn node_count(&self) -> usize {
        let count = self.live_nodes.borrow().len();
        if count == 0 { ASSUMED_NODES } else { count }
    }

    /// Whether a node was counted as live the last time.
    #[must_use]
    pub fn is_live(&self, name: &str) -> bool {
        self.with_live_nodes(|names| {
            names
                .binary_search_by(|known| known.as_str().cmp(name))
                .is_ok()
        })
    }

    /// Records that this node has written a heartbeat.
    pub fn set_heartbeat_written(&self) {
        let now = self.now();
        let nodes = self.node_count();
        let mut history = self.heartbeat_history.get();
        let had_gap = self.heartbeat_age() > blind_age(nodes);
        let since = history.steady_since.filter(|_| !had_gap).unwrap_or(now);
        history.steady_since = Some(since);
        history.was_counted |= now.saturating_sub(since) >= counted_age(nodes);
        self.heartbeat_history.set(history);
        self.heartbeat_written_at.set(now);
    }

    /// Whether the other nodes count this one, as far as it can tell. It can't while it writes no heartbeats
    /// or its list of nodes is old.
    #[must_use]
    pub fn sender_standing(&self) -> SenderStanding {
        let now = self.now();
        let nodes = self.node_count();
        let history = self.heartbeat_history.get();
        let list_age = self.feed.copy(FeedTable::Nodes).borrow().age(now);
        let is_current =
            self.heartbeat_age() <= blind_age(nodes) && list_age <= outdated_age(nodes);
        let steady_since = history.steady_since.filter(|_| is_current);
        let is_counted =
            steady_since.is_some_and(|since| now.saturating_sub(since) >= counted_age(nodes));
        if is_counted {
            SenderStanding::Settled
        } else if history.was_counted {
            SenderStanding::Uncertain
        } else {
            SenderStanding::New
        }
    }

    /// Time since this node wrote its last heartbeat, or since its start.
    #[must_use]
    pub fn heartbeat_age(&self) -> Duration {
        self.now().saturating_sub(self.heartbeat_written_at.get())
    }

    /// Position of this node among the live nodes in the order of their names, and their number.
    #[must_use]
    pub fn place_among_nodes(&self) -> (usize, usize) {
        let own = self.settings.node.as_str();
        let place = self.with_live_nodes(|names| names.iter().position(|name| name == own));
        (place.unwrap_or(0), self.node_count())
    }

    /// Calls `access` with the names of the live nodes.
    pub fn with_live_nodes<R>(&self, access: impl FnOnce(&[String]) -> R) -> R {
        access(&self.live_nodes.borrow())
    }

    /// Generation number that increases whenever the set of live nodes changes.
    #[must_use]
    pub fn nodes_generation(&self) -> u64 {
        self.nodes_generation.get()
    }

    /// Sets the live nodes, ordered by name; a change of their names is logged and increases the generation number.
    pub fn set_live_nodes(&self, nodes: Vec<LiveNode>) {
        let (nodes, domains): (Vec<String>, Vec<String>) = nodes
            .into_iter()
            .map(|node| (node.name, node.domain))
            .unzip();
        *self.live_domains.borrow_mut() = domains;
        if *self.live_nodes.borrow() == nodes {
            return;
        }
        let count = u64::try_from(nodes.len()).unwrap_or(u64::MAX);
        let line = LogLine::new(EventCode::NodesCounted).number("nodes", count);
        *self.live_nodes.borrow_mut() = nodes;
        self.nodes_generation.set(self.nodes_generation.get() + 1);
        self.log(&line);
    }
}
