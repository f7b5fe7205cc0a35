//! The steps that a plan consists of.

use domain::{HostId, ModelName, ReplicaId};

/// How a replica that closes handles its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CloseMode {
    /// It completes its requests first.
    Wait,
    /// It cancels its requests, and reports those that had not begun as not run.
    Cancel,
}

/// A step to take now. It is safe to take a step late, twice or not at all, since the next plan
/// starts from the state that results.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PlanStep {
    /// Lets a replica serve whose members have all loaded its weights.
    Open {
        /// Head of the replica, which receives the order.
        head: HostId,
        /// Replica that the head must be in, or it refuses the order.
        replica: ReplicaId,
        /// Epoch in which the replica was formed; the head refuses the order in any other.
        epoch: u64,
    },
    /// Closes a replica that has lost members, or is about to.
    Close {
        /// Head of the replica, which receives the order.
        head: HostId,
        /// Replica that the head must be in, or it refuses the order.
        replica: ReplicaId,
        /// Epoch in which the replica was formed; the head refuses the order in any other.
        epoch: u64,
        /// Whether its requests complete or are cancelled.
        mode: CloseMode,
    },
    /// Gives up an intact replica, so that its hosts serve another model.
    Yield {
        /// Head of the replica, which receives the order.
        head: HostId,
        /// Replica that the head must be in, or it refuses the order.
        replica: ReplicaId,
        /// Epoch in which the replica was formed; the head refuses the order in any other.
        epoch: u64,
    },
    /// Forms a new replica. A later plan opens it once its members have loaded the weights.
    Form {
        /// Model that the replica serves and whose weights its members load.
        model: ModelName,
        /// Members in the order of their ranks; the first is the head.
        members: Vec<HostId>,
    },
    /// Stages the weights of a second model on a host, which keeps serving meanwhile.
    Stage {
        /// Host that stages the weights; it may be a member of a replica.
        host: HostId,
        /// Model to stage, other than the one in memory.
        model: ModelName,
    },
    /// Loads a model into the memory of a spare host, so that it can join a replica within a
    /// fraction of a second.
    Warm {
        /// Free host with no model of the service in memory.
        host: HostId,
        /// Model to load, for which a one-host group is formed.
        model: ModelName,
    },
}

impl PlanStep {
    /// Returns the hosts that receive an order when the step is taken.
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
