//! Replica plans. A replica is one target formed by several hosts of a fabric domain.

use serde::{Deserialize, Serialize};

use crate::ids::{
    AdapterName, FabricId, HostId, IncarnationNumber, LeaseEpoch, ModelName, ReplicaId, VersionName,
};
use crate::maps::FastSet;

/// The part of inference that a replica performs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaRole {
    /// Prefill and decode on the same replica.
    #[default]
    Both,
    /// Prefill only: processes prompts and exports the KV cache.
    Prefill,
    /// Decode only: imports a KV cache and generates tokens.
    Decode,
}

/// A replica as stored in the table: which hosts serve which model.
///
/// The first host has rank 0 and receives the replica's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPlan {
    /// Id of the replica; never reused.
    pub id: ReplicaId,
    /// Raised when hosts, model, version, adapters or role change.
    pub incarnation: IncarnationNumber,
    /// Epoch of the lease under which this incarnation was written.
    pub epoch: LeaseEpoch,
    /// Fabric domain that contains all hosts of the replica.
    pub fabric: FabricId,
    /// Hosts ordered by rank.
    pub hosts: Vec<HostId>,
    /// Model that the replica serves.
    pub model: ModelName,
    /// Version of the model's weights.
    pub version: VersionName,
    /// Adapters loaded in addition to the model.
    pub adapters: Vec<AdapterName>,
    /// Whether the replica performs prefill, decode or both.
    pub role: ReplicaRole,
    /// Whether the replica accepts no new work and is to be dissolved.
    pub draining: bool,
}

/// Why a replica plan is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaError {
    /// The list of hosts is empty.
    #[error("replica {0} has no hosts")]
    NoHost(ReplicaId),
    /// A host occurs more than once.
    #[error("replica {0} lists host {1} more than once")]
    DuplicateHost(ReplicaId, HostId),
}

impl ReplicaPlan {
    /// Validates the list of hosts.
    ///
    /// # Errors
    ///
    /// [`ReplicaError`] if it is empty or contains duplicates.
    pub fn check(&self) -> Result<(), ReplicaError> {
        if self.hosts.is_empty() {
            return Err(ReplicaError::NoHost(self.id.clone()));
        }
        let mut seen = FastSet::default();
        for host in &self.hosts {
            if seen.insert(host) {
                continue;
            }
            return Err(ReplicaError::DuplicateHost(self.id.clone(), host.clone()));
        }
        Ok(())
    }

    /// Returns the host with rank 0, which receives the replica's requests.
    #[must_use]
    pub fn leader(&self) -> Option<&HostId> {
        self.hosts.first()
    }

    /// Returns the rank of a host; none if it is not part of the replica.
    #[must_use]
    pub fn rank(&self, host: &HostId) -> Option<usize> {
        self.hosts.iter().position(|other| other == host)
    }
}
