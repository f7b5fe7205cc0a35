//! Membership: which nodes serve, from rows in the table and from what peers tell.

pub mod state;

use std::net::SocketAddr;

use domain::{DomainId, NodeId, RegionId};
use serde::{Deserialize, Serialize};

pub use state::MemberState;

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
    pub heard: usize,
    /// Nodes that neither left nor were removed from the table.
    pub rostered: usize,
}

impl MemberReach {
    /// Whether more than half of the roster is heard.
    ///
    /// Exactly half is not enough: of two halves that lose each other both would go on.
    #[must_use]
    pub fn is_majority(self) -> bool {
        self.heard * 2 > self.rostered
    }
}
