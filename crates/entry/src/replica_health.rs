//! Whether a replica that runs a stream can still be trusted to finish it.

use std::time::{Duration, Instant};

use control::TargetView;
use domain::ReplicaPlan;

use crate::settings::EntrySettings;

/// How a replica stands while it runs a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaHealth {
    /// Fresh evidence says that all its hosts are there.
    Healthy,
    /// There is no fresh evidence.
    Unconfirmed,
    /// Evidence says that a host is missing, or that the hosts run something else by now.
    Lost,
}

impl ReplicaHealth {
    /// Judges a replica by the newest view.
    ///
    /// A replica that lost a host takes seconds to notice, and its streams stand still meanwhile;
    /// evidence of the loss is acted on at once. Missing evidence alone is no loss: when watchers
    /// are cut off, streams that still flow are the better evidence, and leaving them all would
    /// put every stream of the node onto other replicas at the same moment. A drain is no loss
    /// either: a leaving replica finishes its streams.
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

    /// How long a stream may be silent; none when it is to be left now.
    #[must_use]
    pub fn silence_limit(self, settings: &EntrySettings) -> Option<Duration> {
        match self {
            Self::Healthy => Some(settings.silence()),
            Self::Unconfirmed => Some(settings.doubt_silence().min(settings.silence())),
            Self::Lost => None,
        }
    }
}
