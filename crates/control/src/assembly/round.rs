//! Decides on the steps of one round, without input or output.

use std::collections::BTreeMap;

use domain::{FabricFleet, FastMap, FastSet, HostId, HostSlot, ModelName, ReplicaId, ReplicaPlan};

use super::{AssemblyStep, DesiredVersion, HostChooser, HostHealth, ServingReplicas};
use crate::drains::DrainCause;

/// Inputs of a round.
#[derive(Debug)]
pub struct RoundInput<'round, C> {
    /// The fleet as stored in the table.
    pub fleet: &'round FabricFleet,
    /// Slots of all hosts that are listed or assigned.
    pub slots: &'round FastMap<HostId, HostSlot>,
    /// Health of the same hosts in this round.
    pub hosts: &'round BTreeMap<HostId, HostHealth>,
    /// The desired state of each model version.
    pub versions: &'round [DesiredVersion],
    /// Which replicas are active and serving.
    pub serving: &'round ServingReplicas,
    /// Draining replicas whose hosts may be taken.
    pub drained: &'round FastSet<ReplicaId>,
    /// Strategy that selects free hosts.
    pub chooser: &'round C,
}

/// Returns the steps of a round.
///
/// Replicas that lost a host come first: they serve nothing and occupy hosts that could. Drained
/// replicas follow, then new ones. Free hosts used by one step are not available to the next.
#[must_use]
pub fn plan_round<C: HostChooser>(input: &RoundInput<'_, C>) -> Vec<AssemblyStep> {
    let mut round = Round {
        input,
        free: free_hosts(input),
        versions: input.versions.to_vec(),
        waiting: Vec::new(),
        drains: FastMap::default(),
        steps: Vec::new(),
    };
    round.free_empty_slots();
    for plan in &input.fleet.plans {
        if !plan.draining {
            round.reconcile_active(plan);
        }
    }
    for plan in &input.fleet.plans {
        if plan.draining {
            round.reconcile_draining(plan);
        }
    }
    round.dissolve_for_spares();
    round.form_replicas();
    round.steps
}

/// Hosts without a replica that reported in this round that they run nothing, and that are neither
/// draining nor cooling down.
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
        if slot_taken || !empty || health.cooling_down || health.drain.is_some() {
            continue;
        }
        free.push(host.clone());
    }
    free
}

struct Round<'round, C> {
    input: &'round RoundInput<'round, C>,
    free: Vec<HostId>,
    versions: Vec<DesiredVersion>,
    /// Broken replicas that are desired but lack spare hosts.
    waiting: Vec<&'round ReplicaPlan>,
    /// How many replicas of a model may still be drained in this round.
    drains: FastMap<ModelName, usize>,
    steps: Vec<AssemblyStep>,
}

impl<'round, C: HostChooser> Round<'round, C> {
    fn free_empty_slots(&mut self) {
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

    fn version(&mut self, plan: &ReplicaPlan) -> Option<&mut DesiredVersion> {
        self.versions
            .iter_mut()
            .find(|version| version.model == plan.model && version.version == plan.version)
    }

    /// Reconciles a replica that takes work: it is left alone, gets other hosts, or drains.
    fn reconcile_active(&mut self, plan: &ReplicaPlan) {
        let lost = plan.hosts.iter().any(|host| self.is_lost(host));
        let restarted = plan.hosts.iter().any(|host| self.is_restarted(host));
        if lost || restarted {
            self.replace_hosts(plan);
            return;
        }
        let Some(cause) = self.drain_cause(plan) else {
            return;
        };
        if let Some(version) = self.version(plan) {
            version.active = version.active.saturating_sub(1);
        }
        self.steps.push(AssemblyStep::Drain(plan.id.clone(), cause));
    }

    fn is_lost(&self, host: &HostId) -> bool {
        self.input
            .hosts
            .get(host)
            .is_none_or(|health| health.lost && health.state.is_none())
    }

    /// Whether a host's engine restarted since it was assigned. The replica's ranks then no longer
    /// form one group, even though the host is back, so the replica needs a new incarnation.
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

    /// Why the replica must drain: a drain of one of its hosts, or a change of the records.
    fn drain_cause(&mut self, plan: &ReplicaPlan) -> Option<DrainCause> {
        for host in &plan.hosts {
            let cause = self.input.hosts.get(host).and_then(|health| health.drain);
            if cause.is_some() {
                return cause;
            }
        }
        let cause = self.config_drain_cause(plan)?;
        // A replica that is not serving can be drained at once.
        let free = !self.input.serving.serves(&plan.id) || self.consume_drain(&plan.model);
        free.then_some(cause)
    }

    /// Why the records require the replica to end or to be formed again.
    fn config_drain_cause(&mut self, plan: &ReplicaPlan) -> Option<DrainCause> {
        let Some(version) = self.version(plan) else {
            return Some(DrainCause::Surplus);
        };
        if version.active > version.desired {
            return Some(DrainCause::Surplus);
        }
        let changed =
            version.adapters != plan.adapters || version.hosts_per_replica != plan.hosts.len();
        changed.then_some(DrainCause::Changed)
    }

    fn consume_drain(&mut self, model: &ModelName) -> bool {
        let drains = self.drains.get(model).copied().unwrap_or_else(|| {
            let of_model = self
                .versions
                .iter()
                .filter(|version| version.model == *model);
            let mut lacking = of_model
                .clone()
                .filter(|version| version.active < version.desired);
            let chooser = self.input.chooser;
            let formable = lacking.any(|version| {
                chooser
                    .choose(&self.free, version.hosts_per_replica)
                    .is_some()
            });
            let desired = of_model.map(|version| version.desired as usize).sum();
            self.input
                .serving
                .counts(model)
                .allowed_drains(desired, formable)
        });
        self.drains.insert(model.clone(), drains.saturating_sub(1));
        drains > 0
    }

    /// The remaining hosts, filled up with free ones; none when there are too few.
    fn fill_hosts(&mut self, plan: &ReplicaPlan, size: usize) -> Option<Vec<HostId>> {
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
        let desired = self.version(plan).map(|version| {
            let within_desired = version.active <= version.desired;
            (
                within_desired,
                version.hosts_per_replica,
                version.adapters.clone(),
            )
        });
        let within_desired = desired.as_ref().map(|(within_desired, ..)| *within_desired);
        let refilled = match desired {
            Some((true, size, adapters)) => {
                self.fill_hosts(plan, size).map(|hosts| (hosts, adapters))
            }
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
        if let Some(version) = self.version(plan) {
            version.active = version.active.saturating_sub(1);
        }
        // It keeps its hosts, which hold their weights, and continues when the lost one is back. As
        // it is no longer counted as active, another fabric domain may form a replacement.
        let step = match within_desired {
            Some(true) => AssemblyStep::Drain(plan.id.clone(), DrainCause::HostLost),
            Some(false) | None => AssemblyStep::Dissolve(plan.id.clone()),
        };
        self.steps.push(step);
    }

    /// Reconciles a replica that takes no new work: it is undrained, waits, is reformed or
    /// dissolved.
    fn reconcile_draining(&mut self, plan: &'round ReplicaPlan) {
        let broken = plan
            .hosts
            .iter()
            .any(|host| self.is_lost(host) || self.is_restarted(host));
        let host_draining = plan.hosts.iter().any(|host| self.is_draining(host));
        let version = self.version(plan).cloned();
        let desired = version.filter(|version| version.active < version.desired);
        let same = desired.as_ref().is_some_and(|version| {
            version.adapters == plan.adapters && version.hosts_per_replica == plan.hosts.len()
        });
        if !broken && !host_draining && same {
            self.count_active(plan);
            self.steps.push(AssemblyStep::Undrain(plan.id.clone()));
            return;
        }
        if !broken && !self.input.drained.contains(&plan.id) {
            return;
        }
        if let Some(version) = desired {
            let Some(hosts) = self.fill_hosts(plan, version.hosts_per_replica) else {
                self.wait_for_hosts(plan, broken);
                return;
            };
            self.count_active(plan);
            self.steps.push(AssemblyStep::Reform {
                replica: plan.id.clone(),
                hosts,
                adapters: version.adapters,
            });
            return;
        }
        self.steps.push(AssemblyStep::Dissolve(plan.id.clone()));
    }

    /// A broken replica waits for its hosts, unless one of them is draining and will not return.
    fn wait_for_hosts(&mut self, plan: &'round ReplicaPlan, broken: bool) {
        let host_draining = plan.hosts.iter().any(|host| self.is_draining(host));
        if broken && !host_draining {
            self.waiting.push(plan);
            return;
        }
        self.steps.push(AssemblyStep::Dissolve(plan.id.clone()));
    }

    /// Dissolves one broken replica if its hosts suffice to complete another one.
    ///
    /// With one host lost in each of two 16-host replicas, 30 hosts would wait for two. Dissolving
    /// a replica that completes no other one would not help, and its hosts would have to load their
    /// weights again.
    fn dissolve_for_spares(&mut self) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(|plan| self.lost_hosts(plan));
        let [first, .., donor] = waiting.as_slice() else {
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

    fn count_active(&mut self, plan: &ReplicaPlan) {
        if let Some(version) = self.version(plan) {
            version.active += 1;
        }
    }

    /// Forms new replicas, starting with the version that lacks the largest share: a model without
    /// any replica serves nobody, whereas one that lacks the third of three only responds more
    /// slowly.
    fn form_replicas(&mut self) {
        let mut lacking: Vec<DesiredVersion> = self.versions.clone();
        lacking.retain(|version| version.active < version.desired && version.hosts_per_replica > 0);
        lacking.sort_by_key(|version| {
            let share = u64::from(version.active) * 1_000 / u64::from(version.desired);
            (share, version.model.clone(), version.version.clone())
        });
        for version in lacking {
            for _ in version.active..version.desired {
                let Some(hosts) = self
                    .input
                    .chooser
                    .choose(&self.free, version.hosts_per_replica)
                else {
                    break;
                };
                self.free.retain(|host| !hosts.contains(host));
                self.steps.push(AssemblyStep::Form {
                    version: version.clone(),
                    hosts,
                });
            }
        }
    }
}
