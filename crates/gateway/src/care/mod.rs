//! Caring for replicas: planning, waiting for one's turn, and taking the steps.

mod blind;
mod steps;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::{BuildHasher as _, RandomState};
use std::rc::Rc;
use std::time::Duration;

use domain::{FabricId, FastMap, HostId};
use events::{EventCode, EventLine};
use serving::plan::{FabricLayout, FabricSituation, HostSituation, PlanStep, lay_out, plan_fabric};
use serving::rank::{rendezvous_rank, stable_hash};
use serving::{ServiceShape, TargetEntry, TargetState};

use crate::node::GatewayNode;
use crate::orders::OrderDesk;
use blind::AskedFabrics;

/// Longest time between two plans; changes of the registry lead to one at once.
const PLAN_PAUSE: Duration = Duration::from_millis(100);

/// Time that each node leaves to the one before it. Orders are answered within milliseconds and
/// their effect stands in the registry soon after, so a step that still waits was not taken.
const TURN: Duration = Duration::from_millis(350);

/// Turns counted at most; of many nodes the later ones act at about the same time, and the
/// engines refuse all but one.
const MAX_TURNS: u32 = 8;

/// Quiet time after the last new host before replicas are formed at the first start. Hosts
/// register over the first seconds, and a plan on the first few forms the wrong replicas.
const GATHER_TIME: Duration = Duration::from_millis(700);

/// Window over which weight loads are counted.
const LOAD_WINDOW: Duration = Duration::from_secs(5);

/// Cares for the replicas of all services.
pub async fn care_for_replicas(node: Rc<GatewayNode>) {
    let care = Rc::new(ReplicaCare {
        node: Rc::clone(&node),
        desk: OrderDesk::default(),
        waiting: RefCell::default(),
        formed: Cell::new(0),
        loads: RefCell::default(),
        asked: RefCell::default(),
        // Different at each start: the count of names begins anew, and a name that came twice
        // would have a late order join a host to a replica that it was meant for before.
        mark: RandomState::new().hash_one(&node.settings.node) & 0xffff_ffff,
    });
    loop {
        let changed = node.changed.notified();
        // A pause lets several changes that come together lead to one plan.
        drop(tokio::time::timeout(PLAN_PAUSE, changed).await);
        tokio::time::sleep(Duration::from_millis(5)).await;
        care.plan();
    }
}

struct ReplicaCare {
    node: Rc<GatewayNode>,
    desk: OrderDesk,
    /// Steps that wait for this node's turn, with the time since when.
    waiting: RefCell<FastMap<PlanStep, Duration>>,
    formed: Cell<u64>,
    loads: RefCell<Vec<Duration>>,
    asked: RefCell<AskedFabrics>,
    mark: u64,
}

impl ReplicaCare {
    fn plan(self: &Rc<Self>) {
        let node = &self.node;
        let Some(config) = node.config() else { return };
        if node.is_stopping() || node.registry_version().is_none() {
            return;
        }
        let mut steps = Vec::new();
        for service in config.services.values() {
            if service.models.is_empty() {
                continue;
            }
            self.plan_service(service, &mut steps);
        }
        self.take_turns(steps);
    }

    fn plan_service(
        self: &Rc<Self>,
        service: &ServiceShape,
        steps: &mut Vec<(FabricId, PlanStep)>,
    ) {
        let fabrics = self.fabrics(service);
        let counts: BTreeMap<FabricId, usize> = fabrics
            .iter()
            .map(|(fabric, hosts)| {
                let staying = hosts.iter().filter(|host| !host.leaving);
                (fabric.clone(), staying.count())
            })
            .collect();
        let layout: FabricLayout = lay_out(&counts, &service.models);
        let spent = self.node.spent();
        let lead = self.node.is_lead_time();
        for (fabric, hosts) in &fabrics {
            let Some(wanted) = layout.get(fabric) else {
                continue;
            };
            let situation = FabricSituation {
                models: &service.models,
                wanted,
                hosts,
                spent: &spent,
                may_load_members: lead || !any_weights(hosts),
            };
            let planned = plan_fabric(&situation);
            // What the registry says of the domain may be long past.
            let fresh = !self.node.is_registry_doubtful()
                || self.ask_fabric(fabric, hosts, !planned.is_empty());
            if !fresh {
                continue;
            }
            for step in planned {
                steps.push((fabric.clone(), step));
            }
        }
    }

    fn fabrics(&self, service: &ServiceShape) -> BTreeMap<FabricId, Vec<HostSituation>> {
        let node = &self.node;
        let mut fabrics: BTreeMap<FabricId, Vec<HostSituation>> = BTreeMap::new();
        node.registry(|registry| {
            for entry in registry.targets() {
                let Some(fabric) = &entry.fabric else {
                    continue;
                };
                if entry.service != service.name {
                    continue;
                }
                let situation = self.situation(entry);
                fabrics.entry(fabric.clone()).or_default().push(situation);
            }
        });
        for hosts in fabrics.values_mut() {
            hosts.sort_by(|left, right| left.id.cmp(&right.id));
        }
        fabrics
    }

    fn situation(&self, entry: &TargetEntry) -> HostSituation {
        HostSituation {
            id: entry.id.clone(),
            silent: self.node.silent_for(&entry.id),
            leaving: entry.state == TargetState::Draining,
            ordered: self.desk.is_open(&entry.id),
            loaded: entry.loaded.clone(),
            staged: entry.staged.clone(),
            membership: entry.membership.clone(),
            unchanged: self.node.membership_age(&entry.id),
        }
    }

    /// Takes the steps whose turn has come. A step of this node's own making goes at once: the
    /// others have not seen yet what it leads to.
    fn take_turns(self: &Rc<Self>, steps: Vec<(FabricId, PlanStep)>) {
        let now = self.node.now();
        let mut waiting = self.waiting.borrow_mut();
        let mut still: FastMap<PlanStep, Duration> = FastMap::default();
        let mut due = Vec::new();
        for (fabric, step) in steps {
            let since = waiting.get(&step).copied().unwrap_or(now);
            if now.saturating_sub(since) < self.turn(&fabric, &step) {
                still.insert(step, since);
                continue;
            }
            due.push(step);
        }
        *waiting = still;
        drop(waiting);
        for step in due {
            self.begin(step);
        }
    }

    fn turn(&self, fabric: &FabricId, step: &PlanStep) -> Duration {
        let node = &self.node;
        let own = node.settings.node.as_str();
        let made_here = match step {
            PlanStep::Open { replica, .. } | PlanStep::Close { replica, .. } => {
                replica.as_str().contains(&self.tag())
            }
            PlanStep::Form { .. } | PlanStep::Warm { .. } => false,
        };
        if made_here {
            return Duration::ZERO;
        }
        let nodes = node.nodes();
        let rank = rendezvous_rank(own, nodes.iter().map(String::as_str), fabric.as_str());
        let rank = u32::try_from(rank).unwrap_or(MAX_TURNS).min(MAX_TURNS);
        // Until the others are known, nodes take turns by chance.
        let rank = if nodes.is_empty() {
            let chance = stable_hash(&(own, fabric.as_str())) % u64::from(MAX_TURNS);
            u32::try_from(chance).unwrap_or(0)
        } else {
            rank
        };
        // Others may still reach the store, and know more.
        let blind = u32::from(node.is_store_lost());
        let turn = TURN * (rank + blind);
        match step {
            PlanStep::Form { .. } | PlanStep::Warm { .. } if node.is_lead_time() => {
                // The wait counts from the last new host: all have waited since their start.
                let quiet = node.hosts_unchanged();
                if quiet < GATHER_TIME + turn {
                    Duration::MAX
                } else {
                    turn
                }
            }
            PlanStep::Form { .. } | PlanStep::Warm { .. } => turn,
            // Whoever formed or closed a replica goes on with it at once.
            PlanStep::Open { .. } | PlanStep::Close { .. } => turn + TURN,
        }
    }

    /// Marks the names that this process gives.
    fn tag(&self) -> String {
        let settings = &self.node.settings;
        format!("{:08x}", stable_hash(&settings.node.as_str()) & 0xffff_ffff)
    }

    fn begin(self: &Rc<Self>, step: PlanStep) {
        let hosts = step_hosts(&step);
        if !self.desk.reserve(&hosts) {
            return;
        }
        if !self.may_load(&step) {
            self.desk.release(&hosts);
            return;
        }
        let line = EventLine::new(EventCode::StepTaken)
            .text("step", &step_text(&step))
            .millis("registry_age_ms", self.node.registry_age());
        self.node.log(&line);
        let care = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let hold = care.take(step).await;
            tokio::time::sleep(hold).await;
            care.desk.release(&hosts);
            care.node.changed.notify_waiters();
        });
    }

    /// Whether loads that a step may need stay within this node's part of the limit.
    fn may_load(&self, step: &PlanStep) -> bool {
        let PlanStep::Warm { host, model } = step else {
            return true;
        };
        if self.node.is_lead_time() {
            return true;
        }
        let cold = self.node.registry(|registry| {
            registry
                .get(host)
                .is_none_or(|entry| !entry.has_weights(model))
        });
        if !cold {
            return true;
        }
        let now = self.node.now();
        let mut loads = self.loads.borrow_mut();
        loads.retain(|at| now.saturating_sub(*at) < LOAD_WINDOW);
        if loads.len() >= self.load_limit() {
            return false;
        }
        loads.push(now);
        true
    }

    fn load_limit(&self) -> usize {
        let Some(config) = self.node.config() else {
            return 1;
        };
        let rates = config
            .services
            .values()
            .map(|service| service.loads_per_second);
        let rate = rates.fold(0.0, f64::max);
        let nodes = f64::from(u32::try_from(self.node.node_count()).unwrap_or(u32::MAX));
        let part = rate * LOAD_WINDOW.as_secs_f64() / nodes;
        // At least one, so that a spare is loaded at all; whole numbers below 2^32 fit.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let part = part.clamp(1.0, 1e6) as usize;
        part
    }
}

fn any_weights(hosts: &[HostSituation]) -> bool {
    hosts
        .iter()
        .any(|host| host.loaded.is_some() || !host.staged.is_empty())
}

fn step_hosts(step: &PlanStep) -> Vec<HostId> {
    match step {
        PlanStep::Open { head, .. } | PlanStep::Close { head, .. } => vec![head.clone()],
        PlanStep::Form { members, .. } => members.clone(),
        PlanStep::Warm { host, .. } => vec![host.clone()],
    }
}

fn step_text(step: &PlanStep) -> String {
    match step {
        PlanStep::Open { head, replica, .. } => format!("open {replica} at {head}"),
        PlanStep::Close {
            head,
            replica,
            mode,
            ..
        } => format!("close {replica} at {head}, {mode:?}"),
        PlanStep::Form { model, members } => {
            let members: Vec<&str> = members.iter().map(HostId::as_str).collect();
            format!("form {model} of {}", members.join(" "))
        }
        PlanStep::Warm { host, model } => format!("warm {model} on {host}"),
    }
}
