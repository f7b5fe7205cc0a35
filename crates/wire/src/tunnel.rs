//! Messages with which a node connects to a target through another node.

use domain::HostId;
use serde::{Deserialize, Serialize};

/// Maximum size of a request in bytes.
pub const MAX_TUNNEL_REQUEST_BYTES: usize = 1 << 10;

/// Asks a node to connect to a target and to pass bytes on in both directions. The node takes the
/// target's address from its own registry, so that nothing but targets can be reached through it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// Target to connect to.
    pub host: HostId,
    /// Time in milliseconds after which nobody waits for bytes any more.
    pub lifetime_ms: u32,
}

/// Tells a node what a target stated in a response that came through it. The target sees only this node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelStatement {
    /// The target.
    pub host: HostId,
    /// Boot number of the process that stated it.
    pub boot: u64,
    /// Time in milliseconds for which the target wants nothing from the node, if it asked for any.
    pub backoff_ms: Option<u32>,
    /// Whether the target drains.
    pub drains: bool,
}

/// Why a node did not connect to a target for another one. Later variants say more about the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TunnelDenial {
    /// The node can't tell: it stops, is partitioned itself, or does not know the target.
    Unavailable,
    /// The target wants nothing from this node now, or drains.
    TargetBarred,
    /// The target does not respond to it either.
    TargetUnreachable,
    /// The target refuses its connection as well.
    TargetRefuses,
}

impl TunnelDenial {
    /// Whether it tells that the target itself can't be reached.
    #[must_use]
    pub fn is_of_target(self) -> bool {
        matches!(self, Self::TargetUnreachable | Self::TargetRefuses)
    }

    /// HTTP status of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Unavailable => 503,
            Self::TargetBarred => 429,
            Self::TargetUnreachable => 504,
            Self::TargetRefuses => 502,
        }
    }

    /// Name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Unavailable => "unavailable",
            Self::TargetBarred => "barred",
            Self::TargetUnreachable => "unreachable",
            Self::TargetRefuses => "refused",
        }
    }
}

impl From<u16> for TunnelDenial {
    fn from(status: u16) -> Self {
        match status {
            429 => Self::TargetBarred,
            502 => Self::TargetRefuses,
            504 => Self::TargetUnreachable,
            _ => Self::Unavailable,
        }
    }
}
