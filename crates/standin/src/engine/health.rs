//! Health of the other hosts of a replica.

use std::time::Instant;

/// Health of the peers as rank 0 sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerHealth {
    /// All peers are ready, or there are none.
    AllReady,
    /// Some peers are still loading; steps wait for them.
    Loading,
    /// Some peers have been unreachable or in another incarnation since this time.
    Lost(Instant),
}
