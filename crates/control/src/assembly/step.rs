//! The desired state according to the records, and the steps towards it.

use domain::{AdapterName, HostId, ModelName, ReplicaId, VersionName};

use crate::drains::DrainCause;

/// Desired state of one model version, and its active replicas over all fabric domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredVersion {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Replicas that the model's record asks for.
    pub desired: u32,
    /// Replicas that are planned and not draining.
    pub active: u32,
    /// Hosts that form one replica.
    pub hosts_per_replica: usize,
    /// Adapters that every replica loads.
    pub adapters: Vec<AdapterName>,
}

/// One step, committed in one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AssemblyStep {
    /// Marks a host's slot as free, because the host reported that it is empty.
    Free(HostId),
    /// Creates a replica.
    Form {
        /// Its model, version and adapters.
        version: DesiredVersion,
        /// Its hosts, by rank.
        hosts: Vec<HostId>,
    },
    /// Starts a new incarnation, with other hosts or after one of them restarted.
    Reform {
        /// The replica to change.
        replica: ReplicaId,
        /// Its new hosts, by rank.
        hosts: Vec<HostId>,
        /// Its new adapters.
        adapters: Vec<AdapterName>,
    },
    /// Stops new work for a replica.
    Drain(ReplicaId, DrainCause),
    /// Allows new work again.
    Undrain(ReplicaId),
    /// Removes a replica.
    Dissolve(ReplicaId),
}
