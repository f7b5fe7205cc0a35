//! Steps of a plan.

use domain::{HostId, ModelName, ReplicaId};

/// How a replica stops serving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CloseMode {
    /// Its requests end first.
    Wait,
    /// Its requests are cancelled; those that had not begun are said to be not run.
    Cancel,
}

/// One thing to do now. Each is safe to do late, twice or not at all: the next plan starts from
/// what has become of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PlanStep {
    /// Let a replica serve whose members all have its weights.
    Open {
        /// Its head.
        head: HostId,
        /// The replica.
        replica: ReplicaId,
        /// Its epoch.
        epoch: u64,
    },
    /// Stop a replica whose members are not all there any more.
    Close {
        /// Its head.
        head: HostId,
        /// The replica.
        replica: ReplicaId,
        /// Its epoch.
        epoch: u64,
        /// What becomes of its requests.
        mode: CloseMode,
    },
    /// End a whole replica, so that its hosts serve another model.
    Yield {
        /// Its head.
        head: HostId,
        /// The replica.
        replica: ReplicaId,
        /// Its epoch.
        epoch: u64,
    },
    /// Join hosts to a new replica.
    Form {
        /// Model.
        model: ModelName,
        /// Members by rank.
        members: Vec<HostId>,
    },
    /// Load a second model's weights onto a host, which goes on with its work meanwhile.
    Stage {
        /// The host.
        host: HostId,
        /// The model.
        model: ModelName,
    },
    /// Load a model on a spare host, so that it can step in within a fraction of a second.
    Warm {
        /// The host.
        host: HostId,
        /// The model.
        model: ModelName,
    },
}

impl PlanStep {
    /// The hosts that get an order by it.
    #[must_use]
    pub fn hosts(&self) -> &[HostId] {
        match self {
            Self::Open { head, .. } | Self::Close { head, .. } | Self::Yield { head, .. } => {
                std::slice::from_ref(head)
            }
            Self::Form { members, .. } => members,
            Self::Warm { host, .. } | Self::Stage { host, .. } => std::slice::from_ref(host),
        }
    }
}
