//! Replica reconciliation: plans the steps that bring replicas to the desired state, and executes
//! those that are this node's turn.

mod due_steps;
mod ranks;
mod staging;
mod steps;
mod store_outage;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::{BuildHasher as _, RandomState};
use std::rc::Rc;
use std::time::Duration;

use domain::{FabricId, FastMap, HostId, ModelName};
use events::{EventCode, LogLine};
use serving::hashing::stable_hash;
use serving::load_budget::LoadBudget;
use serving::plan::{
    FabricCapacity, FabricLayout, FabricState, FabricSummary, HostLifecycle, HostState, PlanStep,
    plan_fabric,
};
use serving::probe_schedule::MAX_ACTIVE_RANK;
use serving::{ModelConfig, ServiceConfig, TargetEntry, TargetState};

use crate::node::GatewayNode;
use crate::order_tracker::OrderTracker;

use ranks::LayoutCache;
use store_outage::FabricRefreshes;

/// Maximum interval between two plans; a registry change triggers one immediately.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum interval between two plans while there is nothing to do or to wait for.
const IDLE_PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Delay that batches registry changes, which come in bursts, into one plan.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Interval between plans for all other fabric domains.
const BACKUP_PLAN_INTERVAL: Duration = Duration::from_secs(2);

/// Reconciles the replicas of all services; never returns.
pub async fn reconcile_replicas(node: Rc<GatewayNode>) {
    let reconciler = Rc::new(ReplicaReconciler {
        node: Rc::clone(&node),
        order_tracker: OrderTracker::default(),
        waiting_since: RefCell::default(),
        staging: RefCell::default(),
        formed_count: Cell::new(0),
        load_budget: RefCell::default(),
        refreshes: RefCell::default(),
        // Unique per process start, because the name counter restarts. If a name were reused, a
        // delayed order could join a host to the earlier replica of that name.
        process_nonce: RandomState::new().hash_one(&node.settings.node) & 0xffff_ffff,
        layouts: RefCell::default(),
        logged_summaries: RefCell::default(),
        has_work: Cell::new(true),
        last_full_plan: Cell::default(),
    });
    loop {
        let changed = node.state_changed.notified();
        let interval = if reconciler.has_work.get() {
            PLAN_INTERVAL
        } else {
            IDLE_PLAN_INTERVAL
        };
        drop(tokio::time::timeout(interval, changed).await);
        // Batches changes that arrive together.
        tokio::time::sleep(BATCH_DELAY).await;
        reconciler.plan();
    }
}

/// A step of the plan for a fabric domain.
struct PlannedStep {
    fabric: FabricId,
    step: PlanStep,
    /// Whether the state that it was planned for is known to be recent.
    is_fresh: bool,
}

/// A service, its models with the shares in force, and the layout that follows.
struct PlannedService<'a> {
    service: &'a ServiceConfig,
    models: &'a [ModelConfig],
    layout: &'a FabricLayout,
}

struct ReplicaReconciler {
    node: Rc<GatewayNode>,
    order_tracker: OrderTracker,
    /// Steps that wait for this node's turn, and since when.
    waiting_since: RefCell<FastMap<PlanStep, Duration>>,
    /// Models that hosts were ordered to stage, and until when the load may take.
    staging: RefCell<FastMap<HostId, (ModelName, Duration)>>,
    formed_count: Cell<u64>,
    load_budget: RefCell<LoadBudget>,
    refreshes: RefCell<FabricRefreshes>,
    process_nonce: u64,
    layouts: RefCell<LayoutCache>,
    /// Last logged summary of the fabric domains in which this node has rank 0.
    logged_summaries: RefCell<FastMap<FabricId, FabricSummary>>,
    /// Whether the last plan found something to do or to wait for.
    has_work: Cell<bool>,
    /// When all fabric domains were last planned, rather than only those of low rank.
    last_full_plan: Cell<Duration>,
}

impl ReplicaReconciler {
    fn plan(self: &Rc<Self>) {
        let node = &self.node;
        let Some(config) = node.config() else { return };
        if node.is_shutting_down() || node.registry_version().is_none() {
            return;
        }
        let now = node.now();
        let all_fabrics = now.saturating_sub(self.last_full_plan.get()) >= BACKUP_PLAN_INTERVAL;
        if all_fabrics {
            self.last_full_plan.set(now);
        }
        self.has_work.set(false);
        let mut steps = Vec::new();
        for service in config.services.values() {
            if service.models.is_empty() {
                continue;
            }
            let models = self.node.planned_models(service);
            let layout = self.layout(service, &models);
            let planned = PlannedService {
                service,
                models: &models,
                layout: &layout,
            };
            self.plan_service(&planned, all_fabrics, &mut steps);
        }
        self.run_due_steps(steps);
    }

    fn layout(&self, service: &ServiceConfig, models: &[ModelConfig]) -> Rc<FabricLayout> {
        let mut capacities: BTreeMap<FabricId, FabricCapacity> = BTreeMap::new();
        self.node.registry(|registry| {
            for entry in registry.targets() {
                let fabric = entry.fabric.as_ref();
                let Some(fabric) = fabric.filter(|_| entry.service == service.name) else {
                    continue;
                };
                if !capacities.contains_key(fabric) {
                    capacities.insert(fabric.clone(), FabricCapacity::default());
                }
                let Some(capacity) = capacities.get_mut(fabric) else {
                    continue;
                };
                let is_evacuated = self.node.is_evacuated(&entry.domain);
                if entry.state == TargetState::Ready && !is_evacuated {
                    capacity.add(entry.loaded.as_ref());
                }
            }
        });
        self.layouts
            .borrow_mut()
            .layout(&service.name, models, capacities)
    }

    fn plan_service(
        self: &Rc<Self>,
        planned: &PlannedService<'_>,
        all_fabrics: bool,
        steps: &mut Vec<PlannedStep>,
    ) {
        let service = planned.service;
        let bootstrapping = self.node.is_bootstrapping();
        let fleet_replicas = self.node.live_replica_counts(service);
        for (fabric, hosts) in &self.planned_hosts(service, all_fabrics) {
            let Some(fabric_layout) = planned.layout.get(fabric) else {
                continue;
            };
            let planned = self.node.with_never_reopen(|replicas| {
                plan_fabric(&FabricState {
                    models: planned.models,
                    desired: fabric_layout,
                    hosts,
                    fleet_replicas: &fleet_replicas,
                    never_reopen: replicas,
                    may_load_members: bootstrapping || !has_any_weights(hosts),
                    may_stage: bootstrapping,
                })
            });
            self.log_summary(fabric, planned.summary);
            let planned = planned.steps;
            if !planned.is_empty() || !store_outage::is_settled(hosts) {
                self.has_work.set(true);
            }
            // The registry data for the fabric domain may be out of date.
            let is_fresh = !self.node.is_registry_stale()
                || self.refresh_fabric(fabric, hosts, !planned.is_empty());
            for step in planned {
                steps.push(PlannedStep {
                    fabric: fabric.clone(),
                    step,
                    is_fresh,
                });
            }
        }
    }

    fn log_summary(&self, fabric: &FabricId, summary: FabricSummary) {
        let is_first = self.node.fabric_rank(fabric) == 0;
        let mut logged_summaries = self.logged_summaries.borrow_mut();
        if !is_first || logged_summaries.get(fabric) == Some(&summary) {
            return;
        }
        let models = summary.models.iter().map(|found| {
            let (current, desired) = (found.current, found.desired);
            format!("{} {current} of {desired}", found.model)
        });
        let models: Vec<String> = models.collect();
        let line = LogLine::new(EventCode::FabricCounted)
            .text("fabric", fabric.as_str())
            .text("models", &models.join(", "))
            .number(
                "idle_hosts",
                u64::try_from(summary.idle_hosts).unwrap_or(u64::MAX),
            )
            .millis("registry_age_ms", self.node.registry_age());
        self.node.log(&line);
        logged_summaries.insert(fabric.clone(), summary);
    }

    /// Hosts of the fabric domains that this node plans for now.
    fn planned_hosts(
        &self,
        service: &ServiceConfig,
        all_fabrics: bool,
    ) -> BTreeMap<FabricId, Vec<HostState>> {
        let node = &self.node;
        let mut fabrics: BTreeMap<FabricId, Vec<HostState>> = BTreeMap::new();
        node.registry(|registry| {
            for entry in registry.targets() {
                let fabric = entry.fabric.as_ref();
                let Some(fabric) = fabric.filter(|_| entry.service == service.name) else {
                    continue;
                };
                // The nodes of low rank plan for a domain; the others check it at intervals in case
                // all of those are gone.
                if !all_fabrics && node.fabric_rank(fabric) > MAX_ACTIVE_RANK {
                    continue;
                }
                let state = self.host_state(entry);
                if let Some(hosts) = fabrics.get_mut(fabric) {
                    hosts.push(state);
                } else {
                    fabrics.insert(fabric.clone(), vec![state]);
                }
            }
        });
        for hosts in fabrics.values_mut() {
            hosts.sort_by(|left, right| left.id.cmp(&right.id));
        }
        fabrics
    }

    fn host_state(&self, entry: &TargetEntry) -> HostState {
        HostState {
            id: entry.id.clone(),
            // A host that responds to other nodes must not lose its replica because this node can't
            // reach it.
            silent_for: self
                .node
                .silent_for(&entry.id)
                .filter(|_| !self.node.serves_other_nodes(&entry.id)),
            lifecycle: self.host_lifecycle(entry),
            evacuated: self.node.is_evacuated(&entry.domain),
            order_pending: self.order_tracker.is_pending(&entry.id),
            loaded: entry.loaded.clone(),
            staged: entry.staged.clone(),
            staging: self.staging_at(&entry.id),
            membership: entry.membership.clone(),
            unchanged_for: self.node.membership_age(&entry.id),
        }
    }

    fn host_lifecycle(&self, entry: &TargetEntry) -> HostLifecycle {
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

    /// Tag of this node in the names of replicas that it forms.
    fn node_tag(&self) -> String {
        let settings = &self.node.settings;
        format!("{:08x}", stable_hash(&settings.node.as_str()) & 0xffff_ffff)
    }
}

fn has_any_weights(hosts: &[HostState]) -> bool {
    hosts
        .iter()
        .any(|host| host.loaded.is_some() || !host.staged.is_empty())
}
