//! A host's slot: which replica, if any, the host belongs to.

use serde::{Deserialize, Serialize};

use crate::ids::{BootNumber, IncarnationNumber, LeaseEpoch, ReplicaId};

/// The table row of a host. At most one replica ever stands in it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSlot {
    /// The replica that the host belongs to.
    pub assignment: Option<SlotAssignment>,
    /// Highest epoch under which the slot was written.
    pub epoch: LeaseEpoch,
}

/// A host's part in a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAssignment {
    /// The replica.
    pub replica: ReplicaId,
    /// Its incarnation.
    pub incarnation: IncarnationNumber,
    /// The host's boot number when it was assigned.
    pub boot: BootNumber,
}

/// Why a slot stays as it is.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SlotError {
    /// Another replica holds it.
    #[error("the host belongs to replica {0}")]
    Taken(ReplicaId),
    /// The writer's lease is out of date.
    #[error("epoch {given} is older than the slot's {current}")]
    StaleEpoch {
        /// The writer's epoch.
        given: LeaseEpoch,
        /// The slot's epoch.
        current: LeaseEpoch,
    },
    /// The replica went on to a later incarnation already.
    #[error("incarnation {given} is not newer than the slot's {current}")]
    StaleIncarnation {
        /// The writer's incarnation.
        given: IncarnationNumber,
        /// The slot's incarnation.
        current: IncarnationNumber,
    },
    /// The host still runs the old assignment.
    #[error("the host has not reported that it is empty")]
    HostNotEmpty,
}

impl HostSlot {
    fn admit_epoch(&self, epoch: LeaseEpoch) -> Result<(), SlotError> {
        if epoch >= self.epoch {
            return Ok(());
        }
        Err(SlotError::StaleEpoch {
            given: epoch,
            current: self.epoch,
        })
    }

    /// The slot after the host joins a replica.
    ///
    /// # Errors
    ///
    /// [`SlotError::Taken`] while another replica holds it, [`SlotError::StaleEpoch`] for a writer
    /// whose lease was taken over, [`SlotError::StaleIncarnation`] for a step back.
    pub fn assign(&self, assignment: SlotAssignment, epoch: LeaseEpoch) -> Result<Self, SlotError> {
        self.admit_epoch(epoch)?;
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

    /// The slot after the host left its replica.
    ///
    /// A host that still runs the old rank would answer for two replicas once the slot is given
    /// away. So the slot is freed only when the host itself proves that it is empty: it reports no
    /// assignment, or a boot number newer than the one it was assigned under.
    ///
    /// # Errors
    ///
    /// [`SlotError::HostNotEmpty`] without such a proof, [`SlotError::StaleEpoch`] as above.
    pub fn release(&self, proof: EmptyProof, epoch: LeaseEpoch) -> Result<Self, SlotError> {
        self.admit_epoch(epoch)?;
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

/// How a host proved that it runs no rank of its old replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EmptyProof {
    /// It reported that it has no assignment.
    ReportedEmpty,
    /// It reported this boot number.
    Rebooted(BootNumber),
}
