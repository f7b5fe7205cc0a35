//! Evidence that all hosts of a replica are up.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, IncarnationNumber, ReplicaId};
use crate::replica::ReplicaPlan;

/// The result of one health check of a replica's hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthEvidence {
    /// The replica that was checked.
    pub replica: ReplicaId,
    /// Incarnation that the hosts reported.
    pub incarnation: IncarnationNumber,
    /// Hosts that reported this incarnation, ordered by rank.
    pub hosts: Vec<HostId>,
    /// Whether any host reported that it is leaving.
    pub leaving: bool,
    /// Age of the oldest host report included. Nodes exchange ages, never wall clock times.
    pub age: Duration,
}

impl HealthEvidence {
    /// Whether requests may be dispatched to the replica described by `plan`.
    ///
    /// The check fails closed. It returns false for another incarnation, a missing or leaving host
    /// and evidence older than `max_age`, because a replica that lacks a host accepts requests but
    /// never responds to them.
    #[must_use]
    pub fn allows_dispatch(&self, plan: &ReplicaPlan, max_age: Duration) -> bool {
        self.replica == plan.id
            && self.incarnation == plan.incarnation
            && self.hosts == plan.hosts
            && !self.leaving
            && self.age <= max_age
    }
}
