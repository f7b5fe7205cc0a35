//! The plan for one fabric domain.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::{FastMap, FastSet, HostId, ModelName, ReplicaId};

use super::situation::{FabricSituation, HostSituation, HostStay};
use super::spares::{is_spare_name, warm_spares};
use super::staging::stage_second;
use super::step::{CloseMode, PlanStep};
use crate::route::ModelShape;
use crate::target::MemberState;

/// Age of the last change of an incomplete replica after which its formation counts as given up:
/// orders are answered within milliseconds, and a lost answer is settled within a second.
const FORMING_PATIENCE: Duration = Duration::from_millis(2500);

/// Wait for the requests of a closing replica before they are cancelled. A leaving host serves on
/// for two seconds at least; what runs longer is resumed elsewhere rather than lost with it.
pub const CLOSING_PATIENCE: Duration = Duration::from_millis(2500);

/// Silence of a head after which its members are given to another replica; it was asked twice before.
/// Waiting for the registry instead costs the replica three more seconds each time a head dies.
const HEAD_PATIENCE: Duration = Duration::from_millis(200);

/// A replica as the hosts describe it.
struct KnownReplica<'a> {
    replica: &'a ReplicaId,
    epoch: u64,
    members: BTreeMap<u32, &'a HostSituation>,
}

impl KnownReplica<'_> {
    /// Whether orders to its members may still be on their way.
    fn may_be_forming(&self) -> bool {
        let youngest = self.members.values().map(|host| host.unchanged).min();
        let ordered = self.members.values().any(|host| host.ordered);
        ordered || youngest.is_some_and(|youngest| youngest < FORMING_PATIENCE)
    }

    /// How many members will not join its successor.
    fn going(&self) -> usize {
        let going = |host: &&&HostSituation| host.stay != HostStay::Stays;
        self.members.values().filter(going).count()
    }

    /// Whether each known member has its weights and does not serve.
    fn is_ready(&self) -> bool {
        self.members.values().all(|host| {
            let membership = host.membership.as_ref();
            membership.is_some_and(|membership| membership.state == MemberState::Ready)
        })
    }

    fn close(&self, head: &HostSituation, mode: CloseMode) -> PlanStep {
        PlanStep::Close {
            head: head.id.clone(),
            replica: self.replica.clone(),
            epoch: self.epoch,
            mode,
        }
    }
}

enum ReplicaFate {
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

/// Plans the next steps.
#[must_use]
pub fn plan_fabric(situation: &FabricSituation<'_>) -> Vec<PlanStep> {
    let mut steps = Vec::new();
    let mut lost = Vec::new();
    let mut ending = Vec::new();
    let mut taken: FastSet<&HostId> = FastSet::default();
    let mut standing: FastMap<&ModelName, usize> = FastMap::default();
    for known in known_replicas(situation.hosts) {
        let model = replica_model(&known, situation.models);
        match judge(&known, model, situation, &mut steps) {
            ReplicaFate::Over => continue,
            ReplicaFate::Lost(close) => {
                lost.push(close);
                continue;
            }
            ReplicaFate::Ending(leaving) => ending.extend(model.map(|model| (model, leaving))),
            ReplicaFate::Stays | ReplicaFate::Changing => {}
        }
        for host in known.members.values() {
            taken.insert(&host.id);
        }
        if let Some(model) = model {
            *standing.entry(&model.name).or_default() += 1;
        }
    }
    let mut free: Vec<&HostSituation> = situation
        .hosts
        .iter()
        .filter(|host| host.is_usable())
        .filter(|host| !taken.contains(&host.id))
        .collect();
    let kept = keep_for_successors(&ending, &mut free);
    form_replicas(situation, &mut standing, &mut free, &mut steps);
    free.extend(kept);
    let mut idle_heads = Vec::new();
    for close in lost {
        let PlanStep::Close { head, .. } = &close else {
            continue;
        };
        if free.iter().any(|host| host.id == *head) {
            idle_heads.push(head.clone());
            steps.push(close);
        }
    }
    free.retain(|host| !idle_heads.contains(&host.id));
    warm_spares(situation, &standing, &free, &mut steps);
    stage_second(situation, &mut steps);
    steps
}

fn known_replicas(hosts: &[HostSituation]) -> Vec<KnownReplica<'_>> {
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

fn replica_model<'a>(known: &KnownReplica<'_>, models: &'a [ModelShape]) -> Option<&'a ModelShape> {
    let loaded = known
        .members
        .values()
        .find_map(|host| host.loaded.as_ref())?;
    models.iter().find(|model| model.name == *loaded)
}

fn judge(
    known: &KnownReplica<'_>,
    model: Option<&ModelShape>,
    situation: &FabricSituation<'_>,
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
    let leaving =
        head.stay != HostStay::Stays || known.members.values().any(|host| host.stay.ends());
    match head.membership.as_ref().map(|membership| membership.state) {
        Some(MemberState::Open) if whole && !leaving => ReplicaFate::Stays,
        Some(MemberState::Open | MemberState::Closing) if !head.answers() => {
            judge_silent_head(head)
        }
        // It can't be told to close, and takes nothing new.
        Some(MemberState::Open | MemberState::Closing)
            if whole && head.stay == HostStay::Retired =>
        {
            ReplicaFate::Ending(known.going())
        }
        Some(MemberState::Open) if whole => {
            steps.push(known.close(head, CloseMode::Wait));
            ReplicaFate::Ending(known.going())
        }
        Some(MemberState::Closing) if whole && head.unchanged <= CLOSING_PATIENCE => {
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

fn judge_silent_head(head: &HostSituation) -> ReplicaFate {
    let lost = head.silent.is_some_and(|silent| silent >= HEAD_PATIENCE);
    if lost {
        ReplicaFate::Over
    } else {
        ReplicaFate::Changing
    }
}

/// A replica that has never served: it forms, is about to open, or was given up.
fn judge_unopened(
    known: &KnownReplica<'_>,
    head: &HostSituation,
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

fn is_spent(situation: &FabricSituation<'_>, known: &KnownReplica<'_>) -> bool {
    let key = (known.replica.clone(), known.epoch);
    situation.spent.contains(&key)
}

/// Takes out of `free` the hosts that replicas which end will need beside those of their own that
/// stay.
///
/// A replica ends within seconds. Were its spare given to another one meanwhile, the hosts that stay
/// would be too few for a successor: with one host that left, a model then lost four, and its
/// callers were refused.
fn keep_for_successors<'a>(
    ending: &[(&ModelShape, usize)],
    free: &mut Vec<&'a HostSituation>,
) -> Vec<&'a HostSituation> {
    let mut kept: Vec<&HostSituation> = Vec::new();
    for (model, missing) in ending {
        let mut fitting: Vec<&HostSituation> = free
            .iter()
            .copied()
            .filter(|host| host.has_weights(&model.name) && !host.is_joining())
            .collect();
        // Too few for a successor, they may serve in another replica.
        if fitting.len() < *missing {
            continue;
        }
        fitting.sort_by_key(|host| !host.is_warm(&model.name));
        fitting.truncate(*missing);
        free.retain(|host| !fitting.iter().any(|taken| taken.id == host.id));
        kept.extend(fitting);
    }
    kept
}

fn form_replicas<'a>(
    situation: &FabricSituation<'a>,
    standing: &mut FastMap<&'a ModelName, usize>,
    free: &mut Vec<&HostSituation>,
    steps: &mut Vec<PlanStep>,
) {
    let mut formed: FastMap<&ModelName, usize> = FastMap::default();
    while let Some((model, members)) = next_replica(situation, standing, &formed, free) {
        steps.push(PlanStep::Form {
            model: model.name.clone(),
            members,
        });
        *standing.entry(&model.name).or_default() += 1;
        *formed.entry(&model.name).or_default() += 1;
    }
}

fn next_replica<'a>(
    situation: &FabricSituation<'a>,
    standing: &FastMap<&'a ModelName, usize>,
    formed: &FastMap<&'a ModelName, usize>,
    free: &mut Vec<&HostSituation>,
) -> Option<(&'a ModelShape, Vec<HostId>)> {
    for model in by_lack(situation, standing, formed) {
        let wanted = situation.wanted.get(&model.name).copied().unwrap_or(0);
        let have = standing.get(&model.name).copied().unwrap_or(0);
        let Some(reserve) = spares_kept(situation, standing, formed, model) else {
            continue;
        };
        let may_load = situation.may_load_members && have < wanted;
        if let Some(members) = take_members(free, model, reserve, may_load) {
            return Some((model, members));
        }
    }
    None
}

/// Hosts that stay free when one more replica of a model is formed; nothing if it should not be.
///
/// Beyond what is wanted one host stays a spare, so that the next loss costs a second. Where a wanted
/// replica of another model lacks hosts, those that are left would serve nobody: they serve this
/// one, unless the fleet has more of it already. A host that has changed its model takes a load of
/// many seconds to change back, so small replicas would else use up one by one what a large one
/// needs at once.
fn spares_kept(
    situation: &FabricSituation<'_>,
    standing: &FastMap<&ModelName, usize>,
    formed: &FastMap<&ModelName, usize>,
    model: &ModelShape,
) -> Option<usize> {
    if is_lacking(situation, standing, model) {
        return Some(0);
    }
    let own = cover(situation, formed, model);
    let mut reserve = 1;
    for other in situation.models {
        if !is_lacking(situation, standing, other) {
            continue;
        }
        if own > cover(situation, formed, other) {
            return None;
        }
        reserve = 0;
    }
    Some(reserve)
}

/// Whether a domain should have a further replica of a model.
fn is_lacking(
    situation: &FabricSituation<'_>,
    standing: &FastMap<&ModelName, usize>,
    model: &ModelShape,
) -> bool {
    let have = standing.get(&model.name).copied().unwrap_or(0);
    let wanted = situation.wanted.get(&model.name).copied().unwrap_or(0);
    have < wanted
}

fn cover(
    situation: &FabricSituation<'_>,
    formed: &FastMap<&ModelName, usize>,
    model: &ModelShape,
) -> f64 {
    let formed = formed.get(&model.name).copied().unwrap_or(0);
    situation.cover(model, formed)
}

/// The models in the order in which they get hosts: what the domain lacks goes first, and of that
/// what the whole fleet has least of.
fn by_lack<'a>(
    situation: &FabricSituation<'a>,
    standing: &FastMap<&'a ModelName, usize>,
    formed: &FastMap<&'a ModelName, usize>,
) -> Vec<&'a ModelShape> {
    let mut models: Vec<&ModelShape> = situation.models.iter().collect();
    models.sort_by(|left, right| {
        let lacks = |model: &ModelShape| is_lacking(situation, standing, model);
        let cover = |model: &ModelShape| cover(situation, formed, model);
        lacks(right)
            .cmp(&lacks(left))
            .then(cover(left).total_cmp(&cover(right)))
            .then(right.size.cmp(&left.size))
    });
    models
}

fn take_members(
    free: &mut Vec<&HostSituation>,
    model: &ModelShape,
    reserve: usize,
    may_load: bool,
) -> Option<Vec<HostId>> {
    let fits = |host: &&HostSituation| {
        if host.has_weights(&model.name) {
            return !host.is_joining();
        }
        may_load && !host.has_any_weights() && !host.is_joining()
    };
    let fitting = free.iter().copied().filter(|host| fits(host)).count();
    if model.size == 0 || fitting < model.size + reserve {
        return None;
    }
    let mut chosen: Vec<&HostSituation> = free.iter().copied().filter(|host| fits(host)).collect();
    chosen.sort_by(|left, right| {
        let cold =
            |host: &HostSituation| (!host.is_warm(&model.name), !host.has_weights(&model.name));
        cold(left).cmp(&cold(right)).then(left.id.cmp(&right.id))
    });
    chosen.truncate(model.size);
    free.retain(|host| !chosen.iter().any(|taken| taken.id == host.id));
    Some(chosen.into_iter().map(|host| host.id.clone()).collect())
}
