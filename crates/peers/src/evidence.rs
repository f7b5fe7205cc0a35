//! What the links carry of evidence of wholeness, and where it comes from and goes to.

use std::time::Instant;

use domain::HealthEvidence;

/// Evidence with the moment on this node's monotonic clock of the oldest report in it; the
/// evidence's own `age` is of no account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedEvidence {
    /// The evidence.
    pub evidence: HealthEvidence,
    /// The moment of its oldest report, or an earlier one.
    pub as_of: Instant,
}

/// Where evidence comes from and goes to.
pub trait EvidenceExchange: Clone + Send + Sync + 'static {
    /// The newest evidence on each replica.
    fn export(&self) -> Vec<TimedEvidence>;

    /// Takes in evidence of a peer.
    fn import(&self, evidence: TimedEvidence);
}

/// Passes on no evidence.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoEvidence;

impl EvidenceExchange for NoEvidence {
    fn export(&self) -> Vec<TimedEvidence> {
        Vec::new()
    }

    fn import(&self, _: TimedEvidence) {}
}
