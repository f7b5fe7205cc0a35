//! What a model that lacks replicas gets back from one that has room to give.
//!
//! The load: hosts of replicas are lost every few seconds and come back empty many seconds later, so
//! the hosts that are there must serve the model that has least.

use std::collections::BTreeMap;

use cases::seeded;
use domain::{FabricId, FastMap, FastSet, HostId, ModelName, ReplicaId};
use quickcheck::TestResult;
use serving::plan::{
    FabricCapacity, FabricState, HostState, PlanStep, compute_layout, plan_fabric,
};
use serving::{MemberState, ModelConfig, ReplicaMembership};

use crate::kit::{Domain, LONG, formed, member, model, warm};

fn with_both(mut host: HostState) -> HostState {
    host.staged = vec![
        "large".parse().expect("a model"),
        "small".parse().expect("a model"),
    ];
    host
}

/// A domain whose large replica lost a host, between two small replicas of which one is wanted.
fn short_domain() -> Vec<HostState> {
    let mut hosts: Vec<HostState> = ["x", "y", "z"].iter().map(|id| warm(id, "large")).collect();
    for (replica, [head, other]) in [("r-1", ["a", "b"]), ("r-2", ["c", "d"])] {
        hosts.push(member(head, "small", replica, 0, MemberState::Open));
        hosts.push(member(other, "small", replica, 1, MemberState::Ready));
    }
    hosts.into_iter().map(with_both).collect()
}

fn fleet(mut domain: Domain, large: usize, small: usize) -> Domain {
    let name = |name: &str| name.parse().expect("a model");
    domain.fleet.insert(name("large"), large);
    domain.fleet.insert(name("small"), small);
    domain
}

fn yielded(steps: &[PlanStep]) -> Vec<&str> {
    let mut yielded = Vec::new();
    for step in steps {
        if let PlanStep::Yield { replica, .. } = step {
            yielded.push(replica.as_str());
        }
    }
    yielded
}

/// Callers of the large model waited seconds beside small replicas that stood half idle: three hosts
/// of a large replica were left over, and no serving replica ever gave up the fourth.
#[test]
fn surplus_given_back() {
    let steps = fleet(Domain::of(short_domain()), 2, 12).plan();
    assert_eq!(yielded(&steps), ["r-1"]);
    assert_eq!(formed(&steps), Vec::<Vec<&str>>::new());
}

/// What a replica that ends will leave is enough; a second one is not given up for the same lack.
#[test]
fn one_is_enough() {
    let mut hosts = short_domain();
    for host in &mut hosts[3..5] {
        host.unchanged_for = std::time::Duration::from_millis(100);
    }
    if let Some(membership) = &mut hosts[3].membership {
        membership.state = MemberState::Closing;
    }
    let steps = fleet(Domain::of(hosts), 2, 11).plan();
    assert_eq!(yielded(&steps), Vec::<&str>::new());
    assert_eq!(formed(&steps), Vec::<Vec<&str>>::new());
}

/// Hosts that join a replica name no model meanwhile. When its formation failed, four replicas that
/// served were given up for hosts that were there.
#[test]
fn joining_hosts_counted() {
    let mut hosts = short_domain();
    hosts.push(with_both(warm("w", "large")));
    for (rank, host) in (0..).zip([0, 1, 2, 7]) {
        let joining = member("j", "large", "r-9", rank, MemberState::Joining);
        hosts[host].membership = joining.membership;
        hosts[host].loaded = None;
        hosts[host].staged = vec!["small".parse().expect("a model")];
    }
    hosts.remove(0);
    hosts.push(with_both(warm("v", "large")));
    let steps = fleet(Domain::of(hosts), 2, 12).plan();
    assert_eq!(yielded(&steps), Vec::<&str>::new());
}

/// A model that has as little for its share keeps what it has.
#[test]
fn covered_model_keeps() {
    let steps = fleet(Domain::of(short_domain()), 6, 5).plan();
    assert_eq!(yielded(&steps), Vec::<&str>::new());
}

/// Fabric domains whose hosts hold both models, with orders that take effect at once.
struct Fleet {
    models: Vec<ModelConfig>,
    fabrics: BTreeMap<FabricId, Vec<HostState>>,
    spent: FastSet<(ReplicaId, u64)>,
    named: usize,
}

impl Fleet {
    fn new(sizes: &[usize], models: Vec<ModelConfig>) -> Self {
        let mut fabrics = BTreeMap::new();
        for (index, size) in sizes.iter().enumerate() {
            let fabric: FabricId = format!("f{index}").parse().expect("a fabric");
            let hosts =
                (0..*size).map(|host| with_both(warm(&format!("h{index}-{host}"), "small")));
            fabrics.insert(fabric, hosts.collect());
        }
        Self {
            models,
            fabrics,
            spent: FastSet::default(),
            named: 0,
        }
    }

    fn wanted(&self) -> BTreeMap<FabricId, BTreeMap<ModelName, usize>> {
        let mut rooms = BTreeMap::new();
        for (fabric, hosts) in &self.fabrics {
            let mut room = FabricCapacity::default();
            for host in hosts {
                room.add(host.loaded.as_ref());
            }
            rooms.insert(fabric.clone(), room);
        }
        compute_layout(&rooms, &self.models)
    }

    /// Replicas that serve in a domain, and hosts in none.
    fn census(&self, fabric: &FabricId) -> (FastMap<ModelName, usize>, usize) {
        let mut open = FastMap::default();
        let mut busy = 0;
        for host in &self.fabrics[fabric] {
            let Some(membership) = &host.membership else {
                continue;
            };
            let Some(model) = self.whole(fabric, &membership.replica) else {
                continue;
            };
            busy += 1;
            if membership.rank == 0 {
                *open.entry(model).or_default() += 1;
            }
        }
        (open, self.fabrics[fabric].len() - busy)
    }

    /// The model of a replica whose members are all there and whose head is open.
    fn whole(&self, fabric: &FabricId, replica: &ReplicaId) -> Option<ModelName> {
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

    fn standing(&self) -> FastMap<ModelName, usize> {
        let mut standing = FastMap::default();
        for fabric in self.fabrics.keys() {
            for (model, count) in self.census(fabric).0 {
                *standing.entry(model).or_default() += count;
            }
        }
        standing
    }

    /// Takes one plan for each domain; whether any had a step.
    fn turn(&mut self) -> bool {
        let wanted = self.wanted();
        let mut moved = false;
        let fabrics: Vec<FabricId> = self.fabrics.keys().cloned().collect();
        for fabric in fabrics {
            let fleet = self.standing();
            let steps = plan_fabric(&FabricState {
                models: &self.models,
                desired: &wanted[&fabric],
                hosts: &self.fabrics[&fabric],
                fleet_replicas: &fleet,
                never_reopen: &self.spent,
                may_load_members: false,
                may_stage: false,
            })
            .steps;
            for step in steps {
                moved |= self.take(&fabric, step);
            }
        }
        moved
    }

    fn take(&mut self, fabric: &FabricId, step: PlanStep) -> bool {
        match step {
            PlanStep::Form { model, members } => {
                self.named += 1;
                let replica: ReplicaId = format!("r-{}", self.named).parse().expect("a replica");
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
                self.spent.insert((replica, 1));
                self.set(fabric, &head, MemberState::Open);
                true
            }
            PlanStep::Close { head, .. } | PlanStep::Yield { head, .. } => {
                self.set(fabric, &head, MemberState::Ready);
                true
            }
            PlanStep::Warm { .. } | PlanStep::Stage { .. } => false,
        }
    }

    fn set(&mut self, fabric: &FabricId, id: &HostId, state: MemberState) {
        if let Some(membership) = &mut self.host(fabric, id).membership {
            membership.state = state;
        }
    }

    fn host(&mut self, fabric: &FabricId, id: &HostId) -> &mut HostState {
        let hosts = self.fabrics.get_mut(fabric).expect("the fabric is there");
        let host = hosts.iter_mut().find(|host| host.id == *id);
        let host = host.expect("the host is there");
        host.unchanged_for = LONG;
        host
    }

    /// Whether plans come to an end.
    fn settles(&mut self) -> bool {
        (0..60).any(|_| !self.turn())
    }

    fn lose(&mut self, losses: &[(u8, u8)]) {
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

    /// Whether some domain lacks a replica of a model that another model could give hosts for and
    /// still have as much for its share.
    fn is_starved(&self) -> bool {
        let fleet = self.standing();
        let wanted = self.wanted();
        let cover = |model: &ModelConfig, more: f64| {
            let standing = fleet.get(&model.name).copied().unwrap_or(0);
            let standing = f64::from(u32::try_from(standing).expect("few replicas")) + more;
            standing * f64::from(u32::try_from(model.size).expect("few hosts")) / model.share
        };
        for fabric in self.fabrics.keys() {
            let (open, idle) = self.census(fabric);
            let held = |model: &ModelConfig| open.get(&model.name).copied().unwrap_or(0);
            for (recipient, donor) in
                [(0, 1), (1, 0)].map(|(a, b)| (&self.models[a], &self.models[b]))
            {
                let asked = wanted[fabric].get(&recipient.name).copied().unwrap_or(0);
                if held(recipient) >= asked {
                    continue;
                }
                let given = recipient.size.saturating_sub(idle).div_ceil(donor.size);
                let loss = f64::from(u32::try_from(given).expect("few replicas"));
                if given <= held(donor) && cover(donor, -loss) >= cover(recipient, 1.0) {
                    return true;
                }
            }
        }
        false
    }
}

/// Whatever the sizes and shares and whichever hosts are lost, no model lacks a replica while another
/// has room to give, and hosts do not go to and fro.
#[test]
fn nobody_starved() {
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
        if !fleet.settles() {
            return TestResult::error("plans do not end");
        }
        let losses: Vec<(u8, u8)> = losses.into_iter().take(24).collect();
        for lost in losses.chunks(3) {
            fleet.lose(lost);
            if !fleet.settles() {
                return TestResult::error("plans do not end after a loss");
            }
            if fleet.is_starved() {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    // Each case is a fleet with up to 24 losses.
    seeded()
        .tests(300)
        .max_tests(1200)
        .quickcheck(holds as fn(Vec<u8>, u8, u8, u8, Vec<(u8, u8)>) -> TestResult);
}
