//! What a round of assembly looks at, and the steps that it gives.

use std::time::Duration;

use domain::{DomainId, FabricId, HostId, ModelName, ReplicaId, VersionName};

/// Everything that one round looks at.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AssemblyState {
    /// Hosts that are listed, or that a replica names.
    pub hosts: Vec<AssemblyHost>,
    /// Replicas as the table has them.
    pub replicas: Vec<AssemblyReplica>,
    /// What operators want.
    pub wanted: Vec<WantedReplicas>,
}

/// A host as a round sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AssemblyHost {
    /// The host.
    pub id: HostId,
    /// Its fabric domain.
    pub fabric: FabricId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it is there.
    pub presence: HostPresence,
    /// The replica in its slot; a host with none is free.
    pub replica: Option<ReplicaId>,
    /// Weights that it holds, as it last reported; none after a restart.
    pub loaded: Option<LoadedWeights>,
}

/// Whether a host is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostPresence {
    /// It answers.
    Present,
    /// It answers, but the platform, an operator or it itself wants it gone.
    Leaving,
    /// It has not answered for this long.
    Absent(Duration),
}

/// Weights that a host holds: the part of one rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedWeights {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: VersionName,
    /// The rank whose part it is.
    pub rank: usize,
}

/// A replica as a round sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AssemblyReplica {
    /// The replica.
    pub id: ReplicaId,
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: VersionName,
    /// Fabric domain of its hosts.
    pub fabric: FabricId,
    /// Its hosts by rank.
    pub hosts: Vec<HostId>,
    /// How far it is.
    pub stage: ReplicaStage,
}

/// How far a replica is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReplicaStage {
    /// Its hosts are its own, but were not told to load its weights.
    Formed,
    /// Its hosts were told to load.
    Loading,
    /// Every host was seen ready. It may have lost one since; presence tells.
    Ready,
    /// It takes no new work; requests are still in progress.
    Draining,
    /// It takes no new work and nothing is in progress.
    Drained,
}

/// What an operator wants of one version of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedReplicas {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
    /// Replicas to keep.
    pub replicas: u32,
    /// Replicas beyond these that hosts without other work may form; 0 forbids it.
    pub extra: u32,
    /// Hosts of one replica.
    pub hosts_per_replica: u32,
}

impl WantedReplicas {
    /// Most replicas that may stand at once.
    #[must_use]
    pub fn most(&self) -> u32 {
        self.replicas.saturating_add(self.extra)
    }
}

/// One step towards the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AssemblyStep {
    /// Free hosts become a replica.
    Form {
        /// The model.
        model: ModelName,
        /// Its version.
        version: VersionName,
        /// Fabric domain of all the hosts.
        fabric: FabricId,
        /// The hosts by rank.
        hosts: Vec<HostId>,
    },
    /// A free host takes a lost one's rank, under a new incarnation.
    Replace {
        /// The replica.
        replica: ReplicaId,
        /// The host that is lost or leaves.
        lost: HostId,
        /// The free host of the same fabric domain.
        spare: HostId,
    },
    /// The hosts of a replica are told to load its weights; each that holds its part already has
    /// nothing to fetch.
    Load {
        /// The replica.
        replica: ReplicaId,
    },
    /// A replica takes no new work.
    Drain {
        /// The replica.
        replica: ReplicaId,
        /// Why.
        reason: DrainReason,
    },
    /// A replica's hosts become free, each as soon as it proves that it is empty.
    Dissolve {
        /// The replica.
        replica: ReplicaId,
        /// Why.
        reason: DissolveReason,
    },
}

/// Why a replica is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DrainReason {
    /// One of its hosts leaves.
    HostLeaving,
    /// No record wants it any more.
    Unwanted,
    /// Its hosts are needed for a replica that is wanted more.
    HostsNeeded,
}

/// Why a replica is dissolved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DissolveReason {
    /// It was drained because it is not wanted, or its hosts are needed.
    Drained,
    /// It lost hosts that can't be replaced, and the others serve elsewhere.
    Regrouped,
    /// It is not wanted, and it does not serve.
    Unwanted,
}
