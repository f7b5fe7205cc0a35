//! What the records ask for, and the steps towards it.

use domain::{AdapterName, HostId, ModelName, ReplicaId, VersionName};

use crate::drains::DrainCause;

/// What a model's record asks of one version, and how many replicas stand in all fabric domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredVersion {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
    /// Replicas wanted.
    pub desired: u32,
    /// Replicas that stand and do not drain.
    pub active: u32,
    /// Hosts of one replica.
    pub hosts_per_replica: usize,
    /// Adapters that every replica loads.
    pub adapters: Vec<AdapterName>,
}

/// One step; each is one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AssemblyStep {
    /// The host reported that it is empty: its slot is free.
    Free(HostId),
    /// A new replica.
    Form {
        /// Its model, version and adapters.
        version: DesiredVersion,
        /// Its hosts.
        hosts: Vec<HostId>,
    },
    /// A new incarnation, with other hosts or with the same after a restart of one.
    Reform {
        /// The replica.
        replica: ReplicaId,
        /// Its hosts from now on.
        hosts: Vec<HostId>,
        /// Its adapters from now on.
        adapters: Vec<AdapterName>,
    },
    /// No new work.
    Drain(ReplicaId, DrainCause),
    /// New work again.
    Undrain(ReplicaId),
    /// No more such replica.
    Dissolve(ReplicaId),
}
