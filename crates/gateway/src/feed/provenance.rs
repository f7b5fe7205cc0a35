//! From where a node last heard that its copy of a table is current, and when.

use std::fmt;

use domain::NodeId;
use serving::feed::DeltaProof;

/// Who told a node what the store holds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum TableOrigin {
    /// Nobody yet.
    #[default]
    Unread,
    /// The store itself.
    Store,
    /// Another node, which this one follows.
    Node(NodeId),
}

impl fmt::Display for TableOrigin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unread => formatter.write_str("unread"),
            Self::Store => formatter.write_str("store"),
            Self::Node(node) => formatter.write_str(node.as_str()),
        }
    }
}

/// Tells up to when the changes that came with it are complete, in process time.
#[derive(Debug, Clone)]
pub struct TableConfirmation {
    /// When this node was told, and what that proves.
    pub proof: DeltaProof,
    /// Who told this node.
    pub origin: TableOrigin,
}
