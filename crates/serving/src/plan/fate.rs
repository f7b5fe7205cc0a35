//! What becomes of the replicas that stand in a fabric domain.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::ReplicaId;

use super::spares::is_spare_name;
use super::state::{FabricState, HostLifecycle, HostState};
use super::step::{CloseMode, PlanStep};
use crate::route::ModelConfig;
use crate::target::MemberState;

/// Age of the last change of an incomplete replica after which its formation counts as given up:
/// orders are answered within milliseconds, and a lost answer is settled within a second.
const FORMING_PATIENCE: Duration = Duration::from_millis(2500);

/// Wait for the requests of a closing replica before they are cancelled. A leaving host serves on
/// for two seconds at least; what runs longer is resumed elsewhere rather than lost with it.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Silence of a head after which its members are given to another replica; it was asked twice before.
/// Waiting for the registry instead costs the replica three more seconds each time a head dies.
const HEAD_PATIENCE: Duration = Duration::from_millis(200);

/// A replica as the hosts describe it.
pub(super) struct KnownReplica<'a> {
    pub replica: &'a ReplicaId,
    pub epoch: u64,
    pub members: BTreeMap<u32, &'a HostState>,
}

impl KnownReplica<'_> {
    /// Whether orders to its members may still be on their way.
    fn may_be_forming(&self) -> bool {
        let youngest = self.members.values().map(|host| host.unchanged_for).min();
        let ordered = self.members.values().any(|host| host.order_pending);
        ordered || youngest.is_some_and(|youngest| youngest < FORMING_PATIENCE)
    }

    /// How many members will not join its successor.
    fn going(&self) -> usize {
        let going = |host: &&&HostState| host.lifecycle != HostLifecycle::Active;
        self.members.values().filter(going).count()
    }

    /// Whether each known member has its weights and does not serve.
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

pub(super) enum ReplicaFate {
    /// Serves, or is about to.
    Stays,
    /// In its way of forming or closing.
    Changing,
    /// Ends what it took, because as many of its hosts as the number says leave.
    Ending(usize),
    /// Its members can join others.
    Over,
    /// Its members can join others; where none does, this step ends its requests.
    Lost(PlanStep),
}

pub(super) fn known_replicas(hosts: &[HostState]) -> Vec<KnownReplica<'_>> {
    let mut replicas: BTreeMap<(&ReplicaId, u64), KnownReplica> = BTreeMap::new();
    for host in hosts {
        let Some(membership) = &host.membership else {
            continue;
        };
        let known = replicas
            .entry((&membership.replica, membership.epoch))
            .or_insert_with(|| KnownReplica {
                replica: &membership.replica,
                epoch: membership.epoch,
                members: BTreeMap::new(),
            });
        known.members.insert(membership.rank, host);
    }
    replicas.into_values().collect()
}

pub(super) fn replica_model<'a>(
    known: &KnownReplica<'_>,
    models: &'a [ModelConfig],
) -> Option<&'a ModelConfig> {
    let loaded = known
        .members
        .values()
        .find_map(|host| host.loaded.as_ref())?;
    models.iter().find(|model| model.name == *loaded)
}

pub(super) fn judge(
    known: &KnownReplica<'_>,
    model: Option<&ModelConfig>,
    situation: &FabricState<'_>,
    steps: &mut Vec<PlanStep>,
) -> ReplicaFate {
    let Some(head) = known.members.get(&0) else {
        // The head is gone. Its members leave the replica before they join another.
        return if known.may_be_forming() && !is_spent(situation, known) {
            ReplicaFate::Changing
        } else {
            ReplicaFate::Over
        };
    };
    let complete = model.is_some_and(|model| known.members.len() == model.size);
    let whole = complete && known.members.values().all(|host| host.answers());
    // A head that the registry names no more takes no new requests, and ends as if it had said so.
    let leaving = head.lifecycle != HostLifecycle::Active
        || known.members.values().any(|host| host.lifecycle.ends());
    match head.membership.as_ref().map(|membership| membership.state) {
        Some(MemberState::Open) if whole && !leaving => ReplicaFate::Stays,
        Some(MemberState::Open | MemberState::Closing) if !head.answers() => {
            judge_silent_head(head)
        }
        // It can't be told to close, and takes nothing new.
        Some(MemberState::Open | MemberState::Closing)
            if whole && head.lifecycle == HostLifecycle::Retired =>
        {
            ReplicaFate::Ending(known.going())
        }
        Some(MemberState::Open) if whole => {
            steps.push(known.close(head, CloseMode::Wait));
            ReplicaFate::Ending(known.going())
        }
        Some(MemberState::Closing) if whole && head.unchanged_for <= CLOSE_TIMEOUT => {
            ReplicaFate::Ending(known.going())
        }
        // A member is lost and nothing moves any more, or what should end does not. Its head leaves
        // first whoever joins it, so its requests end at once and move.
        Some(MemberState::Open | MemberState::Closing) => {
            ReplicaFate::Lost(known.close(head, CloseMode::Cancel))
        }
        Some(MemberState::Broken) | None => ReplicaFate::Over,
        Some(MemberState::Ready | MemberState::Joining) => {
            let answering = known.members.values().all(|host| host.answers());
            if !answering || leaving || is_spent(situation, known) {
                return ReplicaFate::Over;
            }
            judge_unopened(known, head, complete, steps)
        }
    }
}

fn judge_silent_head(head: &HostState) -> ReplicaFate {
    let lost = head
        .silent_for
        .is_some_and(|silent| silent >= HEAD_PATIENCE);
    if lost {
        ReplicaFate::Over
    } else {
        ReplicaFate::Changing
    }
}

/// A replica that has never served: it forms, is about to open, or was given up.
fn judge_unopened(
    known: &KnownReplica<'_>,
    head: &HostState,
    complete: bool,
    steps: &mut Vec<PlanStep>,
) -> ReplicaFate {
    if !complete {
        let is_spare = known.members.len() == 1 && is_spare_name(known.replica);
        return if known.may_be_forming() && !is_spare {
            ReplicaFate::Changing
        } else {
            ReplicaFate::Over
        };
    }
    if known.is_ready() {
        steps.push(PlanStep::Open {
            head: head.id.clone(),
            replica: known.replica.clone(),
            epoch: known.epoch,
        });
    }
    ReplicaFate::Changing
}

fn is_spent(situation: &FabricState<'_>, known: &KnownReplica<'_>) -> bool {
    let key = (known.replica.clone(), known.epoch);
    situation.never_reopen.contains(&key)
}
