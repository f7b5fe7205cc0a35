//! The row that a node writes with each heartbeat.

use std::net::SocketAddr;
use std::time::Duration;

use adapter::MAX_CLOCK;
use domain::NodeId;
use peers::SharedKey;
use serde::{Deserialize, Serialize};
use serving::demand::{ModelValues, ShareDecision};

use crate::feed::FeedMember;

/// What a node writes with each heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct NodeRow {
    /// Store clock at the time of the heartbeat, in milliseconds.
    pub clock_ms: u64,
    /// Address at which the node receives hints; `None` if it receives none.
    #[serde(default)]
    pub hints: Option<SocketAddr>,
    /// Whether the node suspects a request of crashing targets.
    #[serde(default)]
    pub suspects: bool,
    /// Failure domain of the node.
    #[serde(default)]
    pub domain: String,
    /// How other nodes link to it; `None` if they can't.
    #[serde(default)]
    pub link: Option<LinkRow>,
    /// Replicas of each model that the node's requests keep busy, in thousandths.
    #[serde(default)]
    pub demand: ModelValues,
    /// The newest decision on shares that the node knows.
    #[serde(default)]
    pub decision: Option<DecisionRow>,
}

/// How other nodes link to a node.
#[derive(Debug, Serialize, Deserialize)]
pub struct LinkRow {
    /// Address at which it accepts links.
    pub address: SocketAddr,
    /// Key of the process. Only those who can read the store know it.
    pub key: String,
}

/// A decision on shares.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DecisionRow {
    /// Store clock at the decision, in milliseconds.
    pub clock_ms: u64,
    /// Shares in thousandths.
    pub shares: ModelValues,
}

impl NodeRow {
    /// Decodes a row; `None` if it is malformed, or states times that the store's clock can't show. A node would count
    /// as live for good by the one, and its decision would stand above all later ones by the other.
    pub fn decode(value: &[u8]) -> Option<Self> {
        let mut row: Self = serde_json::from_slice(value).ok()?;
        let is_possible = |clock_ms| Duration::from_millis(clock_ms) <= MAX_CLOCK;
        row.decision = row
            .decision
            .filter(|decision| is_possible(decision.clock_ms));
        is_possible(row.clock_ms).then_some(row)
    }
}

impl From<&ShareDecision> for DecisionRow {
    fn from(decision: &ShareDecision) -> Self {
        Self {
            clock_ms: u64::try_from(decision.clock.as_millis()).unwrap_or(u64::MAX),
            shares: decision.shares.clone(),
        }
    }
}

impl From<DecisionRow> for ShareDecision {
    fn from(row: DecisionRow) -> Self {
        Self {
            clock: Duration::from_millis(row.clock_ms),
            shares: row.shares,
        }
    }
}

impl LinkRow {
    /// The node that accepts the link; `None` if its key is malformed.
    pub fn member(&self, node: NodeId) -> Option<FeedMember> {
        let key = SharedKey::new(&self.key).ok()?;
        Some(FeedMember {
            node,
            address: self.address,
            key,
        })
    }
}
