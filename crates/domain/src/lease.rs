//! Leases: which node may act for a fabric domain or for the whole deployment.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{LeaseEpoch, NodeId};

/// A lease as stored in the table.
///
/// It holds no wall clock time. An observer takes the lease over only after `renewals` has stayed
/// the same for a whole `ttl` on its own monotonic clock, so clocks of two hosts are never compared.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Node that holds the lease; none after a release.
    pub holder: Option<NodeId>,
    /// Incremented at every change of holder.
    pub epoch: LeaseEpoch,
    /// Incremented at every renewal and at the release; starts at 0 in each epoch.
    #[serde(rename = "beat")]
    pub renewals: u64,
    /// How long the holder may act after the start of its last renewal, in milliseconds.
    pub ttl_ms: u64,
}

impl LeaseRecord {
    /// How long the holder may act after the start of its last renewal.
    #[must_use]
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms)
    }

    /// Returns the lease after `node` renews it; none unless `node` holds it, or at the end of the counter's range.
    #[must_use]
    pub fn renewed(&self, node: &NodeId) -> Option<Self> {
        if self.holder.as_ref() != Some(node) {
            return None;
        }
        Some(Self {
            renewals: self.renewals.checked_add(1)?,
            ..self.clone()
        })
    }

    /// Returns the lease after `node` acquires it; none while it may still be held, or if no epoch can follow.
    ///
    /// `unchanged_for` is the time on the observer's monotonic clock since it first saw this holder
    /// and renewal count.
    #[must_use]
    pub fn acquired(&self, node: &NodeId, unchanged_for: Duration, ttl: Duration) -> Option<Self> {
        let free = self.holder.is_none() || unchanged_for >= self.ttl();
        if !free {
            return None;
        }
        Some(Self {
            holder: Some(node.clone()),
            epoch: self.epoch.next()?,
            renewals: 0,
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Returns the lease after `node` releases it; none unless `node` holds it, or at the end of the counter's range.
    #[must_use]
    pub fn released(&self, node: &NodeId) -> Option<Self> {
        if self.holder.as_ref() != Some(node) {
            return None;
        }
        Some(Self {
            holder: None,
            renewals: self.renewals.checked_add(1)?,
            ..self.clone()
        })
    }
}
