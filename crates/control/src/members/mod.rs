//! Membership: which nodes are alive, from rows in the table and from peers.

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

/// Identity and addresses of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the node; a new one at every start.
    pub node: NodeId,
    /// Address for connections from peers.
    pub address: SocketAddr,
    /// Failure domain that the node runs in.
    pub domain: DomainId,
    /// Region that the node runs in.
    pub region: RegionId,
    /// Address for operators' connections, through which the client finds every node from any one;
    /// none without such a listener.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
}

/// A member's row in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Identity and addresses of the node.
    pub member: Member,
    /// Heartbeat counter; the node itself raises it at every heartbeat.
    pub beat: u64,
}

/// The nodes considered alive, including this one, ordered by id.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    /// At least this node, ordered by id.
    pub members: Vec<Member>,
}

/// How much of the roster a node can hear.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberReach {
    /// Nodes with a recent advancing heartbeat received through a peer, including this one.
    pub reachable: usize,
    /// Nodes that neither left nor were removed from the table, including this one.
    pub roster_size: usize,
}

impl MemberReach {
    /// Whether more than half of the roster is reachable.
    ///
    /// Exactly half is not enough: after a split into two halves both would continue.
    #[must_use]
    pub fn is_majority(self) -> bool {
        self.reachable * 2 > self.roster_size
    }
}

/// Weight of a node for a key in rendezvous hashing; the highest wins.
///
/// A node that joins or leaves moves only the keys that it takes or gives up. The hash is SHA-256
/// because old and new programs must choose alike during an upgrade.
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
    /// The node chosen for a key by rendezvous hashing; none without members.
    #[must_use]
    pub fn choose(&self, key: &str) -> Option<&NodeId> {
        self.members
            .iter()
            .map(|member| &member.node)
            .max_by_key(|node| rendezvous_weight(key, node))
    }
}

/// Settings of the membership. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct MemberSettings {
    /// Mean interval between two heartbeats sent through peers, from 200 to 60,000.
    #[builder(default = 5_000)]
    pub beat_ms: u64,
    /// Mean interval between two writes of the node's row, from 200 to 60,000.
    #[builder(default = 10_000)]
    pub write_ms: u64,
    /// Mean interval between two listings of all rows by a node that has peers, from 1,000 to
    /// 3,600,000.
    #[builder(default = 300_000)]
    pub list_ms: u64,
    /// A node without a heartbeat for this time is considered dead; at least three heartbeats.
    #[builder(default = 20_000)]
    pub dead_ms: u64,
    /// A node whose heartbeat no peer passed on for this time is not reachable. The minority side
    /// of a partition keeps serving for up to this time, so it is below the 16 s within which a
    /// change has to be in force everywhere.
    #[builder(default = 10_000)]
    pub unheard_ms: u64,
    /// The row of a node without a heartbeat for this time is deleted.
    #[builder(default = 120_000)]
    pub expire_ms: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl MemberSettings {
    /// The timeouts after which a node counts as dead or unreachable.
    #[must_use]
    pub fn timeouts(&self) -> LivenessTimeouts {
        LivenessTimeouts {
            dead: Duration::from_millis(self.dead_ms),
            unreachable: Duration::from_millis(self.unheard_ms),
        }
    }
}
