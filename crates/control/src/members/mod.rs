//! Membership: which nodes serve, from rows in the table and from what peers tell.

pub mod shared;
pub mod state;
pub mod table;

use std::net::SocketAddr;
use std::time::Duration;

use domain::{DomainId, NodeId, RegionId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

pub use shared::SharedMembership;
pub use state::{HeartbeatSource, LivenessTimeouts, MemberState};
pub use table::MemberTableSync;

/// One node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node, renewed at every start.
    pub node: NodeId,
    /// Where its peers connect.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Where operators connect, so that the client finds every node through any one.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
}

/// A member's row in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The node.
    pub member: Member,
    /// Raised by the node itself at every heartbeat.
    pub beat: u64,
}

/// The nodes that are taken to be alive, ordered by node; the node itself is one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    /// The nodes.
    pub members: Vec<Member>,
}

/// How much of the roster a node hears.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberReach {
    /// Nodes whose heartbeat was seen to advance lately, this one included.
    pub reachable: usize,
    /// Nodes that neither left nor were removed from the table.
    pub roster_size: usize,
}

impl MemberReach {
    /// Whether more than half of the roster is heard.
    ///
    /// Exactly half is not enough: of two halves that lose each other both would go on.
    #[must_use]
    pub fn is_majority(self) -> bool {
        self.reachable * 2 > self.roster_size
    }
}

/// Weight of a node for a key by rendezvous hashing; the highest is chosen.
///
/// A node that comes or goes moves only the keys that it takes or leaves behind. The hash is
/// SHA-256 because old and new programs must choose alike during an upgrade.
#[must_use]
pub fn rendezvous_weight(key: &str, node: &NodeId) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(key.as_bytes());
    hasher.update([0]);
    hasher.update(node.as_str().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize()[..8]);
    u64::from_be_bytes(first)
}

impl MemberView {
    /// The node for a key by rendezvous hashing; none of no members.
    #[must_use]
    pub fn choose(&self, key: &str) -> Option<&NodeId> {
        self.members
            .iter()
            .map(|member| &member.node)
            .max_by_key(|node| rendezvous_weight(key, node))
    }
}

/// Settings of the membership. Times are milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct MemberSettings {
    /// Mean time between two heartbeats over the peers, from 500 to 60,000.
    #[builder(default = 5_000)]
    pub beat_ms: u64,
    /// Mean time between two writes of the node's row, from 1,000 to 60,000.
    #[builder(default = 10_000)]
    pub write_ms: u64,
    /// Mean time between two listings of all rows by a node that has peers, from 10,000 to
    /// 3,600,000.
    #[builder(default = 300_000)]
    pub list_ms: u64,
    /// A node that is silent for this time is taken to be dead, from three heartbeats on.
    #[builder(default = 20_000)]
    pub dead_ms: u64,
    /// A node whose heartbeat no peer passed on for this time is not heard. The small side of a
    /// partition goes on for up to this time, so it stays below the 16 s in which a change has to
    /// be in force everywhere.
    #[builder(default = 10_000)]
    pub unheard_ms: u64,
    /// The row of a node that is silent for this time is deleted.
    #[builder(default = 120_000)]
    pub expire_ms: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl MemberSettings {
    /// The limits of silence.
    #[must_use]
    pub fn timeouts(&self) -> LivenessTimeouts {
        LivenessTimeouts {
            dead: Duration::from_millis(self.dead_ms),
            unreachable: Duration::from_millis(self.unheard_ms),
        }
    }
}
