//! Evidence that every host of a replica is there.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, IncarnationNumber, ReplicaId};
use crate::replica::ReplicaPlan;

/// One observation of a replica's hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthEvidence {
    /// The replica.
    pub replica: ReplicaId,
    /// The incarnation that the hosts reported.
    pub incarnation: IncarnationNumber,
    /// Every host that reported this incarnation, by rank.
    pub hosts: Vec<HostId>,
    /// Whether any host said that it is leaving.
    pub leaving: bool,
    /// Age of the oldest report in it; ages are passed on, never wall times.
    pub age: Duration,
}

impl HealthEvidence {
    /// Whether it allows dispatch to the replica as planned.
    ///
    /// It fails closed: another incarnation, a missing host, a leaving host or an old report each
    /// deny, because a replica with a host missing would take the request and never answer it.
    #[must_use]
    pub fn allows_dispatch(&self, plan: &ReplicaPlan, limit: Duration) -> bool {
        self.replica == plan.id
            && self.incarnation == plan.incarnation
            && self.hosts == plan.hosts
            && !self.leaving
            && self.age <= limit
    }
}
