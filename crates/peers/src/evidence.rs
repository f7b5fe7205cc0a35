//! The interface through which links exchange health evidence with the rest of the node.

use std::time::Instant;

use domain::HealthEvidence;

/// Health evidence with a timestamp of this node's monotonic clock. The `age` of the evidence itself
/// is ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedEvidence {
    /// Evidence about one replica.
    pub evidence: HealthEvidence,
    /// Time of the oldest report in the evidence, or earlier.
    pub as_of: Instant,
}

/// Source and sink of the health evidence that links exchange.
pub trait EvidenceExchange: Clone + Send + Sync + 'static {
    /// Returns the newest evidence of each replica.
    fn export(&self) -> Vec<TimedEvidence>;

    /// Accepts evidence received from a peer.
    fn import(&self, evidence: TimedEvidence);
}

/// An implementation that neither provides nor accepts evidence.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoEvidence;

impl EvidenceExchange for NoEvidence {
    fn export(&self) -> Vec<TimedEvidence> {
        Vec::new()
    }

    fn import(&self, _: TimedEvidence) {}
}
