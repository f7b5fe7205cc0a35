//! What a plan starts from: hosts of one fabric domain, and what is wanted of them.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::{FastMap, FastSet, HostId, ModelName, ReplicaId};

use super::cover::Cover;
use crate::route::ModelConfig;
use crate::target::{MemberState, ReplicaMembership};

/// Whether a host stays with its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostLifecycle {
    /// It does.
    Active,
    /// The registry does not name it any more, though it still answers. It works on in its replica;
    /// nothing new is built on it.
    Unlisted,
    /// It has said that it leaves, and serves on for a while.
    Draining,
    /// It leaves and takes no connections any more, orders neither. It works on as long as its head
    /// has requests.
    Retired,
}

impl HostLifecycle {
    /// Whether its replica must end soon; a member that is only unlisted may be back.
    pub(super) fn ends(self) -> bool {
        matches!(self, Self::Draining | Self::Retired)
    }
}

/// What is known of a host.
#[derive(Debug, Clone)]
pub struct HostState {
    /// The host.
    pub id: HostId,
    /// Time since when it does not answer, if it does not.
    pub silent_for: Option<Duration>,
    /// Whether it stays.
    pub lifecycle: HostLifecycle,
    /// Whether an order to it is not settled yet.
    pub order_pending: bool,
    /// Model that it held last.
    pub loaded: Option<ModelName>,
    /// Models on its disk or memory.
    pub staged: Vec<ModelName>,
    /// Second model that this node told it to load, if that may still be under way.
    pub staging: Option<ModelName>,
    /// Its replica.
    pub membership: Option<ReplicaMembership>,
    /// Time since the last change of its membership, as this node saw it.
    pub unchanged_for: Duration,
}

impl HostState {
    pub(super) fn answers(&self) -> bool {
        self.silent_for.is_none()
    }

    /// Whether it stays, answers, and waits for no order.
    pub(super) fn is_usable(&self) -> bool {
        self.answers() && self.lifecycle == HostLifecycle::Active && !self.order_pending
    }

    pub(super) fn is_warm(&self, model: &ModelName) -> bool {
        self.loaded.as_ref() == Some(model)
    }

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

/// A fabric domain with what is wanted of it.
#[derive(Debug)]
pub struct FabricState<'a> {
    /// Models.
    pub models: &'a [ModelConfig],
    /// Replicas wanted by model.
    pub desired: &'a BTreeMap<ModelName, usize>,
    /// Hosts.
    pub hosts: &'a [HostState],
    /// Replicas of each model that stand in all fabric domains together.
    pub fleet_replicas: &'a FastMap<ModelName, usize>,
    /// Replicas that were seen serving, or whose formation failed; none of them is opened again.
    pub never_reopen: &'a FastSet<(ReplicaId, u64)>,
    /// Whether hosts without weights may join replicas: true before the first request, when
    /// loads are quick and nobody waits for a spare.
    pub may_load_members: bool,
    /// Whether the weight store has time for weights that nobody waits for.
    pub may_stage: bool,
}

impl FabricState<'_> {
    /// The cover of a model in all fabric domains; `formed` replicas are new.
    pub(super) fn cover(&self, model: &ModelConfig, formed: usize) -> Cover {
        let standing = self.fleet_replicas.get(&model.name).copied().unwrap_or(0);
        Cover::of(model, standing + formed)
    }

    /// The cover of a model in all fabric domains when some of its replicas are given up.
    pub(super) fn cover_without(&self, model: &ModelConfig, given: usize) -> Cover {
        let standing = self.fleet_replicas.get(&model.name).copied().unwrap_or(0);
        Cover::of(model, standing.saturating_sub(given))
    }
}
