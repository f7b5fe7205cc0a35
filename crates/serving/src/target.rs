//! A target: one engine process, as it describes itself.

use std::net::SocketAddr;

use domain::{BootNumber, DomainId, FabricId, HostId, ModelName, ReplicaId, ServiceName};

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It does.
    Ready,
    /// It is leaving; what runs may end.
    Draining,
}

/// Progress of one member of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Weights are being loaded.
    Joining,
    /// Loaded, not serving.
    Ready,
    /// The head serves requests.
    Open,
    /// The head ends its requests and takes no new ones.
    Closing,
    /// The head found another member missing.
    Broken,
}

/// A target's place in a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaMembership {
    /// The replica; a name is never given twice.
    pub replica: ReplicaId,
    /// Epoch of the formation.
    pub epoch: u64,
    /// Place in the member list; 0 is the head, the only one that takes requests.
    pub rank: u32,
    /// Progress.
    pub state: MemberState,
}

/// One target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// The incarnation's id.
    pub id: HostId,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens; reused by other targets once this one is gone.
    pub address: SocketAddr,
    /// Failure domain it stands in.
    pub domain: DomainId,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Start of the process; differs when it starts again under the same id.
    pub boot: BootNumber,
    /// Fabric domain, for model engines.
    pub fabric: Option<FabricId>,
    /// Model whose weights it held last since its start.
    pub loaded: Option<ModelName>,
    /// Models whose weights lie on its host.
    pub staged: Vec<ModelName>,
    /// Its replica, if it is in one.
    pub membership: Option<ReplicaMembership>,
}

impl TargetEntry {
    /// Whether it holds or has staged a model's weights, so that it can join without the store.
    #[must_use]
    pub fn has_weights(&self, model: &ModelName) -> bool {
        self.loaded.as_ref() == Some(model) || self.staged.contains(model)
    }
}
