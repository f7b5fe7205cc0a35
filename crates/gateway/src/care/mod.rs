//! Caring for replicas: planning, waiting for one's turn, and taking the steps.

mod blind;
mod staging;
mod steps;
mod turns;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::{BuildHasher as _, RandomState};
use std::rc::Rc;
use std::time::Duration;

use domain::{ConfigRevision, FabricId, FastMap, HostId, ModelName};
use events::{EventCode, EventLine};
use serving::hashing::stable_hash;
use serving::plan::{
    FabricCapacity, FabricLayout, FabricState, FabricSummary, HostLifecycle, HostState, PlanStep,
    plan_fabric,
};
use serving::{ServiceConfig, TargetEntry, TargetState};

use crate::node::GatewayNode;
use crate::orders::OrderTracker;

use blind::AskedFabrics;
use turns::{KeptLayouts, TurnRanks};

/// Longest time between two plans; changes of the registry lead to one at once.
const PLAN_PAUSE: Duration = Duration::from_millis(100);

/// Longest time between two plans while nothing is to be done or waited for.
const CALM_PAUSE: Duration = Duration::from_millis(500);

/// Wait for further changes after one; the registry brings them in series.
const SERIES_PAUSE: Duration = Duration::from_millis(5);

/// Rank up to which a node plans for a fabric domain at each change. Seven nodes have to be gone
/// at once before a domain waits for one of the others.
const FAR_RANK: usize = 6;

/// Pause between two plans for the other domains.
const FAR_PAUSE: Duration = Duration::from_secs(2);

/// Window over which weight loads are counted.
const LOAD_WINDOW: Duration = Duration::from_secs(5);

/// Cares for the replicas of all services.
pub async fn care_for_replicas(node: Rc<GatewayNode>) {
    let care = Rc::new(ReplicaCare {
        node: Rc::clone(&node),
        order_tracker: OrderTracker::default(),
        waiting: RefCell::default(),
        staging: RefCell::default(),
        formed: Cell::new(0),
        loads: RefCell::default(),
        asked: RefCell::default(),
        // Different at each start: the count of names begins anew, and a name that came twice
        // would have a late order join a host to a replica that it was meant for before.
        mark: RandomState::new().hash_one(&node.settings.node) & 0xffff_ffff,
        ranks: RefCell::default(),
        layouts: RefCell::default(),
        counted: RefCell::default(),
        restless: Cell::new(true),
        far_round: Cell::default(),
    });
    loop {
        let changed = node.state_changed.notified();
        let pause = if care.restless.get() {
            PLAN_PAUSE
        } else {
            CALM_PAUSE
        };
        drop(tokio::time::timeout(pause, changed).await);
        // A pause lets several changes that come together lead to one plan.
        tokio::time::sleep(SERIES_PAUSE).await;
        care.plan();
    }
}

struct ReplicaCare {
    node: Rc<GatewayNode>,
    order_tracker: OrderTracker,
    /// Steps that wait for this node's turn, with the time since when.
    waiting: RefCell<FastMap<PlanStep, Duration>>,
    /// Second models that hosts were told to load, and until when they may be at it.
    staging: RefCell<FastMap<HostId, (ModelName, Duration)>>,
    formed: Cell<u64>,
    loads: RefCell<Vec<Duration>>,
    asked: RefCell<AskedFabrics>,
    mark: u64,
    ranks: RefCell<TurnRanks>,
    layouts: RefCell<KeptLayouts>,
    /// What was last logged of the fabric domains that this node acts for first.
    counted: RefCell<FastMap<FabricId, FabricSummary>>,
    /// Whether the last plan found something to do or to wait for.
    restless: Cell<bool>,
    /// When all fabric domains were last planned, not only this node's own.
    far_round: Cell<Duration>,
}

impl ReplicaCare {
    fn plan(self: &Rc<Self>) {
        let node = &self.node;
        let Some(config) = node.config() else { return };
        if node.is_shutting_down() || node.registry_version().is_none() {
            return;
        }
        let now = node.now();
        let far = now.saturating_sub(self.far_round.get()) >= FAR_PAUSE;
        if far {
            self.far_round.set(now);
        }
        self.restless.set(false);
        let mut steps = Vec::new();
        for service in config.services.values() {
            if service.models.is_empty() {
                continue;
            }
            let layout = self.layout(service, config.revision);
            self.plan_service(service, &layout, far, &mut steps);
        }
        self.take_turns(steps);
    }

    fn layout(&self, service: &ServiceConfig, revision: ConfigRevision) -> Rc<FabricLayout> {
        let mut rooms: BTreeMap<FabricId, FabricCapacity> = BTreeMap::new();
        self.node.registry(|registry| {
            for entry in registry.targets() {
                let fabric = entry.fabric.as_ref();
                let Some(fabric) = fabric.filter(|_| entry.service == service.name) else {
                    continue;
                };
                if !rooms.contains_key(fabric) {
                    rooms.insert(fabric.clone(), FabricCapacity::default());
                }
                let Some(room) = rooms.get_mut(fabric) else {
                    continue;
                };
                if entry.state == TargetState::Ready {
                    room.add(entry.loaded.as_ref());
                }
            }
        });
        self.layouts.borrow_mut().layout(service, revision, rooms)
    }

    fn plan_service(
        self: &Rc<Self>,
        service: &ServiceConfig,
        layout: &FabricLayout,
        far: bool,
        steps: &mut Vec<(FabricId, PlanStep)>,
    ) {
        let lead = self.node.is_bootstrapping();
        let fleet = self.node.live_replica_counts(service);
        for (fabric, hosts) in &self.fabrics(service, far) {
            let Some(wanted) = layout.get(fabric) else {
                continue;
            };
            let planned = self.node.with_never_reopen(|replicas| {
                plan_fabric(&FabricState {
                    models: &service.models,
                    desired: wanted,
                    hosts,
                    fleet_replicas: &fleet,
                    never_reopen: replicas,
                    may_load_members: lead || !any_weights(hosts),
                    may_stage: lead,
                })
            });
            self.log_census(fabric, planned.summary);
            let planned = planned.steps;
            if !planned.is_empty() || !blind::is_settled(hosts) {
                self.restless.set(true);
            }
            // What the registry says of the domain may be long past.
            let fresh = !self.node.is_registry_stale()
                || self.ask_fabric(fabric, hosts, !planned.is_empty());
            if !fresh {
                continue;
            }
            for step in planned {
                steps.push((fabric.clone(), step));
            }
        }
    }

    fn log_census(&self, fabric: &FabricId, census: FabricSummary) {
        let is_first = self.ranks.borrow_mut().rank(&self.node, fabric) == 0;
        let mut counted = self.counted.borrow_mut();
        if !is_first || counted.get(fabric) == Some(&census) {
            return;
        }
        let models = census.models.iter().map(|found| {
            let (standing, wanted) = (found.current, found.desired);
            format!("{} {standing} of {wanted}", found.model)
        });
        let models: Vec<String> = models.collect();
        let line = EventLine::new(EventCode::FabricCounted)
            .text("fabric", fabric.as_str())
            .text("models", &models.join(", "))
            .number(
                "idle_hosts",
                u64::try_from(census.idle_hosts).unwrap_or(u64::MAX),
            )
            .millis("registry_age_ms", self.node.registry_age());
        self.node.log(&line);
        counted.insert(fabric.clone(), census);
    }

    /// The hosts of the fabric domains that this node plans for now.
    fn fabrics(&self, service: &ServiceConfig, far: bool) -> BTreeMap<FabricId, Vec<HostState>> {
        let node = &self.node;
        let mut fabrics: BTreeMap<FabricId, Vec<HostState>> = BTreeMap::new();
        let mut ranks = self.ranks.borrow_mut();
        node.registry(|registry| {
            for entry in registry.targets() {
                let fabric = entry.fabric.as_ref();
                let Some(fabric) = fabric.filter(|_| entry.service == service.name) else {
                    continue;
                };
                // The first nodes in turn care for a domain; the others look now and then, in
                // case all of those are gone.
                if !far && ranks.rank(node, fabric) > FAR_RANK {
                    continue;
                }
                let situation = self.situation(entry);
                if let Some(hosts) = fabrics.get_mut(fabric) {
                    hosts.push(situation);
                } else {
                    fabrics.insert(fabric.clone(), vec![situation]);
                }
            }
        });
        for hosts in fabrics.values_mut() {
            hosts.sort_by(|left, right| left.id.cmp(&right.id));
        }
        fabrics
    }

    fn situation(&self, entry: &TargetEntry) -> HostState {
        HostState {
            id: entry.id.clone(),
            // What answers others is not taken apart for want of a way from here.
            silent_for: self
                .node
                .silent_for(&entry.id)
                .filter(|_| !self.node.serves_other_nodes(&entry.id)),
            lifecycle: self.stay(entry),
            order_pending: self.order_tracker.is_pending(&entry.id),
            loaded: entry.loaded.clone(),
            staged: entry.staged.clone(),
            staging: self.staging_at(&entry.id),
            membership: entry.membership.clone(),
            unchanged_for: self.node.membership_age(&entry.id),
        }
    }

    fn stay(&self, entry: &TargetEntry) -> HostLifecycle {
        if self.node.is_retired(&entry.id) {
            HostLifecycle::Retired
        } else if entry.state == TargetState::Draining {
            HostLifecycle::Draining
        } else if self.node.is_unlisted(&entry.id) {
            HostLifecycle::Unlisted
        } else {
            HostLifecycle::Active
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

    /// Marks the names that this process gives.
    fn tag(&self) -> String {
        let settings = &self.node.settings;
        format!("{:08x}", stable_hash(&settings.node.as_str()) & 0xffff_ffff)
    }

    fn begin(self: &Rc<Self>, step: PlanStep) {
        let hosts = step.hosts().to_vec();
        if !self.order_tracker.reserve(&hosts) {
            return;
        }
        if !self.may_load(&step) {
            self.order_tracker.release(&hosts);
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
            care.order_tracker.release(&hosts);
            care.node.state_changed.notify_waiters();
        });
    }

    /// Whether loads that a step may need stay within this node's part of the limit.
    fn may_load(&self, step: &PlanStep) -> bool {
        let PlanStep::Warm { host, model } = step else {
            return true;
        };
        if self.node.is_bootstrapping() {
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

fn any_weights(hosts: &[HostState]) -> bool {
    hosts
        .iter()
        .any(|host| host.loaded.is_some() || !host.staged.is_empty())
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
        PlanStep::Yield { head, replica, .. } => format!("yield {replica} at {head}"),
        PlanStep::Form { model, members } => {
            let members: Vec<&str> = members.iter().map(HostId::as_str).collect();
            format!("form {model} of {}", members.join(" "))
        }
        PlanStep::Stage { host, model } => format!("stage {model} on {host}"),
        PlanStep::Warm { host, model } => format!("warm {model} on {host}"),
    }
}
