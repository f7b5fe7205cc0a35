//! Rebalancing of hosts between models.
//!
//! The scenario is that hosts of replicas are lost every few seconds and come back empty many
//! seconds later, so the remaining hosts must serve the models with the lowest coverage.

use std::collections::BTreeMap;

use cases::seeded;
use domain::{FabricId, FastMap, FastSet, HostId, ModelName, ReplicaId};
use quickcheck::TestResult;
use serving::plan::{
    FabricCapacity, FabricState, HostState, PlanStep, compute_layout, plan_fabric,
};
use serving::{MemberState, ModelConfig, ReplicaMembership};

use crate::fixtures::{Domain, LONG_AGO, formed, member, model, warm};

fn staging_both(mut host: HostState) -> HostState {
    host.staged = vec![
        "large".parse().expect("a model"),
        "small".parse().expect("a model"),
    ];
    host
}

/// A domain with the three remaining hosts of a large replica, and two small replicas of which one
/// is desired.
fn degraded_domain() -> Vec<HostState> {
    let mut hosts: Vec<HostState> = ["x", "y", "z"].iter().map(|id| warm(id, "large")).collect();
    for (replica, [head, other]) in [("r-1", ["a", "b"]), ("r-2", ["c", "d"])] {
        hosts.push(member(head, "small", replica, 0, MemberState::Open));
        hosts.push(member(other, "small", replica, 1, MemberState::Ready));
    }
    hosts.into_iter().map(staging_both).collect()
}

fn with_fleet(mut domain: Domain, large: usize, small: usize) -> Domain {
    let name = |name: &str| name.parse().expect("a model");
    domain.fleet_replicas.insert(name("large"), large);
    domain.fleet_replicas.insert(name("small"), small);
    domain
}

/// Returns the replicas that the steps give up.
fn yielded(steps: &[PlanStep]) -> Vec<&str> {
    let mut yielded = Vec::new();
    for step in steps {
        if let PlanStep::Yield { replica, .. } = step {
            yielded.push(replica.as_str());
        }
    }
    yielded
}

/// Three hosts of a large replica were left over, and no serving small replica gave up the fourth.
/// So clients of the large model waited for seconds while small replicas were half idle.
#[test]
fn surplus_replica_yields() {
    let steps = with_fleet(Domain::new(degraded_domain()), 2, 12).plan();
    assert_eq!(yielded(&steps), ["r-1"]);
    assert_eq!(formed(&steps), Vec::<Vec<&str>>::new());
}

/// Hosts of a replica that is already closing count as available, so no second replica is given up.
#[test]
fn closing_replica_counted() {
    let mut hosts = degraded_domain();
    for host in &mut hosts[3..5] {
        host.unchanged_for = std::time::Duration::from_millis(100);
    }
    if let Some(membership) = &mut hosts[3].membership {
        membership.state = MemberState::Closing;
    }
    let steps = with_fleet(Domain::new(hosts), 2, 11).plan();
    assert_eq!(yielded(&steps), Vec::<&str>::new());
    assert_eq!(formed(&steps), Vec::<Vec<&str>>::new());
}

/// Hosts that join a replica report no model meanwhile but count as available. When they were not
/// counted, four serving replicas were given up after a failed formation although there were hosts.
#[test]
fn joining_hosts_counted() {
    let mut hosts = degraded_domain();
    hosts.push(staging_both(warm("w", "large")));
    for (rank, host) in (0..).zip([0, 1, 2, 7]) {
        let joining = member("j", "large", "r-9", rank, MemberState::Joining);
        hosts[host].membership = joining.membership;
        hosts[host].loaded = None;
        hosts[host].staged = vec!["small".parse().expect("a model")];
    }
    hosts.remove(0);
    hosts.push(staging_both(warm("v", "large")));
    let steps = with_fleet(Domain::new(hosts), 2, 12).plan();
    assert_eq!(yielded(&steps), Vec::<&str>::new());
}

/// A model does not give up a replica if its own coverage would become the lower one.
#[test]
fn low_coverage_keeps_replicas() {
    let steps = with_fleet(Domain::new(degraded_domain()), 6, 5).plan();
    assert_eq!(yielded(&steps), Vec::<&str>::new());
}

/// Simulated fabric domains whose hosts have both models, with orders that take effect at once.
struct Fleet {
    models: Vec<ModelConfig>,
    fabrics: BTreeMap<FabricId, Vec<HostState>>,
    never_reopen: FastSet<(ReplicaId, u64)>,
    formed: usize,
}

impl Fleet {
    fn new(sizes: &[usize], models: Vec<ModelConfig>) -> Self {
        let mut fabrics = BTreeMap::new();
        for (index, size) in sizes.iter().enumerate() {
            let fabric: FabricId = format!("f{index}").parse().expect("a fabric");
            let hosts =
                (0..*size).map(|host| staging_both(warm(&format!("h{index}-{host}"), "small")));
            fabrics.insert(fabric, hosts.collect());
        }
        Self {
            models,
            fabrics,
            never_reopen: FastSet::default(),
            formed: 0,
        }
    }

    fn desired(&self) -> BTreeMap<FabricId, BTreeMap<ModelName, usize>> {
        let mut capacities = BTreeMap::new();
        for (fabric, hosts) in &self.fabrics {
            let mut capacity = FabricCapacity::default();
            for host in hosts {
                capacity.add(host.loaded.as_ref());
            }
            capacities.insert(fabric.clone(), capacity);
        }
        compute_layout(&capacities, &self.models)
    }

    /// Returns the serving replicas of a domain by model, and the number of hosts in none.
    fn serving(&self, fabric: &FabricId) -> (FastMap<ModelName, usize>, usize) {
        let mut open = FastMap::default();
        let mut serving_hosts = 0;
        for host in &self.fabrics[fabric] {
            let Some(membership) = &host.membership else {
                continue;
            };
            let Some(model) = self.serving_model(fabric, &membership.replica) else {
                continue;
            };
            serving_hosts += 1;
            if membership.rank == 0 {
                *open.entry(model).or_default() += 1;
            }
        }
        (open, self.fabrics[fabric].len() - serving_hosts)
    }

    /// Returns the model of a replica if all members are present and its head is open.
    fn serving_model(&self, fabric: &FabricId, replica: &ReplicaId) -> Option<ModelName> {
        let mut members = 0;
        let mut head = None;
        for host in &self.fabrics[fabric] {
            let Some(membership) = &host.membership else {
                continue;
            };
            if membership.replica != *replica {
                continue;
            }
            members += 1;
            if membership.rank == 0 && membership.state == MemberState::Open {
                head.clone_from(&host.loaded);
            }
        }
        let model = self
            .models
            .iter()
            .find(|model| Some(&model.name) == head.as_ref())?;
        (model.size == members).then(|| model.name.clone())
    }

    /// Returns the serving replicas of all domains by model.
    fn fleet_replicas(&self) -> FastMap<ModelName, usize> {
        let mut replicas = FastMap::default();
        for fabric in self.fabrics.keys() {
            for (model, count) in self.serving(fabric).0 {
                *replicas.entry(model).or_default() += count;
            }
        }
        replicas
    }

    /// Plans each domain once, takes the steps and returns whether any had an effect.
    fn plan_round(&mut self) -> bool {
        let desired = self.desired();
        let mut changed = false;
        let fabrics: Vec<FabricId> = self.fabrics.keys().cloned().collect();
        for fabric in fabrics {
            let fleet = self.fleet_replicas();
            let steps = plan_fabric(&FabricState {
                models: &self.models,
                desired: &desired[&fabric],
                hosts: &self.fabrics[&fabric],
                fleet_replicas: &fleet,
                never_reopen: &self.never_reopen,
                may_load_members: false,
                may_stage: false,
            })
            .steps;
            for step in steps {
                changed |= self.take_step(&fabric, step);
            }
        }
        changed
    }

    fn take_step(&mut self, fabric: &FabricId, step: PlanStep) -> bool {
        match step {
            PlanStep::Form { model, members } => {
                self.formed += 1;
                let replica: ReplicaId = format!("r-{}", self.formed).parse().expect("a replica");
                for (rank, id) in (0..).zip(&members) {
                    let host = self.host(fabric, id);
                    host.loaded = Some(model.clone());
                    host.membership = Some(ReplicaMembership {
                        replica: replica.clone(),
                        epoch: 1,
                        rank,
                        state: MemberState::Ready,
                    });
                }
                true
            }
            PlanStep::Open { head, replica, .. } => {
                self.never_reopen.insert((replica, 1));
                self.set_state(fabric, &head, MemberState::Open);
                true
            }
            PlanStep::Close { head, .. } | PlanStep::Yield { head, .. } => {
                self.set_state(fabric, &head, MemberState::Ready);
                true
            }
            PlanStep::Warm { .. } | PlanStep::Stage { .. } => false,
        }
    }

    fn set_state(&mut self, fabric: &FabricId, id: &HostId, state: MemberState) {
        if let Some(membership) = &mut self.host(fabric, id).membership {
            membership.state = state;
        }
    }

    fn host(&mut self, fabric: &FabricId, id: &HostId) -> &mut HostState {
        let hosts = self.fabrics.get_mut(fabric).expect("the fabric is there");
        let host = hosts.iter_mut().find(|host| host.id == *id);
        let host = host.expect("the host is there");
        host.unchanged_for = LONG_AGO;
        host
    }

    /// Plans until no step is left and returns whether that happens.
    fn converges(&mut self) -> bool {
        (0..60).any(|_| !self.plan_round())
    }

    /// Removes hosts; each loss names a fabric domain and a host in it by their indexes.
    fn lose_hosts(&mut self, losses: &[(u8, u8)]) {
        for (fabric, host) in losses {
            let count = self.fabrics.len();
            let hosts = self.fabrics.values_mut().nth(usize::from(*fabric) % count);
            let Some(hosts) = hosts.filter(|hosts| !hosts.is_empty()) else {
                continue;
            };
            let index = usize::from(*host) % hosts.len();
            hosts.remove(index);
        }
    }

    /// Returns whether some domain needs a replica of a model that another model could give up
    /// hosts for while keeping at least as much coverage.
    fn is_starved(&self) -> bool {
        let fleet = self.fleet_replicas();
        let desired = self.desired();
        let coverage = |model: &ModelConfig, more: f64| {
            let replicas = fleet.get(&model.name).copied().unwrap_or(0);
            let replicas = f64::from(u32::try_from(replicas).expect("few replicas")) + more;
            replicas * f64::from(u32::try_from(model.size).expect("few hosts")) / model.share
        };
        for fabric in self.fabrics.keys() {
            let (open, idle) = self.serving(fabric);
            let current = |model: &ModelConfig| open.get(&model.name).copied().unwrap_or(0);
            for (recipient, donor) in
                [(0, 1), (1, 0)].map(|(a, b)| (&self.models[a], &self.models[b]))
            {
                let needed = desired[fabric].get(&recipient.name).copied().unwrap_or(0);
                if current(recipient) >= needed {
                    continue;
                }
                let released = recipient.size.saturating_sub(idle).div_ceil(donor.size);
                let loss = f64::from(u32::try_from(released).expect("few replicas"));
                if released <= current(donor) && coverage(donor, -loss) >= coverage(recipient, 1.0)
                {
                    return true;
                }
            }
        }
        false
    }
}

/// Whatever the sizes and shares and whichever hosts are lost, no model needs a replica while
/// another can give one up for it, and hosts do not move back and forth.
#[test]
fn no_model_starved() {
    fn holds(
        sizes: Vec<u8>,
        first: u8,
        second: u8,
        share: u8,
        losses: Vec<(u8, u8)>,
    ) -> TestResult {
        let sizes = sizes.into_iter().take(4);
        let sizes: Vec<usize> = sizes.map(|size| usize::from(size % 40)).collect();
        if sizes.is_empty() {
            return TestResult::discard();
        }
        let share = 0.1 + 0.8 * f64::from(share) / 255.0;
        let models = vec![
            model("large", 1 + usize::from(first % 16), share),
            model("small", 1 + usize::from(second % 4), 1.0 - share),
        ];
        let mut fleet = Fleet::new(&sizes, models);
        if !fleet.converges() {
            return TestResult::error("plans do not converge");
        }
        let losses: Vec<(u8, u8)> = losses.into_iter().take(24).collect();
        for lost in losses.chunks(3) {
            fleet.lose_hosts(lost);
            if !fleet.converges() {
                return TestResult::error("plans do not converge after a loss");
            }
            if fleet.is_starved() {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    // Each case simulates a fleet with up to 24 losses.
    seeded()
        .tests(300)
        .max_tests(1200)
        .quickcheck(holds as fn(Vec<u8>, u8, u8, u8, Vec<(u8, u8)>) -> TestResult);
}
