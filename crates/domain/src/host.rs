//! Host slots: which replica, if any, a host belongs to.

use serde::{Deserialize, Serialize};

use crate::ids::{BootNumber, IncarnationNumber, LeaseEpoch, ReplicaId};

/// The table row of a host. It names at most one replica at a time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSlot {
    /// Replica that the host belongs to; none if the host is free.
    pub assignment: Option<SlotAssignment>,
    /// Highest lease epoch under which the slot was written.
    pub epoch: LeaseEpoch,
}

/// The assignment of a host to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAssignment {
    /// Replica that the host joins.
    pub replica: ReplicaId,
    /// Incarnation of the replica.
    pub incarnation: IncarnationNumber,
    /// Boot number of the host at the time of the assignment.
    pub boot: BootNumber,
}

/// Why a change to a slot was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SlotError {
    /// The slot is assigned to another replica.
    #[error("the host already belongs to replica {0}")]
    Taken(ReplicaId),
    /// The writer's lease has been taken over.
    #[error("lease epoch {given} is older than epoch {current} of the slot")]
    StaleEpoch {
        /// Lease epoch of the writer.
        given: LeaseEpoch,
        /// Epoch stored in the slot.
        current: LeaseEpoch,
    },
    /// The slot already holds a later incarnation of the replica.
    #[error("incarnation {given} is older than incarnation {current} of the slot")]
    StaleIncarnation {
        /// Incarnation to be assigned.
        given: IncarnationNumber,
        /// Incarnation stored in the slot.
        current: IncarnationNumber,
    },
    /// The host may still run its old assignment.
    #[error("the host has not reported that it is empty")]
    HostNotEmpty,
}

impl HostSlot {
    fn check_epoch(&self, epoch: LeaseEpoch) -> Result<(), SlotError> {
        if epoch >= self.epoch {
            return Ok(());
        }
        Err(SlotError::StaleEpoch {
            given: epoch,
            current: self.epoch,
        })
    }

    /// Returns the slot after the host joins a replica.
    ///
    /// # Errors
    ///
    /// [`SlotError::Taken`] if the host belongs to another replica, [`SlotError::StaleEpoch`] if the
    /// writer's lease was taken over, [`SlotError::StaleIncarnation`] if the slot holds a later
    /// incarnation.
    pub fn assign(&self, assignment: SlotAssignment, epoch: LeaseEpoch) -> Result<Self, SlotError> {
        self.check_epoch(epoch)?;
        if let Some(current) = &self.assignment {
            if current.replica != assignment.replica {
                return Err(SlotError::Taken(current.replica.clone()));
            }
            if assignment.incarnation < current.incarnation {
                return Err(SlotError::StaleIncarnation {
                    given: assignment.incarnation,
                    current: current.incarnation,
                });
            }
        }
        Ok(Self {
            assignment: Some(assignment),
            epoch,
        })
    }

    /// Returns the slot after the host left its replica.
    ///
    /// A host that still runs its old rank would serve two replicas once the slot is reassigned.
    /// The slot is therefore freed only if the host itself proves that it is empty: it reports no
    /// assignment, or a boot number higher than the one at its assignment.
    ///
    /// # Errors
    ///
    /// [`SlotError::HostNotEmpty`] without such a proof, [`SlotError::StaleEpoch`] if the writer's
    /// lease was taken over.
    pub fn release(&self, proof: EmptyProof, epoch: LeaseEpoch) -> Result<Self, SlotError> {
        self.check_epoch(epoch)?;
        let Some(current) = &self.assignment else {
            return Ok(Self {
                assignment: None,
                epoch,
            });
        };
        let empty = match proof {
            EmptyProof::ReportedEmpty => true,
            EmptyProof::Rebooted(boot) => boot > current.boot,
        };
        if !empty {
            return Err(SlotError::HostNotEmpty);
        }
        Ok(Self {
            assignment: None,
            epoch,
        })
    }
}

/// Proof that a host no longer runs a rank of its old replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EmptyProof {
    /// The host reported that it has no assignment.
    ReportedEmpty,
    /// The host reported this boot number; it counts if it is higher than at the assignment.
    Rebooted(BootNumber),
}
