//! Connections to targets, and what limits them.

use std::time::Duration;

use domain::NodeId;
use serving::regions::RegionSet;
use web::HttpConnection;

/// A connection to a target.
#[derive(Debug)]
pub struct TargetConnection {
    /// The connection.
    pub http: HttpConnection,
    /// The node through which it leads, if it is not this node's own. Such a connection is used for one
    /// request: the other node may stop once it carries none.
    pub relay: Option<NodeId>,
}

impl TargetConnection {
    /// A connection of this node's own.
    #[must_use]
    pub fn direct(http: HttpConnection) -> Self {
        Self { http, relay: None }
    }

    pub(super) fn tunnelled(http: HttpConnection, relay: NodeId) -> Self {
        Self {
            http,
            relay: Some(relay),
        }
    }

    /// Whether it leads through another node.
    #[must_use]
    pub fn is_tunnelled(&self) -> bool {
        self.relay.is_some()
    }
}

/// Limits of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectLimits<'a> {
    /// For a connection of this node's own to be established.
    pub connect: Duration,
    /// For a tunnel to be used.
    pub lifetime: Duration,
    /// Regions through which a tunnel may lead, besides that of this node; `None` if any.
    pub regions: Option<&'a RegionSet>,
}

impl ConnectLimits<'_> {
    /// The same limit for both, as for a connection that only shows whether a target is reached.
    #[must_use]
    pub fn both(limit: Duration) -> Self {
        Self {
            connect: limit,
            lifetime: limit,
            regions: None,
        }
    }
}
