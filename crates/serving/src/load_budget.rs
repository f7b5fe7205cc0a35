//! Limit on the loads of model weights that one node starts, as its share of the weight store's.

use std::time::Duration;

/// Limit on the loads of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadLimit {
    /// Loads per second that the weight store serves.
    pub rate: f64,
    /// Window over which the platform counts loads.
    pub window: Duration,
    /// Number of nodes that share the limit.
    pub nodes: usize,
}

impl LoadLimit {
    /// Returns the loads that one node may start within a window; at least one, so that spares get
    /// loaded at all.
    fn share(&self) -> usize {
        let nodes = f64::from(u32::try_from(self.nodes.max(1)).unwrap_or(u32::MAX));
        let share = self.rate * self.window.as_secs_f64() / nodes;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let share = share.clamp(1.0, 1e6) as usize;
        share
    }
}

/// The recent loads of one node.
#[derive(Debug, Default)]
pub struct LoadBudget {
    started_at: Vec<Duration>,
}

impl LoadBudget {
    /// Counts a load that starts now, if this node's share of the limit allows it; returns whether
    /// it does.
    pub fn try_start(&mut self, now: Duration, limit: LoadLimit) -> bool {
        self.started_at
            .retain(|at| now.saturating_sub(*at) < limit.window);
        if self.started_at.len() >= limit.share() {
            return false;
        }
        self.started_at.push(now);
        true
    }
}
