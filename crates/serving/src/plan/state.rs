//! Input of a plan: the hosts of a fabric domain and the replicas desired there.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::{FastMap, FastSet, HostId, ModelName, ReplicaId};

use super::coverage::Coverage;
use crate::route::ModelConfig;
use crate::target::{MemberState, ReplicaMembership};

/// Whether a host is available for replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostLifecycle {
    /// It is available.
    Active,
    /// It is no longer in the registry but still responds. It keeps working in its replica and
    /// joins no new one.
    Unlisted,
    /// It has announced that it leaves, and serves for a while longer.
    Draining,
    /// It leaves and accepts no more connections, and so no orders. It keeps working while its head
    /// has requests.
    Retired,
}

impl HostLifecycle {
    /// Returns whether its replica must close soon. A member that is only unlisted may come back.
    pub(super) fn closes_replica(self) -> bool {
        matches!(self, Self::Draining | Self::Retired)
    }
}

/// State of one host, as this node knows it.
#[derive(Debug, Clone)]
pub struct HostState {
    /// Id of the host, which a plan's steps name.
    pub id: HostId,
    /// Time for which it has not responded; `None` if it responds.
    pub silent_for: Option<Duration>,
    /// Whether it may join new replicas, and whether its current one must close.
    pub lifecycle: HostLifecycle,
    /// Whether operators evacuate its failure domain. It keeps working in its replica and joins no new one.
    pub evacuated: bool,
    /// Whether this node has sent it an order whose outcome is still unknown. It joins no new
    /// replica until then.
    pub order_pending: bool,
    /// Model whose weights were last in memory; `None` while it is loading one.
    pub loaded: Option<ModelName>,
    /// Models whose weights are stored on the host, ready to load.
    pub staged: Vec<ModelName>,
    /// Second model that this node told it to stage, if it may still be doing so.
    pub staging: Option<ModelName>,
    /// Membership in a replica or in the one-host group of a spare; `None` if it is in neither.
    pub membership: Option<ReplicaMembership>,
    /// Time since this node saw its membership change.
    pub unchanged_for: Duration,
}

impl HostState {
    pub(super) fn responds(&self) -> bool {
        self.silent_for.is_none()
    }

    /// Returns whether new replicas may count on it: it is active, and its failure domain is not evacuated.
    pub(super) fn is_available(&self) -> bool {
        self.lifecycle == HostLifecycle::Active && !self.evacuated
    }

    /// Returns whether it may join a new replica: it is available, responds and has no pending order.
    pub(super) fn is_usable(&self) -> bool {
        self.responds() && self.is_available() && !self.order_pending
    }

    /// Returns whether it is evacuated and could join a new replica otherwise.
    pub(super) fn may_close_evacuated(&self) -> bool {
        self.evacuated
            && self.responds()
            && self.lifecycle == HostLifecycle::Active
            && !self.order_pending
    }

    /// Returns whether the weights of a model are in its memory.
    pub(super) fn is_warm(&self, model: &ModelName) -> bool {
        self.loaded.as_ref() == Some(model)
    }

    /// Returns whether it has the weights of a model in memory or staged.
    pub(super) fn has_weights(&self, model: &ModelName) -> bool {
        self.is_warm(model) || self.staged.contains(model)
    }

    pub(super) fn has_any_weights(&self) -> bool {
        self.loaded.is_some() || !self.staged.is_empty()
    }

    pub(super) fn is_joining(&self) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|membership| membership.state == MemberState::Joining)
    }
}

/// State of a fabric domain and the replicas desired there.
#[derive(Debug)]
pub struct FabricState<'a> {
    /// Models of the service, in the order of the configuration.
    pub models: &'a [ModelConfig],
    /// Desired number of replicas by model; a model without an entry has none.
    pub desired: &'a BTreeMap<ModelName, usize>,
    /// Hosts of the domain, including those that are silent or leave.
    pub hosts: &'a [HostState],
    /// Existing replicas of each model in all fabric domains together.
    pub fleet_replicas: &'a FastMap<ModelName, usize>,
    /// Replicas, with their epochs, that were seen serving or whose formation failed. None of them
    /// is opened again.
    pub never_reopen: &'a FastSet<(ReplicaId, u64)>,
    /// Whether hosts without weights may join replicas. It is set before the first request, when
    /// loads are quick and no client waits for a spare, and if no host of the domain has weights.
    pub may_load_members: bool,
    /// Whether hosts may stage second models, which takes up the weight store without being urgent.
    pub may_stage: bool,
}

impl FabricState<'_> {
    /// Returns the coverage of a model in all fabric domains with `formed` additional replicas.
    pub(super) fn coverage(&self, model: &ModelConfig, formed: usize) -> Coverage {
        let current = self.fleet_replicas.get(&model.name).copied().unwrap_or(0);
        Coverage::of(model, current + formed)
    }

    /// Returns the coverage of a model in all fabric domains without `released` of its replicas.
    pub(super) fn coverage_without(&self, model: &ModelConfig, released: usize) -> Coverage {
        let current = self.fleet_replicas.get(&model.name).copied().unwrap_or(0);
        Coverage::of(model, current.saturating_sub(released))
    }
}
