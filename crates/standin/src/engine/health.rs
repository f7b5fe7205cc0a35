//! Whether a replica's hosts all take part.

use std::time::Instant;

/// What rank 0 knows of its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerHealth {
    /// All take part.
    AllReady,
    /// Some still load; steps wait for them.
    Loading,
    /// Some are gone, since then.
    Lost(Instant),
}
