//! Decides on the steps of one round, without input or output.

use std::collections::BTreeMap;

use domain::{FabricFleet, FastMap, FastSet, HostId, HostSlot, ModelName, ReplicaId, ReplicaPlan};

use policy::assembly::drain_room;

use super::{AssemblyStep, HostChooser, HostHealth, ModelCounts, VersionTarget};
use crate::drains::DrainCause;

/// Steps in which a model goes over to other replicas where no free hosts are left: in each at most
/// one part in so many is missing. At 20 a model of up to 20 replicas misses one at a time.
const ROLLOUT_STEPS: usize = 20;

/// What a round goes by.
#[derive(Debug)]
pub struct RoundInput<'round, C> {
    /// The fleet as the table has it.
    pub fleet: &'round FabricFleet,
    /// Slots of every host that is listed or was assigned.
    pub slots: &'round FastMap<HostId, HostSlot>,
    /// The hosts that are listed or were assigned.
    pub hosts: &'round BTreeMap<HostId, HostHealth>,
    /// What the records ask for.
    pub targets: &'round [VersionTarget],
    /// How many replicas of each model stand and serve.
    pub counts: &'round FastMap<ModelName, ModelCounts>,
    /// Draining replicas whose hosts may be taken.
    pub drained: &'round FastSet<ReplicaId>,
    /// Which free hosts to take.
    pub chooser: &'round C,
}

/// The steps of a round.
///
/// Replicas that lost a host come first: they serve nothing and hold hosts that could. Drained
/// replicas follow, then new ones. Free hosts that one step takes are gone for the next.
#[must_use]
pub fn plan_round<C: HostChooser>(input: &RoundInput<'_, C>) -> Vec<AssemblyStep> {
    let mut round = Round {
        input,
        free: free_hosts(input),
        targets: input.targets.to_vec(),
        short: Vec::new(),
        room: FastMap::default(),
        steps: Vec::new(),
    };
    round.free_slots();
    for plan in &input.fleet.plans {
        if !plan.draining {
            round.mend(plan);
        }
    }
    for plan in &input.fleet.plans {
        if plan.draining {
            round.finish_drain(plan);
        }
    }
    round.regroup();
    round.form();
    round.steps
}

/// Hosts without a replica that reported in this round that they run nothing and want work.
fn free_hosts<C>(input: &RoundInput<'_, C>) -> Vec<HostId> {
    let mut free = Vec::new();
    for (host, health) in input.hosts {
        let slot_taken = input
            .slots
            .get(host)
            .is_none_or(|slot| slot.assignment.is_some());
        let empty = health
            .state
            .as_ref()
            .is_some_and(|state| state.assignment.is_none());
        if slot_taken || !empty || health.resting || health.drain.is_some() {
            continue;
        }
        free.push(host.clone());
    }
    free
}

struct Round<'round, C> {
    input: &'round RoundInput<'round, C>,
    free: Vec<HostId>,
    targets: Vec<VersionTarget>,
    /// Broken replicas that are wanted and find no spares.
    short: Vec<&'round ReplicaPlan>,
    /// How many replicas of a model may still be drained in this round.
    room: FastMap<ModelName, usize>,
    steps: Vec<AssemblyStep>,
}

impl<'round, C: HostChooser> Round<'round, C> {
    fn free_slots(&mut self) {
        for (host, slot) in self.input.slots {
            let Some(assignment) = &slot.assignment else {
                continue;
            };
            let plan = self.input.fleet.plan(&assignment.replica);
            if plan.is_some_and(|plan| plan.hosts.contains(host)) {
                continue;
            }
            let state = self
                .input
                .hosts
                .get(host)
                .and_then(|health| health.state.as_ref());
            if state.is_some_and(|state| state.assignment.is_none()) {
                self.steps.push(AssemblyStep::Free(host.clone()));
            }
        }
    }

    fn target(&mut self, plan: &ReplicaPlan) -> Option<&mut VersionTarget> {
        self.targets
            .iter_mut()
            .find(|target| target.model == plan.model && target.version == plan.version)
    }

    /// A replica that takes work: it goes on, is mended, or drains.
    fn mend(&mut self, plan: &ReplicaPlan) {
        let lost = plan.hosts.iter().any(|host| self.is_lost(host));
        let restarted = plan.hosts.iter().any(|host| self.is_restarted(host));
        if lost || restarted {
            self.replace_hosts(plan);
            return;
        }
        let Some(cause) = self.drain_cause(plan) else {
            return;
        };
        if let Some(target) = self.target(plan) {
            target.standing = target.standing.saturating_sub(1);
        }
        self.steps.push(AssemblyStep::Drain(plan.id.clone(), cause));
    }

    fn is_lost(&self, host: &HostId) -> bool {
        self.input
            .hosts
            .get(host)
            .is_none_or(|health| health.lost && health.state.is_none())
    }

    /// Whether a host's engine restarted under the replica. Its ranks then no longer belong
    /// together, even when the host itself is back, so the replica needs a new incarnation.
    fn is_restarted(&self, host: &HostId) -> bool {
        let state = self
            .input
            .hosts
            .get(host)
            .and_then(|health| health.state.as_ref());
        let assigned = self
            .input
            .slots
            .get(host)
            .and_then(|slot| slot.assignment.as_ref());
        match (state, assigned) {
            (Some(state), Some(assigned)) => state.boot > assigned.boot,
            _ => false,
        }
    }

    /// A drain that was begun and one that a record asks for.
    fn drain_cause(&mut self, plan: &ReplicaPlan) -> Option<DrainCause> {
        for host in &plan.hosts {
            let cause = self.input.hosts.get(host).and_then(|health| health.drain);
            if cause.is_some() {
                return cause;
            }
        }
        let cause = self.record_cause(plan)?;
        self.take_room(&plan.model).then_some(cause)
    }

    /// Why the records want the replica gone or formed anew.
    fn record_cause(&mut self, plan: &ReplicaPlan) -> Option<DrainCause> {
        let Some(target) = self.target(plan) else {
            return Some(DrainCause::Surplus);
        };
        if target.standing > target.wanted {
            return Some(DrainCause::Surplus);
        }
        let changed = target.adapters != plan.adapters || target.size != plan.hosts.len();
        changed.then_some(DrainCause::Changed)
    }

    /// Whether one more replica of a model may be drained in this round.
    ///
    /// A record that names a new version makes every replica of the old one a surplus. Drained all
    /// at once, the model would serve nobody until the new weights are loaded, and its callers be
    /// refused for minutes. So old ones go as new ones come to serve.
    fn take_room(&mut self, model: &ModelName) -> bool {
        if !self.room.contains_key(model) {
            let room = self.drain_room(model);
            self.room.insert(model.clone(), room);
        }
        let Some(room) = self.room.get_mut(model) else {
            return false;
        };
        let some = *room > 0;
        *room = room.saturating_sub(1);
        some
    }

    /// While new replicas can be formed from free hosts, or stand and load, nothing may be missing
    /// for the change; else a small part at a time.
    fn drain_room(&self, model: &ModelName) -> usize {
        let of_model = self.targets.iter().filter(|target| target.model == *model);
        let wanted: usize = of_model.clone().map(|target| target.wanted as usize).sum();
        let counts = self.input.counts.get(model).copied().unwrap_or_default();
        let mut lacking = of_model.filter(|target| target.standing < target.wanted);
        let formable =
            lacking.any(|target| self.input.chooser.choose(&self.free, target.size).is_some());
        if wanted > 0 && (formable || counts.standing > wanted) {
            return counts.serving.saturating_sub(wanted);
        }
        drain_room(wanted, counts.serving, ROLLOUT_STEPS)
    }

    /// The hosts that go on, filled up from the free ones; none when they do not suffice.
    fn refill(&mut self, plan: &ReplicaPlan, size: usize) -> Option<Vec<HostId>> {
        let mut hosts: Vec<HostId> = plan
            .hosts
            .iter()
            .filter(|host| !self.is_lost(host) && !self.is_draining(host))
            .take(size)
            .cloned()
            .collect();
        let missing = size - hosts.len();
        if missing > 0 {
            let spares = self.input.chooser.choose(&self.free, missing)?;
            self.free.retain(|host| !spares.contains(host));
            hosts.extend(spares);
        }
        Some(hosts)
    }

    fn is_draining(&self, host: &HostId) -> bool {
        self.input
            .hosts
            .get(host)
            .is_none_or(|health| health.drain.is_some())
    }

    fn replace_hosts(&mut self, plan: &ReplicaPlan) {
        let wanted = self.target(plan).map(|target| {
            let fits = target.standing <= target.wanted;
            (fits, target.size, target.adapters.clone())
        });
        let fits = wanted.as_ref().map(|(fits, ..)| *fits);
        let refilled = match wanted {
            Some((true, size, adapters)) => self.refill(plan, size).map(|hosts| (hosts, adapters)),
            Some((false, ..)) | None => None,
        };
        if let Some((hosts, adapters)) = refilled {
            self.steps.push(AssemblyStep::Reform {
                replica: plan.id.clone(),
                hosts,
                adapters,
            });
            return;
        }
        if let Some(target) = self.target(plan) {
            target.standing = target.standing.saturating_sub(1);
        }
        // It keeps its hosts, which hold their weights, and goes on when the lost one is back.
        // Since it does not count as standing any more, another fabric domain may form one.
        let step = match fits {
            Some(true) => AssemblyStep::Drain(plan.id.clone(), DrainCause::HostLost),
            Some(false) | None => AssemblyStep::Dissolve(plan.id.clone()),
        };
        self.steps.push(step);
    }

    /// A replica that takes no new work: it takes work again, waits, is formed anew or ends.
    fn finish_drain(&mut self, plan: &'round ReplicaPlan) {
        let broken = plan
            .hosts
            .iter()
            .any(|host| self.is_lost(host) || self.is_restarted(host));
        let asked = plan.hosts.iter().any(|host| self.is_draining(host));
        let target = self.target(plan).cloned();
        let wanted = target.filter(|target| target.standing < target.wanted);
        let same = wanted.as_ref().is_some_and(|target| {
            target.adapters == plan.adapters && target.size == plan.hosts.len()
        });
        if !broken && !asked && same {
            self.raise_standing(plan);
            self.steps.push(AssemblyStep::Undrain(plan.id.clone()));
            return;
        }
        if !broken && !self.input.drained.contains(&plan.id) {
            return;
        }
        if let Some(target) = wanted {
            let Some(hosts) = self.refill(plan, target.size) else {
                self.wait_for_hosts(plan, broken);
                return;
            };
            self.raise_standing(plan);
            self.steps.push(AssemblyStep::Reform {
                replica: plan.id.clone(),
                hosts,
                adapters: target.adapters,
            });
            return;
        }
        self.steps.push(AssemblyStep::Dissolve(plan.id.clone()));
    }

    /// A broken replica waits for its hosts; one whose host leaves ends, since that host is gone
    /// for good.
    fn wait_for_hosts(&mut self, plan: &'round ReplicaPlan, broken: bool) {
        let leaves = plan.hosts.iter().any(|host| self.is_draining(host));
        if broken && !leaves {
            self.short.push(plan);
            return;
        }
        self.steps.push(AssemblyStep::Dissolve(plan.id.clone()));
    }

    /// Takes one broken replica apart when its hosts make another one whole.
    ///
    /// With one host lost in each of two 16-host replicas, 30 hosts would wait for two. Taken
    /// apart alone it would help nobody, and its hosts would load their weights anew.
    fn regroup(&mut self) {
        let mut short = std::mem::take(&mut self.short);
        short.sort_by_key(|plan| self.lost_hosts(plan));
        let [first, .., donor] = short.as_slice() else {
            return;
        };
        let survivors = donor.hosts.len() - self.lost_hosts(donor);
        if survivors + self.free.len() >= self.lost_hosts(first) {
            self.steps.push(AssemblyStep::Dissolve(donor.id.clone()));
        }
    }

    fn lost_hosts(&self, plan: &ReplicaPlan) -> usize {
        plan.hosts.iter().filter(|host| self.is_lost(host)).count()
    }

    fn raise_standing(&mut self, plan: &ReplicaPlan) {
        if let Some(target) = self.target(plan) {
            target.standing += 1;
        }
    }

    /// New replicas, the version that lacks the largest share first: a model without any replica
    /// answers nobody, one that lacks the third of three answers a little later.
    fn form(&mut self) {
        let mut lacking: Vec<VersionTarget> = self.targets.clone();
        lacking.retain(|target| target.standing < target.wanted && target.size > 0);
        lacking.sort_by_key(|target| {
            let share = u64::from(target.standing) * 1_000 / u64::from(target.wanted);
            (share, target.model.clone(), target.version.clone())
        });
        for target in lacking {
            for _ in target.standing..target.wanted {
                let Some(hosts) = self.input.chooser.choose(&self.free, target.size) else {
                    break;
                };
                self.free.retain(|host| !hosts.contains(host));
                self.steps.push(AssemblyStep::Form {
                    target: target.clone(),
                    hosts,
                });
            }
        }
    }
}
