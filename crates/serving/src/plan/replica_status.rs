//! Assessment of the existing replicas of a fabric domain.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::ReplicaId;

use super::spares::is_spare_name;
use super::state::{FabricState, HostLifecycle, HostState};
use super::step::{CloseMode, PlanStep};
use crate::route::ModelConfig;
use crate::target::MemberState;

/// Time since the last change of an incomplete replica after which its formation counts as
/// abandoned. Hosts respond to orders within milliseconds, and a lost response is resolved within a
/// second.
const FORMATION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time after which the requests of a closing replica are cancelled. A draining host serves for at
/// least two more seconds; requests that run longer are resumed elsewhere instead of being lost
/// with it.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time for which a head must be silent before its members join another replica; it has been probed
/// twice by then. Waiting for the registry instead would take three more seconds per lost head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(200);

/// A replica, assembled from the memberships of its hosts.
pub(super) struct ObservedReplica<'a> {
    pub replica: &'a ReplicaId,
    pub epoch: u64,
    pub members: BTreeMap<u32, &'a HostState>,
}

impl ObservedReplica<'_> {
    /// Returns whether orders to its members may still be in flight.
    fn may_be_forming(&self) -> bool {
        let youngest = self.members.values().map(|host| host.unchanged_for).min();
        let order_pending = self.members.values().any(|host| host.order_pending);
        order_pending || youngest.is_some_and(|youngest| youngest < FORMATION_TIMEOUT)
    }

    /// Returns how many members will not be available for its successor.
    fn count_departing(&self) -> usize {
        let departing = |host: &&&HostState| !host.is_available();
        self.members.values().filter(departing).count()
    }

    /// Returns whether a known member is in an evacuated failure domain, so that the replica takes no requests.
    pub fn is_evacuated(&self) -> bool {
        self.members.values().any(|host| host.evacuated)
    }

    /// Returns whether all known members have loaded their weights and none serves.
    fn is_ready(&self) -> bool {
        self.members.values().all(|host| {
            let membership = host.membership.as_ref();
            membership.is_some_and(|membership| membership.state == MemberState::Ready)
        })
    }

    pub fn close(&self, head: &HostState, mode: CloseMode) -> PlanStep {
        PlanStep::Close {
            head: head.id.clone(),
            replica: self.replica.clone(),
            epoch: self.epoch,
            mode,
        }
    }
}

/// Status of an existing replica, which decides what the plan does with its hosts.
pub(super) enum ReplicaStatus {
    /// It serves and should continue.
    Serving,
    /// It is forming, about to open or possibly only slow, and is left alone.
    InTransition,
    /// It completes its requests because hosts leave; the number is how many of its members will
    /// not be available for its successor.
    Closing(usize),
    /// Its members may join other replicas.
    Released,
    /// Its members may join other replicas. If its head does not, this step cancels its requests.
    Failed(PlanStep),
}

/// Groups hosts into replicas by their memberships.
pub(super) fn observe_replicas(hosts: &[HostState]) -> Vec<ObservedReplica<'_>> {
    let mut replicas: BTreeMap<(&ReplicaId, u64), ObservedReplica> = BTreeMap::new();
    for host in hosts {
        let Some(membership) = &host.membership else {
            continue;
        };
        let observed = replicas
            .entry((&membership.replica, membership.epoch))
            .or_insert_with(|| ObservedReplica {
                replica: &membership.replica,
                epoch: membership.epoch,
                members: BTreeMap::new(),
            });
        observed.members.insert(membership.rank, host);
    }
    replicas.into_values().collect()
}

/// Returns the model of a replica: that of the lowest ranked member with one loaded.
pub(super) fn replica_model<'a>(
    observed: &ObservedReplica<'_>,
    models: &'a [ModelConfig],
) -> Option<&'a ModelConfig> {
    let loaded = observed
        .members
        .values()
        .find_map(|host| host.loaded.as_ref())?;
    models.iter().find(|model| model.name == *loaded)
}

/// Assesses a replica, adding a step if it should open or close.
pub(super) fn assess(
    observed: &ObservedReplica<'_>,
    model: Option<&ModelConfig>,
    fabric: &FabricState<'_>,
    steps: &mut Vec<PlanStep>,
) -> ReplicaStatus {
    let Some(head) = observed.members.get(&0) else {
        // The head is lost or has not joined yet. Members leave this replica before they join
        // another.
        return if observed.may_be_forming() && !must_not_reopen(fabric, observed) {
            ReplicaStatus::InTransition
        } else {
            ReplicaStatus::Released
        };
    };
    let complete = model.is_some_and(|model| observed.members.len() == model.size);
    let intact = complete && observed.members.values().all(|host| host.responds());
    // A head that is no longer in the registry gets no new requests, so it is closed as if it were
    // draining.
    let leaving = head.lifecycle != HostLifecycle::Active
        || observed
            .members
            .values()
            .any(|host| host.lifecycle.closes_replica());
    match head.membership.as_ref().map(|membership| membership.state) {
        Some(MemberState::Open) if intact && !leaving => ReplicaStatus::Serving,
        Some(MemberState::Open | MemberState::Closing) if !head.responds() => {
            assess_silent_head(head)
        }
        // A retired head takes no orders, so it can't be told to close, and no new requests.
        Some(MemberState::Open | MemberState::Closing)
            if intact && head.lifecycle == HostLifecycle::Retired =>
        {
            ReplicaStatus::Closing(observed.count_departing())
        }
        Some(MemberState::Open) if intact => {
            steps.push(observed.close(head, CloseMode::Wait));
            ReplicaStatus::Closing(observed.count_departing())
        }
        Some(MemberState::Closing) if intact && head.unchanged_for <= CLOSE_TIMEOUT => {
            ReplicaStatus::Closing(observed.count_departing())
        }
        // A member is lost and the replica makes no progress, or its requests take too long to
        // complete. Whichever replica its head joins, it leaves this one first, so its requests are
        // cut off at once and move to other targets.
        Some(MemberState::Open | MemberState::Closing) => {
            ReplicaStatus::Failed(observed.close(head, CloseMode::Cancel))
        }
        Some(MemberState::Broken) | None => ReplicaStatus::Released,
        Some(MemberState::Ready | MemberState::Joining) => {
            let responding = observed.members.values().all(|host| host.responds());
            let may_open = !leaving && !observed.is_evacuated();
            if !responding || !may_open || must_not_reopen(fabric, observed) {
                return ReplicaStatus::Released;
            }
            assess_unopened(observed, head, complete, steps)
        }
    }
}

fn assess_silent_head(head: &HostState) -> ReplicaStatus {
    let is_lost = head.silent_for.is_some_and(|silent| silent >= HEAD_TIMEOUT);
    if is_lost {
        ReplicaStatus::Released
    } else {
        ReplicaStatus::InTransition
    }
}

/// Assesses a replica that has never served: it forms, is about to open, or was abandoned.
fn assess_unopened(
    observed: &ObservedReplica<'_>,
    head: &HostState,
    complete: bool,
    steps: &mut Vec<PlanStep>,
) -> ReplicaStatus {
    if !complete {
        let is_spare = observed.members.len() == 1 && is_spare_name(observed.replica);
        return if observed.may_be_forming() && !is_spare {
            ReplicaStatus::InTransition
        } else {
            ReplicaStatus::Released
        };
    }
    if observed.is_ready() {
        steps.push(PlanStep::Open {
            head: head.id.clone(),
            replica: observed.replica.clone(),
            epoch: observed.epoch,
        });
    }
    ReplicaStatus::InTransition
}

fn must_not_reopen(fabric: &FabricState<'_>, observed: &ObservedReplica<'_>) -> bool {
    let key = (observed.replica.clone(), observed.epoch);
    fabric.never_reopen.contains(&key)
}
