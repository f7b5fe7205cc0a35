//! The replicas of one fabric domain, stored as one table row.

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, ReplicaId};
use crate::replica::{ReplicaError, ReplicaPlan};

/// All replicas of one fabric domain. Only the holder of the fabric's lease writes this row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FabricFleet {
    /// Number of the next replica. Numbers are never reused, so a delayed order or report that
    /// refers to a dissolved replica can't be mistaken for one that refers to a new replica.
    pub next_number: u64,
    /// Plans of the existing replicas.
    pub plans: Vec<ReplicaPlan>,
}

/// Why a change to a fleet was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FleetError {
    /// The plan itself is invalid.
    #[error(transparent)]
    Plan(#[from] ReplicaError),
    /// A host is already part of another replica.
    #[error("host {host} already belongs to replica {replica}")]
    HostTaken {
        /// Host named by the rejected plan.
        host: HostId,
        /// Replica that the host belongs to.
        replica: ReplicaId,
    },
    /// A replica with this id already exists.
    #[error("replica {0} already exists")]
    AlreadyExists(ReplicaId),
    /// No replica has this id.
    #[error("replica {0} does not exist")]
    Unknown(ReplicaId),
    /// The plan changed, other than in its drain flag, without a higher incarnation.
    #[error("replica {0} was changed without raising its incarnation")]
    IncarnationNotRaised(ReplicaId),
}

impl FabricFleet {
    /// Returns the replica that a host belongs to.
    #[must_use]
    pub fn replica_of(&self, host: &HostId) -> Option<&ReplicaPlan> {
        self.plans.iter().find(|plan| plan.hosts.contains(host))
    }

    /// Returns the replica with the given id.
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

    /// Returns the fleet with one more replica.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if the plan is invalid, the id is in use or a host belongs to another
    /// replica.
    pub fn with_replica(&self, plan: ReplicaPlan) -> Result<Self, FleetError> {
        self.check_hosts(&plan)?;
        if self.plan(&plan.id).is_some() {
            return Err(FleetError::AlreadyExists(plan.id));
        }
        let mut fleet = self.clone();
        // At the end of the range the next id is in use, and no replica is added.
        fleet.next_number = fleet.next_number.saturating_add(1);
        fleet.plans.push(plan);
        Ok(fleet)
    }

    /// Returns the fleet with the plan of one replica replaced.
    ///
    /// # Errors
    ///
    /// [`FleetError`]. Any change except to `draining` needs a higher incarnation; otherwise
    /// evidence and streams of the old plan would be accepted for the new one.
    pub fn with_changed(&self, plan: ReplicaPlan) -> Result<Self, FleetError> {
        self.check_hosts(&plan)?;
        let Some(index) = self.plans.iter().position(|other| other.id == plan.id) else {
            return Err(FleetError::Unknown(plan.id));
        };
        let old = &self.plans[index];
        let unchanged = ReplicaPlan {
            draining: plan.draining,
            ..old.clone()
        } == plan;
        if !unchanged && plan.incarnation <= old.incarnation {
            return Err(FleetError::IncarnationNotRaised(plan.id));
        }
        let mut fleet = self.clone();
        fleet.plans[index] = plan;
        Ok(fleet)
    }

    /// Returns the fleet without the given replica. The slots of its hosts are not freed here but
    /// once each host itself reports that it is empty.
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
