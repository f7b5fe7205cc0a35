//! A target: one engine process, described by its registry entry.

use std::net::SocketAddr;

use crate::poison::TargetProcess;
use domain::{BootNumber, DomainId, FabricId, HostId, ModelName, ReplicaId, ServiceName};

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Takes no new work; requests that run may complete.
    Draining,
}

/// State of one member of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Loads its weights.
    Joining,
    /// Has its weights in memory and does not serve.
    Ready,
    /// Serves requests, as the head of its replica.
    Open,
    /// Completes its requests and takes no new ones, as the head of its replica.
    Closing,
    /// Has lost another member, as the head of its replica.
    Broken,
}

/// Membership of a target in a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaMembership {
    /// Name of the replica; names are never reused.
    pub replica: ReplicaId,
    /// Epoch in which the replica was formed. Orders for another epoch are refused.
    pub epoch: u64,
    /// Position in the member list. Rank 0 is the head, the only member that takes requests.
    pub rank: u32,
    /// State that the member reports.
    pub state: MemberState,
}

/// Replica and epoch of a membership, which identify the state that an order is planned for.
pub type MembershipKey = (ReplicaId, u64);

impl ReplicaMembership {
    /// Returns the replica and the epoch.
    #[must_use]
    pub fn key(&self) -> MembershipKey {
        (self.replica.clone(), self.epoch)
    }
}

/// Registry entry of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id of the host incarnation.
    pub id: HostId,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address that the target listens on. Other targets may reuse it once this one is gone.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Whether the target takes new work.
    pub state: TargetState,
    /// Identifies the start of the process; it changes when the process restarts under the same id.
    pub boot: BootNumber,
    /// Fabric domain; `None` for targets of plain services.
    pub fabric: Option<FabricId>,
    /// Model whose weights were last in memory since the start of the process.
    pub loaded: Option<ModelName>,
    /// Models whose weights are stored on the host, ready to load.
    pub staged: Vec<ModelName>,
    /// Replica that the target is a member of, if any.
    pub membership: Option<ReplicaMembership>,
}

impl TargetEntry {
    /// Returns the replica and the epoch of its membership, if it has one.
    #[must_use]
    pub fn membership_key(&self) -> Option<MembershipKey> {
        self.membership.as_ref().map(ReplicaMembership::key)
    }

    /// Returns the process that the entry describes.
    #[must_use]
    pub fn process(&self) -> TargetProcess {
        TargetProcess {
            host: self.id.clone(),
            boot: self.boot,
        }
    }

    /// Returns whether a model's weights are in memory or staged, so that the target can join a
    /// replica without the weight store.
    #[must_use]
    pub fn has_weights(&self, model: &ModelName) -> bool {
        self.loaded.as_ref() == Some(model) || self.staged.contains(model)
    }
}
