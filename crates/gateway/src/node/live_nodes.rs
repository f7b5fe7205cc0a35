//! The live nodes, counted by their heartbeats.

use std::time::Duration;

use events::{EventCode, LogLine};

use super::GatewayNode;

/// Number of nodes assumed until heartbeats are counted. The resulting share of the budgets is safe
/// in any deployment of today's size.
const ASSUMED_NODES: usize = 16;

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
        self.heartbeat_written_at.set(self.now());
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

    /// Sets the names of the live nodes; a change is logged and increases the generation number.
    pub fn set_live_nodes(&self, nodes: Vec<String>) {
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
