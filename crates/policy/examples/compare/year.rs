//! A year of host losses and returns on a virtual clock, to weigh ways of assembling replicas.

#![allow(dead_code, clippy::cast_precision_loss)]

use std::collections::BTreeMap;
use std::time::Duration;

use domain::ReplicaId;
use policy::assembly::{
    AssemblyReplica, AssemblySettings, AssemblyState, AssemblyStep, HostPresence, LoadedWeights,
    ReplicaStage, WantedReplicas,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[path = "fleet.rs"]
mod fleet;

pub use fleet::{FleetPlan, fleet, wanted};
use fleet::{id, occurrences};

pub type Planner = fn(&AssemblyState, &AssemblySettings) -> Vec<AssemblyStep>;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// A host goes; it comes back after the time, with its weights or without.
    Gone(usize, Duration, bool),
    Back(usize),
    Loaded(u64),
    Drained(u64),
    Amended,
    Look,
}

/// Losses in a year by the two measures of docs/DECISIONS.md.
#[derive(Debug, Clone, Copy, Default)]
pub struct YearResult {
    /// Hours in which a wanted replica did not serve, over all of them.
    pub group_downtime: f64,
    /// The same as a part of all wanted replicas' hours.
    pub downtime_part: f64,
    /// Part of the paid host hours in which a host served nothing.
    pub stranded_part: f64,
    pub fetches: u64,
    pub rounds: u64,
    /// Fewest replicas that served at once, after the first hour, and how many did in the end.
    pub least_serving: usize,
    pub serving_at_end: usize,
    /// Times that a serving replica was drained for its hosts.
    pub drains: u64,
}

#[derive(Debug)]
struct Group {
    view: AssemblyReplica,
    number: u64,
}

pub struct YearDriver {
    plan: FleetPlan,
    settings: AssemblySettings,
    state: AssemblyState,
    amended: Vec<WantedReplicas>,
    up: Vec<u32>,
    gone_at: Vec<Duration>,
    groups: BTreeMap<ReplicaId, Group>,
    changes: BTreeMap<(Duration, u64), Change>,
    next: u64,
    result: YearResult,
    host_hours: f64,
    hours: f64,
}

impl YearDriver {
    pub fn new(plan: FleetPlan, wanted: Vec<WantedReplicas>, settings: AssemblySettings) -> Self {
        let hosts = fleet(plan.fabrics, plan.hosts);
        let count = hosts.len();
        let mut driver = Self {
            plan,
            settings,
            state: AssemblyState {
                hosts,
                replicas: Vec::new(),
                wanted,
            },
            amended: Vec::new(),
            up: vec![0; count],
            gone_at: vec![Duration::ZERO; count],
            groups: BTreeMap::new(),
            changes: BTreeMap::new(),
            next: 0,
            result: YearResult {
                least_serving: usize::MAX,
                ..YearResult::default()
            },
            host_hours: 0.0,
            hours: 0.0,
        };
        driver.draw_changes();
        driver.at(Duration::ZERO, Change::Look);
        driver
    }

    /// Wants something else from a moment on.
    pub fn amended(mut self, at: Duration, wanted: Vec<WantedReplicas>) -> Self {
        self.amended = wanted;
        self.at(at, Change::Amended);
        self
    }

    fn at(&mut self, at: Duration, change: Change) {
        self.next += 1;
        self.changes.insert((at, self.next), change);
    }

    fn draw_changes(&mut self) {
        let plan = self.plan;
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let end = plan.days * 86_400.0;
        let kinds = [
            (plan.failures, false),
            (plan.restarts, false),
            (plan.pauses, true),
        ];
        for host in 0..self.up.len() {
            for ((rate, length), keeps) in kinds {
                for (at, long) in occurrences(rate, length, end, &mut rng) {
                    self.at(at, Change::Gone(host, long, keeps));
                }
            }
        }
        for fabric in 0..plan.fabrics {
            let (rate, length) = plan.outages;
            for (at, long) in occurrences(rate, length, end, &mut rng) {
                for host in 0..plan.hosts {
                    self.at(at, Change::Gone(fabric * plan.hosts + host, long, false));
                }
            }
        }
    }

    /// Runs the year with a planner.
    pub fn run(mut self, planner: Planner) -> YearResult {
        let end = Duration::from_secs_f64(self.plan.days * 86_400.0);
        let mut last = Duration::ZERO;
        while let Some(((now, _), change)) = self.changes.pop_first() {
            if now > end {
                break;
            }
            self.account(now.saturating_sub(last));
            last = now;
            self.apply(now, change);
            let more = self.changes.first_key_value();
            if more.is_some_and(|((next, _), _)| *next == now) {
                continue;
            }
            self.plan_rounds(now, planner);
        }
        self.account(end.saturating_sub(last));
        let hours = self.plan.days * 24.0;
        let groups: u32 = self.state.wanted.iter().map(|wanted| wanted.replicas).sum();
        self.result.downtime_part = self.result.group_downtime / (f64::from(groups) * hours);
        self.result.stranded_part = self.host_hours / (self.up.len() as f64 * hours);
        self.result
    }

    fn serves(&self, group: &Group) -> bool {
        let stage = matches!(
            group.view.stage,
            ReplicaStage::Ready | ReplicaStage::Draining
        );
        stage
            && group
                .view
                .hosts
                .iter()
                .all(|host| self.up[self.index(host)] == 0)
    }

    fn index(&self, host: &domain::HostId) -> usize {
        let found = self
            .state
            .hosts
            .binary_search_by(|other| other.id.cmp(host));
        found.expect("the fleet is sorted by id")
    }

    fn account(&mut self, elapsed: Duration) {
        let hours = elapsed.as_secs_f64() / 3_600.0;
        let mut serving_hosts = 0;
        let all = self.groups.values().filter(|group| self.serves(group));
        let all = all.count();
        if hours > 0.0 && self.hours > 1.0 {
            self.result.least_serving = self.result.least_serving.min(all);
        }
        self.result.serving_at_end = all;
        self.hours += hours;
        for wanted in &self.state.wanted {
            let serving = self
                .groups
                .values()
                .filter(|group| group.view.model == wanted.model && self.serves(group))
                .count();
            serving_hosts += serving * wanted.hosts_per_replica as usize;
            let missing = (wanted.replicas as usize).saturating_sub(serving);
            self.result.group_downtime += missing as f64 * hours;
        }
        self.host_hours += (self.up.len() - serving_hosts) as f64 * hours;
    }

    fn apply(&mut self, now: Duration, change: Change) {
        match change {
            Change::Gone(host, long, keeps) => {
                if self.up[host] == 0 {
                    self.gone_at[host] = now;
                }
                self.up[host] += 1;
                if !keeps {
                    self.state.hosts[host].loaded = None;
                }
                self.at(now + long, Change::Back(host));
                self.at(now + self.settings.patience, Change::Look);
            }
            Change::Back(host) => self.up[host] -= 1,
            Change::Loaded(number) => self.loaded(number),
            Change::Drained(number) => {
                for group in self.groups.values_mut() {
                    if group.number == number && group.view.stage == ReplicaStage::Draining {
                        group.view.stage = ReplicaStage::Drained;
                    }
                }
            }
            Change::Amended => self.state.wanted = std::mem::take(&mut self.amended),
            Change::Look => {}
        }
        self.refresh(now);
    }

    /// Hosts that lost their weights make their replica load anew; slots of dissolved ones free.
    fn refresh(&mut self, now: Duration) {
        for index in 0..self.up.len() {
            let up = self.up[index] == 0;
            let absent = now.saturating_sub(self.gone_at[index]);
            self.state.hosts[index].presence = if up {
                HostPresence::Present
            } else {
                HostPresence::Absent(absent)
            };
            let held = self.state.hosts[index].replica.clone();
            let Some(group) = held.and_then(|replica| self.groups.get_mut(&replica)) else {
                if up {
                    self.state.hosts[index].replica = None;
                }
                continue;
            };
            let emptied = up && self.state.hosts[index].loaded.is_none();
            if emptied && group.view.stage == ReplicaStage::Ready {
                group.view.stage = ReplicaStage::Formed;
            }
        }
        self.state.replicas = self
            .groups
            .values()
            .map(|group| group.view.clone())
            .collect();
    }

    fn plan_rounds(&mut self, now: Duration, planner: Planner) {
        for _ in 0..64 {
            self.result.rounds += 1;
            let steps = planner(&self.state, &self.settings);
            if steps.is_empty() {
                return;
            }
            for step in steps {
                self.take(now, step);
            }
            self.refresh(now);
        }
        panic!("the planner never comes to rest");
    }

    fn take(&mut self, now: Duration, step: AssemblyStep) {
        self.next += 1;
        let number = self.next;
        match step {
            AssemblyStep::Form {
                model,
                version,
                fabric,
                hosts,
            } => {
                let replica: ReplicaId = id(&format!("r{number:08}"));
                for host in &hosts {
                    let index = self.index(host);
                    assert!(self.state.hosts[index].replica.is_none(), "a host in two");
                    self.state.hosts[index].replica = Some(replica.clone());
                }
                let view = AssemblyReplica {
                    id: replica.clone(),
                    model,
                    version,
                    fabric,
                    hosts,
                    stage: ReplicaStage::Formed,
                };
                self.groups.insert(replica, Group { view, number });
            }
            AssemblyStep::Replace {
                replica,
                lost,
                spare,
            } => {
                let index = self.index(&spare);
                assert!(self.state.hosts[index].replica.is_none(), "a host in two");
                self.state.hosts[index].replica = Some(replica.clone());
                let group = self.groups.get_mut(&replica).expect("a known replica");
                for host in &mut group.view.hosts {
                    if *host == lost {
                        *host = spare.clone();
                    }
                }
                group.view.stage = ReplicaStage::Formed;
                group.number = number;
                let index = self.index(&lost);
                self.state.hosts[index].replica = Some(id("dissolved"));
            }
            AssemblyStep::Load { replica } => self.load(now, &replica, number),
            AssemblyStep::Drain { replica, .. } => {
                self.result.drains += 1;
                let group = self.groups.get_mut(&replica).expect("a known replica");
                group.view.stage = ReplicaStage::Draining;
                group.number = number;
                self.at(now + self.settings.drain_time, Change::Drained(number));
            }
            AssemblyStep::Dissolve { replica, .. } => {
                self.groups.remove(&replica);
            }
        }
    }

    fn load(&mut self, now: Duration, replica: &ReplicaId, number: u64) {
        let group = self.groups.get_mut(replica).expect("a known replica");
        group.view.stage = ReplicaStage::Loading;
        group.number = number;
        let view = group.view.clone();
        let fetches = self.fetches(&view);
        self.result.fetches += fetches as u64;
        let loading = self.groups.values().map(|group| match group.view.stage {
            ReplicaStage::Loading => self.fetches(&group.view),
            _ => 0,
        });
        let crowd = loading.sum::<usize>() as f64 / self.settings.parallel_loads as f64;
        let crowd = crowd.max(1.0);
        let time = if fetches == 0 {
            Duration::from_secs(1)
        } else {
            self.settings.load_time.mul_f64(crowd)
        };
        self.at(now + time, Change::Loaded(number));
    }

    fn fetches(&self, view: &AssemblyReplica) -> usize {
        let missing = (0..view.hosts.len()).filter(|rank| !self.holds(view, *rank));
        missing.count()
    }

    fn holds(&self, view: &AssemblyReplica, rank: usize) -> bool {
        let held = &self.state.hosts[self.index(&view.hosts[rank])].loaded;
        held.as_ref().is_some_and(|weights| {
            weights.model == view.model && weights.version == view.version && weights.rank == rank
        })
    }

    fn loaded(&mut self, number: u64) {
        let group = self.groups.values().find(|group| group.number == number);
        let Some(view) = group.map(|group| group.view.clone()) else {
            return;
        };
        for (rank, host) in view.hosts.iter().enumerate() {
            let index = self.index(host);
            if self.up[index] > 0 {
                continue;
            }
            self.state.hosts[index].loaded = Some(LoadedWeights {
                model: view.model.clone(),
                version: view.version.clone(),
                rank,
            });
        }
        if let Some(group) = self.groups.get_mut(&view.id) {
            group.view.stage = ReplicaStage::Ready;
        }
    }
}
