//! Hosts of one fabric domain, and plans for them.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::{FastMap, FastSet, HostId, ModelName, ReplicaId};
use serving::plan::{FabricState, HostLifecycle, HostState, PlanStep, plan_fabric};
use serving::{MemberState, ModelConfig, ReplicaMembership};

pub const LONG: Duration = Duration::from_mins(1);

pub fn model(name: &str, size: usize, share: f64) -> ModelConfig {
    ModelConfig {
        name: name.parse().expect("a model"),
        size,
        share,
        time_factor: 1.0,
        load_time: Duration::from_secs(16),
    }
}

pub fn models() -> Vec<ModelConfig> {
    vec![model("large", 4, 0.67), model("small", 2, 0.33)]
}

pub fn host(id: &str) -> HostState {
    HostState {
        id: id.parse().expect("a host"),
        silent_for: None,
        lifecycle: HostLifecycle::Active,
        order_pending: false,
        loaded: None,
        staged: Vec::new(),
        staging: None,
        membership: None,
        unchanged_for: LONG,
    }
}

pub fn warm(id: &str, model: &str) -> HostState {
    let name: ModelName = model.parse().expect("a model");
    HostState {
        loaded: Some(name.clone()),
        staged: vec![name],
        ..host(id)
    }
}

pub fn member(id: &str, model: &str, replica: &str, rank: u32, state: MemberState) -> HostState {
    HostState {
        membership: Some(ReplicaMembership {
            replica: replica.parse().expect("a replica"),
            epoch: 7,
            rank,
            state,
        }),
        ..warm(id, model)
    }
}

/// Four members of the large model; the head in `state`.
pub fn large_replica(state: MemberState) -> Vec<HostState> {
    vec![
        member("a", "large", "r-1", 0, state),
        member("b", "large", "r-1", 1, MemberState::Ready),
        member("c", "large", "r-1", 2, MemberState::Ready),
        member("d", "large", "r-1", 3, MemberState::Ready),
    ]
}

pub struct Domain {
    hosts: Vec<HostState>,
    wanted: BTreeMap<ModelName, usize>,
    spent: FastSet<(ReplicaId, u64)>,
    pub fleet: FastMap<ModelName, usize>,
    may_load: bool,
    may_stage: bool,
}

impl Domain {
    pub fn of(hosts: Vec<HostState>) -> Self {
        let mut wanted = BTreeMap::new();
        wanted.insert("large".parse().expect("a model"), 1);
        wanted.insert("small".parse().expect("a model"), 1);
        Self {
            hosts,
            wanted,
            spent: FastSet::default(),
            fleet: FastMap::default(),
            may_load: false,
            may_stage: false,
        }
    }

    pub fn spent(mut self, replica: &str) -> Self {
        self.spent.insert((replica.parse().expect("a replica"), 7));
        self
    }

    pub fn loading(mut self) -> Self {
        self.may_load = true;
        self
    }

    pub fn staging(mut self) -> Self {
        self.may_stage = true;
        self
    }

    pub fn plan(&self) -> Vec<PlanStep> {
        plan_fabric(&FabricState {
            models: &models(),
            desired: &self.wanted,
            hosts: &self.hosts,
            fleet_replicas: &self.fleet,
            never_reopen: &self.spent,
            may_load_members: self.may_load,
            may_stage: self.may_stage,
        })
        .steps
    }
}

pub fn formed(steps: &[PlanStep]) -> Vec<Vec<&str>> {
    let mut formed = Vec::new();
    for step in steps {
        let PlanStep::Form { members, .. } = step else {
            continue;
        };
        formed.push(members.iter().map(HostId::as_str).collect());
    }
    formed
}
