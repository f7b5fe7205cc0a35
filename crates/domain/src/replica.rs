//! A replica: one target that several hosts of one fabric domain form together.

use serde::{Deserialize, Serialize};

use crate::ids::{
    AdapterName, FabricId, HostId, IncarnationNumber, LeaseEpoch, ModelName, ReplicaId, VersionName,
};
use crate::maps::FastSet;

/// What a replica's hosts do for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReplicaRole {
    /// Reads prompts and generates tokens.
    #[default]
    Both,
    /// Reads prompts and exports the KV cache.
    Prefill,
    /// Imports a KV cache and generates tokens.
    Decode,
}

/// A replica as it is kept in the table: which hosts serve what.
///
/// The first host is rank 0 and answers for all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaPlan {
    /// The replica's id, never used again.
    pub id: ReplicaId,
    /// Raised at every change of hosts, model, version or role.
    pub incarnation: IncarnationNumber,
    /// Epoch of the lease under which this incarnation was written.
    pub epoch: LeaseEpoch,
    /// Fabric domain of all the hosts.
    pub fabric: FabricId,
    /// All the hosts, by rank.
    pub hosts: Vec<HostId>,
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: VersionName,
    /// Adapters loaded beside it.
    pub adapters: Vec<AdapterName>,
    /// What it does for a request.
    pub role: ReplicaRole,
    /// Whether it takes no new work and shall be dissolved.
    pub draining: bool,
}

/// Why hosts form no replica.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaError {
    /// No host at all.
    #[error("replica {0} has no host")]
    NoHost(ReplicaId),
    /// One host twice.
    #[error("replica {0} names host {1} twice")]
    DuplicateHost(ReplicaId, HostId),
}

impl ReplicaPlan {
    /// Checks the rules of the aggregate.
    ///
    /// # Errors
    ///
    /// [`ReplicaError`] when it has no host or names one twice.
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

    /// The host that answers for all.
    #[must_use]
    pub fn leader(&self) -> Option<&HostId> {
        self.hosts.first()
    }

    /// The rank of a host.
    #[must_use]
    pub fn rank(&self, host: &HostId) -> Option<usize> {
        self.hosts.iter().position(|other| other == host)
    }
}
