//! The replicas of one fabric domain, as one table row.

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, ReplicaId};
use crate::replica::{ReplicaError, ReplicaPlan};

/// All replicas of one fabric domain. Its row has one writer, the holder of the fabric's lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FabricFleet {
    /// Number of the next replica; numbers are never used again, so that a late order or report
    /// of a dissolved replica can't be taken for a new one.
    pub next_number: u64,
    /// The replicas.
    pub plans: Vec<ReplicaPlan>,
}

/// Why a fleet stays as it is.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FleetError {
    /// The plan itself breaks a rule.
    #[error(transparent)]
    Plan(#[from] ReplicaError),
    /// A host belongs to another replica.
    #[error("host {host} belongs to replica {replica}")]
    HostTaken {
        /// The host.
        host: HostId,
        /// The replica that it belongs to.
        replica: ReplicaId,
    },
    /// The replica exists already.
    #[error("replica {0} exists already")]
    AlreadyExists(ReplicaId),
    /// There is no such replica.
    #[error("there is no replica {0}")]
    Unknown(ReplicaId),
    /// Hosts, model or version changed without a higher incarnation.
    #[error("replica {0} changed without a higher incarnation")]
    IncarnationNotRaised(ReplicaId),
}

impl FabricFleet {
    /// The replica that a host belongs to.
    #[must_use]
    pub fn replica_of(&self, host: &HostId) -> Option<&ReplicaPlan> {
        self.plans.iter().find(|plan| plan.hosts.contains(host))
    }

    /// The replica with an id.
    #[must_use]
    pub fn plan(&self, id: &ReplicaId) -> Option<&ReplicaPlan> {
        self.plans.iter().find(|plan| plan.id == *id)
    }

    fn check_hosts(&self, plan: &ReplicaPlan) -> Result<(), FleetError> {
        plan.check()?;
        for host in &plan.hosts {
            let Some(other) = self.replica_of(host) else {
                continue;
            };
            if other.id == plan.id {
                continue;
            }
            return Err(FleetError::HostTaken {
                host: host.clone(),
                replica: other.id.clone(),
            });
        }
        Ok(())
    }

    /// The fleet with one more replica.
    ///
    /// # Errors
    ///
    /// [`FleetError`] when the id is in use or a host belongs to another replica.
    pub fn with_replica(&self, plan: ReplicaPlan) -> Result<Self, FleetError> {
        self.check_hosts(&plan)?;
        if self.plan(&plan.id).is_some() {
            return Err(FleetError::AlreadyExists(plan.id));
        }
        let mut fleet = self.clone();
        fleet.next_number += 1;
        fleet.plans.push(plan);
        Ok(fleet)
    }

    /// The fleet with a replica changed.
    ///
    /// # Errors
    ///
    /// [`FleetError`]; a change of hosts, model, version, adapters or role needs a higher
    /// incarnation, because evidence and streams of the old one would pass for the new one.
    pub fn with_changed(&self, plan: ReplicaPlan) -> Result<Self, FleetError> {
        self.check_hosts(&plan)?;
        let Some(index) = self.plans.iter().position(|other| other.id == plan.id) else {
            return Err(FleetError::Unknown(plan.id));
        };
        let old = &self.plans[index];
        let same = ReplicaPlan {
            draining: plan.draining,
            ..old.clone()
        } == plan;
        if !same && plan.incarnation <= old.incarnation {
            return Err(FleetError::IncarnationNotRaised(plan.id));
        }
        let mut fleet = self.clone();
        fleet.plans[index] = plan;
        Ok(fleet)
    }

    /// The fleet without a replica. The slots of its hosts stay as they are until each host itself
    /// reports that it is empty.
    ///
    /// # Errors
    ///
    /// [`FleetError::Unknown`].
    pub fn without_replica(&self, id: &ReplicaId) -> Result<Self, FleetError> {
        if self.plan(id).is_none() {
            return Err(FleetError::Unknown(id.clone()));
        }
        let mut fleet = self.clone();
        fleet.plans.retain(|plan| plan.id != *id);
        Ok(fleet)
    }
}
