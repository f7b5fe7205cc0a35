//! Leases: who may act for a fabric domain or a deployment.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{LeaseEpoch, NodeId};

/// A lease as it is kept in the table.
///
/// It holds no wall time. An observer takes it over only after it has seen the same `renewals` for a
/// whole `ttl` on its own monotonic clock, so that clocks of two hosts are never compared.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The holder; none after a release.
    pub holder: Option<NodeId>,
    /// Raised at every change of holder.
    pub epoch: LeaseEpoch,
    /// Raised at every renewal.
    #[serde(rename = "beat")]
    pub renewals: u64,
    /// Time that a holder may act after the start of its last renewal, in milliseconds.
    pub ttl_ms: u64,
}

impl LeaseRecord {
    /// Time that a holder may act after the start of its last renewal.
    #[must_use]
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms)
    }

    /// The term after `node` renews it; none when another node holds it.
    #[must_use]
    pub fn renewed(&self, node: &NodeId) -> Option<Self> {
        if self.holder.as_ref() != Some(node) {
            return None;
        }
        Some(Self {
            renewals: self.renewals + 1,
            ..self.clone()
        })
    }

    /// The term after `node` takes it; none while it may still be held.
    ///
    /// `unchanged_for` is the observer's monotonic time since it first saw this holder and beat.
    #[must_use]
    pub fn acquired(&self, node: &NodeId, unchanged_for: Duration, ttl: Duration) -> Option<Self> {
        let free = self.holder.is_none() || unchanged_for >= self.ttl();
        if !free {
            return None;
        }
        Some(Self {
            holder: Some(node.clone()),
            epoch: self.epoch.next(),
            renewals: 0,
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// The term after `node` gives it up; none when another node holds it.
    #[must_use]
    pub fn released(&self, node: &NodeId) -> Option<Self> {
        if self.holder.as_ref() != Some(node) {
            return None;
        }
        Some(Self {
            holder: None,
            renewals: self.renewals + 1,
            ..self.clone()
        })
    }
}
