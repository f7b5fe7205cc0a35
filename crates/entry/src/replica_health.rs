//! Health of a replica while it runs a stream.

use std::time::{Duration, Instant};

use control::TargetView;
use domain::ReplicaPlan;

use crate::settings::EntrySettings;

/// Health of a replica while it runs a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaHealth {
    /// Fresh evidence shows that all hosts are present.
    Healthy,
    /// There is no fresh evidence.
    Unconfirmed,
    /// Evidence shows that a host is missing or that the replica runs another incarnation.
    Lost,
}

impl ReplicaHealth {
    /// Assesses a replica according to the latest view.
    ///
    /// A replica that has lost a host takes seconds to detect this, and its streams stall
    /// meanwhile, so evidence of a loss takes effect immediately. Missing evidence alone does not
    /// count as a loss: if probing is cut off, streams that still produce tokens are the better
    /// evidence, and abandoning them would move all streams of the node to other replicas at the
    /// same time. A drain is not a loss either, since a draining replica finishes its streams.
    #[must_use]
    pub fn assess(view: &TargetView, plan: &ReplicaPlan, now: Instant, limit: Duration) -> Self {
        let found = view
            .replicas
            .iter()
            .find(|replica| replica.plan.id == plan.id);
        let Some(replica) = found else {
            return Self::Unconfirmed;
        };
        if replica.plan.incarnation != plan.incarnation {
            return Self::Lost;
        }
        let Some((evidence, received)) = &replica.evidence else {
            return Self::Unconfirmed;
        };
        let age = evidence.age + now.saturating_duration_since(*received);
        if age > limit || evidence.incarnation != plan.incarnation {
            return Self::Unconfirmed;
        }
        if evidence.hosts == plan.hosts {
            return Self::Healthy;
        }
        Self::Lost
    }

    /// Returns how long a stream may be silent; none if it must be abandoned immediately.
    #[must_use]
    pub fn silence_limit(self, settings: &EntrySettings) -> Option<Duration> {
        match self {
            Self::Healthy => Some(settings.silence()),
            Self::Unconfirmed => Some(settings.doubt_silence().min(settings.silence())),
            Self::Lost => None,
        }
    }
}
