//! What a gateway knows, shared by its tasks.

mod health;
mod loads;
mod poison;
mod process;
mod targets;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use domain::{FastMap, FastSet, HostId, ReplicaId, RowVersion, ServiceName};
use events::{EventCode, EventLine, LineSink};
use policy::admission::CustomerShares;
use serving::stall::StallDetector;
use serving::{
    GatewayConfig, PoisonDetector, PromptBacklog, RetryBudget, ShutdownPlan, TargetLoad,
    TargetRegistry,
};
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

use crate::crash::InterruptedRequests;
use crate::hints::{HintChannel, HostHash};
use crate::metrics::GatewayMetrics;
use crate::pool::ConnectionPool;
use crate::settings::GatewaySettings;

use health::Suspicion;
pub use health::{FailureKind, ReplicaLostSignal};
pub use process::RunningRequest;

/// State of a gateway.
#[derive(Debug)]
pub struct GatewayNode {
    /// Settings.
    pub settings: GatewaySettings,
    /// Log.
    pub sink: LineSink,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Connections to targets.
    pub pool: ConnectionPool,
    /// Hints to other nodes.
    pub hints: HintChannel,
    /// Wakes the care for replicas.
    pub changed: Notify,
    /// Wakes who waits for the end of a request or connection.
    pub ended: Notify,
    /// Wakes who reads what the store tells of ended targets.
    pub crash_records_changed: Notify,
    started: Instant,
    config: RefCell<Option<Rc<GatewayConfig>>>,
    idle_limit: Cell<Duration>,
    registry: RefCell<TargetRegistry>,
    registry_version: Cell<Option<RowVersion>>,
    registry_heard: Cell<Duration>,
    store_lost: Cell<bool>,
    /// Until when rows may still tell of the time before an outage.
    settling_until: Cell<Duration>,
    hosts_changed: Cell<Duration>,
    memberships: RefCell<FastMap<HostId, Duration>>,
    spent: RefCell<FastSet<(ReplicaId, u64)>>,
    heads: RefCell<FastMap<(ReplicaId, u64), HostId>>,
    loads: RefCell<FastMap<HostId, TargetLoad>>,
    /// Hosts by the marks that stand for them in hints.
    hosts_by_hash: RefCell<FastMap<HostHash, HostId>>,
    /// Prompts that wait at the heads of replicas, of this node and of those that told it.
    unread: RefCell<FastMap<HostId, PromptBacklog>>,
    pulses: RefCell<FastMap<HostId, StallDetector>>,
    loss_signals: RefCell<FastMap<HostId, Rc<ReplicaLostSignal>>>,
    suspicions: RefCell<FastMap<HostId, Suspicion>>,
    /// Targets that are being asked whether they live.
    probing: RefCell<FastSet<HostId>>,
    /// When heads last began an answer for another node.
    served_others: RefCell<FastMap<HostId, Duration>>,
    unlisted: RefCell<FastSet<HostId>>,
    /// Runs that broke off, until it is known whether their targets ended.
    interrupted: RefCell<InterruptedRequests>,
    /// What ran at targets that ended.
    poison: RefCell<PoisonDetector>,
    /// The store's clock at a moment of this process.
    store_clock: Cell<Option<(Duration, Duration)>>,
    /// Targets that leave and take no connections any more, with the time since when.
    retired: RefCell<FastMap<HostId, Duration>>,
    budgets: RefCell<FastMap<ServiceName, RetryBudget>>,
    shares: RefCell<FastMap<ServiceName, CustomerShares>>,
    nodes: RefCell<Vec<String>>,
    nodes_counted: Cell<u64>,
    stopping: Cell<Option<ShutdownPlan>>,
    /// Closed when callers' connections are taken no more.
    accepting: Semaphore,
    running: Cell<usize>,
    connections: Cell<usize>,
    seen_request: Cell<bool>,
}

/// Time after the store's return, or after the start, in which entries may be older than they
/// seem: targets write theirs again within about two seconds.
const SETTLING_TIME: Duration = Duration::from_millis(2500);

/// Idle time allowed while no configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Nodes assumed while none are counted: a part of the budgets that is safe in any deployment of
/// today's size.
const NODES_UNKNOWN: usize = 16;
impl GatewayNode {
    /// A node that knows nothing yet.
    #[must_use]
    pub fn new(
        settings: GatewaySettings,
        sink: LineSink,
        metrics: GatewayMetrics,
        hints: HintChannel,
    ) -> Self {
        Self {
            settings,
            hints,
            sink,
            metrics,
            pool: ConnectionPool::default(),
            changed: Notify::new(),
            ended: Notify::new(),
            crash_records_changed: Notify::new(),
            started: Instant::now(),
            config: RefCell::default(),
            idle_limit: Cell::new(DEFAULT_IDLE),
            registry: RefCell::default(),
            registry_version: Cell::default(),
            registry_heard: Cell::default(),
            store_lost: Cell::default(),
            settling_until: Cell::default(),
            hosts_changed: Cell::default(),
            memberships: RefCell::default(),
            spent: RefCell::default(),
            heads: RefCell::default(),
            loads: RefCell::default(),
            hosts_by_hash: RefCell::default(),
            unread: RefCell::default(),
            pulses: RefCell::default(),
            loss_signals: RefCell::default(),
            suspicions: RefCell::default(),
            probing: RefCell::default(),
            served_others: RefCell::default(),
            unlisted: RefCell::default(),
            interrupted: RefCell::default(),
            poison: RefCell::default(),
            store_clock: Cell::default(),
            retired: RefCell::default(),
            budgets: RefCell::default(),
            shares: RefCell::default(),
            nodes: RefCell::default(),
            nodes_counted: Cell::default(),
            stopping: Cell::default(),
            accepting: Semaphore::new(0),
            running: Cell::default(),
            connections: Cell::default(),
            seen_request: Cell::default(),
        }
    }

    /// Time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line to the log.
    pub fn log(&self, line: &EventLine) {
        self.sink.write(line, self.now());
    }

    /// The configuration in force, once one is known.
    #[must_use]
    pub fn config(&self) -> Option<Rc<GatewayConfig>> {
        self.config.borrow().clone()
    }

    /// Puts a configuration into force, unless a newer one is; whether it did.
    pub fn set_config(&self, config: GatewayConfig) -> bool {
        let mut current = self.config.borrow_mut();
        let idle = |config: &GatewayConfig| config.limits.idle_timeout;
        let older = current
            .as_ref()
            .is_some_and(|current| config.revision <= current.revision);
        if older {
            return false;
        }
        // Callers that have not heard of a shorter limit yet still go by the one before.
        let before = current
            .as_ref()
            .map_or(Duration::ZERO, |before| idle(before));
        self.idle_limit.set(idle(&config).max(before));
        *current = Some(Rc::new(config.with_priorities()));
        drop(current);
        self.changed.notify_waiters();
        true
    }

    /// How long a caller's connection may be idle.
    #[must_use]
    pub fn idle_limit(&self) -> Duration {
        self.idle_limit.get()
    }

    /// Reads the registry.
    pub fn registry<R>(&self, read: impl FnOnce(&TargetRegistry) -> R) -> R {
        read(&self.registry.borrow())
    }

    /// Newest version of the store that the registry is known at.
    #[must_use]
    pub fn registry_version(&self) -> Option<RowVersion> {
        self.registry_version.get()
    }

    /// Time since the registry was last confirmed by the store.
    #[must_use]
    pub fn registry_age(&self) -> Duration {
        self.now().saturating_sub(self.registry_heard.get())
    }

    /// Whether the last call for changes of the registry failed.
    #[must_use]
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.get()
    }

    /// Whether the registry may tell of a time that is past: the store is away, or was until just
    /// now and its targets have not all written again. A node that has just started can't tell.
    #[must_use]
    pub fn is_registry_doubtful(&self) -> bool {
        self.store_lost.get() || self.now() < self.settling_until.get()
    }

    /// Notes that a call for changes of the registry failed.
    pub fn lose_store(&self) {
        self.store_lost.set(true);
    }

    /// Notes that the registry was read after a time in which it was not known.
    pub fn regain_store(&self) {
        self.store_lost.set(false);
        if !self.is_lead_time() {
            self.settling_until.set(self.now() + SETTLING_TIME);
        }
    }

    /// Time since a host last came or went.
    #[must_use]
    pub fn hosts_unchanged(&self) -> Duration {
        self.now().saturating_sub(self.hosts_changed.get())
    }

    /// Uses the budget of repeats of a service.
    pub fn with_budget<R>(
        &self,
        service: &ServiceName,
        use_it: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        let mut budgets = self.budgets.borrow_mut();
        let limits = self.settings.bounds.retry_limits();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(limits));
        use_it(budget)
    }

    /// How many nodes live, at least one.
    #[must_use]
    pub fn node_count(&self) -> usize {
        let count = self.nodes.borrow().len();
        if count == 0 { NODES_UNKNOWN } else { count }
    }

    /// Uses the names of the nodes that live.
    pub fn with_nodes<R>(&self, use_them: impl FnOnce(&[String]) -> R) -> R {
        use_them(&self.nodes.borrow())
    }

    /// A number that changes with the nodes that live.
    #[must_use]
    pub fn nodes_counted(&self) -> u64 {
        self.nodes_counted.get()
    }

    /// Takes the names of the nodes that live.
    pub fn set_nodes(&self, nodes: Vec<String>) {
        if *self.nodes.borrow() == nodes {
            return;
        }
        let count = u64::try_from(nodes.len()).unwrap_or(u64::MAX);
        let line = EventLine::new(EventCode::NodesCounted).number("nodes", count);
        *self.nodes.borrow_mut() = nodes;
        self.nodes_counted.set(self.nodes_counted.get() + 1);
        self.log(&line);
    }
}
