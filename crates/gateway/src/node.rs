//! What a gateway knows, shared by its tasks.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use domain::{FastMap, FastSet, HostId, ModelName, ReplicaId, RowVersion, ServiceName};
use events::{EventCode, EventLine, LineSink};
use serving::silence::ReplicaPulse;
use serving::{
    GatewayConfig, MemberState, RepeatBudget, ReplicaMembership, ReplicaView, ServiceShape, TargetEntry, TargetLoad,
    TargetRegistry, TargetState,
};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::metrics::GatewayMetrics;
use crate::pool::TargetPool;
use crate::settings::GatewaySettings;

/// Tells the requests at a replica that it stands still.
#[derive(Debug, Default)]
pub struct LossSignal {
    lost: Cell<bool>,
    notify: Notify,
}

impl LossSignal {
    /// Completes once the replica is lost.
    pub async fn lost(&self) {
        while !self.lost.get() {
            self.notify.notified().await;
        }
    }

    fn raise(&self) {
        self.lost.set(true);
        self.notify.notify_waiters();
    }
}

/// Counts a request in its process until it is dropped, with its answer's last byte.
#[derive(Debug)]
pub struct RunningRequest {
    node: Rc<GatewayNode>,
}

impl RunningRequest {
    /// Counts a request.
    #[must_use]
    pub fn new(node: &Rc<GatewayNode>) -> Self {
        node.begin_request();
        Self {
            node: Rc::clone(node),
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.node.end_request();
    }
}

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
    pub pool: TargetPool,
    /// Wakes the care for replicas.
    pub changed: Notify,
    /// Wakes who waits for the end of a request or connection.
    pub ended: Notify,
    started: Instant,
    config: RefCell<Option<Rc<GatewayConfig>>>,
    registry: RefCell<TargetRegistry>,
    registry_version: Cell<Option<RowVersion>>,
    registry_heard: Cell<Duration>,
    hosts_changed: Cell<Duration>,
    memberships: RefCell<FastMap<HostId, Duration>>,
    spent: RefCell<FastSet<(ReplicaId, u64)>>,
    heads: RefCell<FastMap<(ReplicaId, u64), HostId>>,
    loads: RefCell<FastMap<HostId, TargetLoad>>,
    pulses: RefCell<FastMap<HostId, ReplicaPulse>>,
    signals: RefCell<FastMap<HostId, Rc<LossSignal>>>,
    suspects: RefCell<FastMap<HostId, Duration>>,
    budgets: RefCell<FastMap<ServiceName, RepeatBudget>>,
    nodes: RefCell<Vec<String>>,
    stopping: Cell<Option<Duration>>,
    running: Cell<usize>,
    connections: Cell<usize>,
    seen_request: Cell<bool>,
}

/// Nodes assumed while none are counted: a part of the budgets that is safe in any deployment of
/// today's size.
const NODES_UNKNOWN: usize = 16;

impl GatewayNode {
    /// A node that knows nothing yet.
    #[must_use]
    pub fn new(settings: GatewaySettings, sink: LineSink) -> Self {
        Self {
            settings,
            sink,
            metrics: GatewayMetrics::default(),
            pool: TargetPool::default(),
            changed: Notify::new(),
            ended: Notify::new(),
            started: Instant::now(),
            config: RefCell::default(),
            registry: RefCell::default(),
            registry_version: Cell::default(),
            registry_heard: Cell::default(),
            hosts_changed: Cell::default(),
            memberships: RefCell::default(),
            spent: RefCell::default(),
            heads: RefCell::default(),
            loads: RefCell::default(),
            pulses: RefCell::default(),
            signals: RefCell::default(),
            suspects: RefCell::default(),
            budgets: RefCell::default(),
            nodes: RefCell::default(),
            stopping: Cell::default(),
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
        let older = current
            .as_ref()
            .is_some_and(|current| config.revision <= current.revision);
        if older {
            return false;
        }
        *current = Some(Rc::new(config));
        drop(current);
        self.changed.notify_waiters();
        true
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

    /// Time since a host last came or went.
    #[must_use]
    pub fn hosts_unchanged(&self) -> Duration {
        self.now().saturating_sub(self.hosts_changed.get())
    }

    /// Notes that the registry is known as of a version.
    pub fn confirm_registry(&self, version: RowVersion) {
        self.registry_heard.set(self.now());
        if self.registry_version.get().is_none_or(|known| known < version) {
            self.registry_version.set(Some(version));
        }
    }

    /// Takes a target's entry.
    pub fn put_target(&self, entry: TargetEntry) {
        let id = entry.id.clone();
        let mut registry = self.registry.borrow_mut();
        let before = registry.get(&id).cloned();
        if !registry.put(entry.clone()) {
            return;
        }
        drop(registry);
        let now = self.now();
        let is_new = before
            .as_ref()
            .is_none_or(|before| before.boot != entry.boot || before.address != entry.address);
        if is_new {
            self.hosts_changed.set(now);
            self.suspects.borrow_mut().remove(&id);
            self.loads.borrow_mut().remove(&id);
            self.pool.forget(&id);
        }
        let membership_before = before.as_ref().and_then(|before| before.membership.as_ref());
        if membership_before != entry.membership.as_ref() {
            self.memberships.borrow_mut().insert(id.clone(), now);
        }
        if let Some(membership) = &entry.membership {
            self.note_membership(&id, membership);
        }
        self.log(&target_line(EventCode::TargetChanged, &entry));
        self.after_change();
    }

    fn note_membership(&self, id: &HostId, membership: &ReplicaMembership) {
        let key = (membership.replica.clone(), membership.epoch);
        if membership.rank == 0 {
            self.heads.borrow_mut().insert(key.clone(), id.clone());
        }
        if matches!(membership.state, MemberState::Open | MemberState::Closing) {
            self.spent.borrow_mut().insert(key);
        }
    }

    /// The head of a replica, also of one that it has left since.
    #[must_use]
    pub fn head_of(&self, replica: &(ReplicaId, u64)) -> Option<HostId> {
        self.heads.borrow().get(replica).cloned()
    }

    /// Takes note that a target is gone.
    pub fn remove_target(&self, id: &HostId) {
        let removed = self.registry.borrow_mut().remove(id);
        let Some(entry) = removed else { return };
        self.hosts_changed.set(self.now());
        self.suspects.borrow_mut().remove(id);
        self.loads.borrow_mut().remove(id);
        self.pool.forget(id);
        self.log(&target_line(EventCode::TargetGone, &entry));
        self.after_change();
    }

    /// The target that listens at an address.
    #[must_use]
    pub fn target_at(&self, address: SocketAddr) -> Option<HostId> {
        self.registry(|registry| {
            let mut targets = registry.targets();
            targets
                .find(|entry| entry.address == address)
                .map(|entry| entry.id.clone())
        })
    }

    /// Takes the effect of an order that an engine accepted, ahead of the registry. Without it the
    /// next plan would start from the state before the order, and take the same hosts again.
    pub fn foresee(&self, id: &HostId, change: impl FnOnce(&mut TargetEntry)) {
        let known = self.registry(|registry| registry.get(id).cloned());
        let Some(mut entry) = known else { return };
        change(&mut entry);
        self.put_target(entry);
    }

    /// Time since a host's membership changed, as this node saw it.
    #[must_use]
    pub fn membership_age(&self, id: &HostId) -> Duration {
        let since = self.memberships.borrow().get(id).copied();
        self.now().saturating_sub(since.unwrap_or_default())
    }

    /// Replicas that were seen serving, or whose formation failed.
    #[must_use]
    pub fn spent(&self) -> FastSet<(ReplicaId, u64)> {
        self.spent.borrow().clone()
    }

    /// Notes that the formation of a replica failed.
    pub fn give_up_replica(&self, replica: &ReplicaId, epoch: u64) {
        self.spent.borrow_mut().insert((replica.clone(), epoch));
    }

    /// Time since when a target does not answer, if it does not.
    #[must_use]
    pub fn silent_for(&self, id: &HostId) -> Option<Duration> {
        let since = self.suspects.borrow().get(id).copied()?;
        Some(self.now().saturating_sub(since))
    }

    /// Whether a target is suspected.
    #[must_use]
    pub fn is_suspect(&self, id: &HostId) -> bool {
        self.suspects.borrow().contains_key(id)
    }

    /// Targets that are suspected, with the time since when.
    #[must_use]
    pub fn suspects(&self) -> Vec<(HostId, Duration)> {
        let suspects = self.suspects.borrow();
        suspects.iter().map(|(id, at)| (id.clone(), *at)).collect()
    }

    /// Suspects a target; its replica gets nothing more.
    pub fn suspect(&self, id: &HostId, reason: &str) {
        let now = self.now();
        let mut suspects = self.suspects.borrow_mut();
        if suspects.contains_key(id) {
            return;
        }
        suspects.insert(id.clone(), now);
        drop(suspects);
        let line = EventLine::new(EventCode::TargetSuspected)
            .text("host", id.as_str())
            .text("reason", reason);
        self.log(&line);
        self.after_change();
    }

    /// Trusts a target again.
    pub fn trust(&self, id: &HostId) {
        if self.suspects.borrow_mut().remove(id).is_none() {
            return;
        }
        let line = EventLine::new(EventCode::TargetBack).text("host", id.as_str());
        self.log(&line);
        self.after_change();
    }

    fn after_change(&self) {
        self.raise_losses();
        self.changed.notify_waiters();
    }

    /// Tells the requests at replicas with a suspected member to go elsewhere.
    fn raise_losses(&self) {
        let registry = self.registry.borrow();
        let mut signals = self.signals.borrow_mut();
        for replica in registry.replicas() {
            let Some(head) = replica.head() else { continue };
            if !self.has_suspect(replica) {
                continue;
            }
            if let Some(signal) = signals.remove(head) {
                signal.raise();
            }
        }
    }

    /// Tells the requests at one head to go elsewhere.
    pub fn raise_loss(&self, head: &HostId) {
        if let Some(signal) = self.signals.borrow_mut().remove(head) {
            signal.raise();
        }
    }

    fn has_suspect(&self, replica: &ReplicaView) -> bool {
        let suspects = self.suspects.borrow();
        replica.members.values().any(|id| suspects.contains_key(id))
    }

    /// The signal for requests at a replica's head.
    #[must_use]
    pub fn loss_signal(&self, head: &HostId) -> Rc<LossSignal> {
        let mut signals = self.signals.borrow_mut();
        Rc::clone(signals.entry(head.clone()).or_default())
    }

    /// Heads of replicas that serve a model now.
    #[must_use]
    pub fn serving_heads(&self, service: &ServiceShape, model: &ModelName) -> Vec<TargetEntry> {
        let Some(shape) = service.model(model) else {
            return Vec::new();
        };
        let registry = self.registry.borrow();
        let mut heads = Vec::new();
        for replica in registry.replicas() {
            let serves = replica.service == service.name
                && replica.model.as_ref() == Some(model)
                && replica.head_state == Some(MemberState::Open)
                && replica.is_complete(shape.size);
            if !serves || self.has_suspect(replica) {
                continue;
            }
            let head = replica.head().and_then(|head| registry.get(head));
            let Some(head) = head else { continue };
            if head.state == TargetState::Ready {
                heads.push(head.clone());
            }
        }
        heads
    }

    /// Targets of a plain service that take work now.
    #[must_use]
    pub fn plain_targets(&self, service: &ServiceName) -> Vec<TargetEntry> {
        let registry = self.registry.borrow();
        let suspects = self.suspects.borrow();
        let mut targets: Vec<TargetEntry> = registry
            .targets()
            .filter(|entry| entry.service == *service && entry.state == TargetState::Ready)
            .filter(|entry| !suspects.contains_key(&entry.id))
            .cloned()
            .collect();
        targets.sort_by(|left, right| left.id.cmp(&right.id));
        targets
    }

    /// A target's load.
    #[must_use]
    pub fn load(&self, id: &HostId) -> TargetLoad {
        self.loads.borrow().get(id).copied().unwrap_or_default()
    }

    /// Changes a target's load.
    pub fn with_load(&self, id: &HostId, change: impl FnOnce(&mut TargetLoad)) {
        change(self.loads.borrow_mut().entry(id.clone()).or_default());
    }

    /// Changes a replica's pulse.
    pub fn with_pulse<R>(&self, head: &HostId, change: impl FnOnce(&mut ReplicaPulse) -> R) -> R {
        change(self.pulses.borrow_mut().entry(head.clone()).or_default())
    }

    /// Heads at which requests of this node run and that should be asked about now.
    #[must_use]
    pub fn silent_heads(&self) -> Vec<HostId> {
        let now = self.now();
        let mut silent = Vec::new();
        for (head, pulse) in self.pulses.borrow_mut().iter_mut() {
            if pulse.should_ask(now) {
                silent.push(head.clone());
            }
        }
        silent
    }

    /// Uses the budget of repeats of a service.
    pub fn with_budget<R>(
        &self,
        service: &ServiceName,
        use_it: impl FnOnce(&mut RepeatBudget) -> R,
    ) -> R {
        let mut budgets = self.budgets.borrow_mut();
        let limits = self.settings.bounds.repeats();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RepeatBudget::new(limits));
        use_it(budget)
    }

    /// How many nodes live, at least one.
    #[must_use]
    pub fn node_count(&self) -> usize {
        let count = self.nodes.borrow().len();
        if count == 0 { NODES_UNKNOWN } else { count }
    }

    /// Names of the nodes that live.
    #[must_use]
    pub fn nodes(&self) -> Vec<String> {
        self.nodes.borrow().clone()
    }

    /// Takes the names of the nodes that live.
    pub fn set_nodes(&self, nodes: Vec<String>) {
        if *self.nodes.borrow() == nodes {
            return;
        }
        let count = u64::try_from(nodes.len()).unwrap_or(u64::MAX);
        let line = EventLine::new(EventCode::NodesCounted).number("nodes", count);
        *self.nodes.borrow_mut() = nodes;
        self.log(&line);
    }

    /// Whether the node can serve: it knows a configuration and the targets, and does not stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let known = self.config.borrow().is_some() && self.registry_version.get().is_some();
        known && !self.is_stopping()
    }

    /// Whether the process stops.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Time since the stop began.
    #[must_use]
    pub fn stopping_for(&self) -> Option<Duration> {
        let began = self.stopping.get()?;
        Some(self.now().saturating_sub(began))
    }

    /// Metrics as text.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        String::new()
    }

    /// Begins to stop.
    pub fn stop(&self) {
        self.stopping.set(Some(self.now()));
    }

    fn begin_request(&self) {
        self.seen_request.set(true);
        self.running.set(self.running.get() + 1);
    }

    fn end_request(&self) {
        self.running.set(self.running.get().saturating_sub(1));
        self.ended.notify_waiters();
    }

    /// Requests that run in this process.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Counts a caller's connection.
    pub fn begin_connection(&self) {
        self.connections.set(self.connections.get() + 1);
    }

    /// Counts the end of a caller's connection.
    pub fn end_connection(&self) {
        self.connections.set(self.connections.get().saturating_sub(1));
        self.ended.notify_waiters();
    }

    /// Callers' connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Whether the whole system starts and nobody has asked for anything yet.
    #[must_use]
    pub fn is_lead_time(&self) -> bool {
        self.settings.first_start && !self.seen_request.get()
    }
}

fn target_line(code: EventCode, entry: &TargetEntry) -> EventLine {
    let mut line = EventLine::new(code)
        .text("host", entry.id.as_str())
        .text("service", entry.service.as_str())
        .text("state", state_name(entry.state));
    if let Some(fabric) = &entry.fabric {
        line = line.text("fabric", fabric.as_str());
    }
    if let Some(model) = &entry.loaded {
        line = line.text("model", model.as_str());
    }
    if let Some(membership) = &entry.membership {
        line = line
            .text("replica", membership.replica.as_str())
            .number("epoch", membership.epoch)
            .number("rank", u64::from(membership.rank))
            .text("member", member_name(membership.state));
    }
    line
}

fn state_name(state: TargetState) -> &'static str {
    match state {
        TargetState::Ready => "ready",
        TargetState::Draining => "draining",
    }
}

fn member_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Joining => "joining",
        MemberState::Ready => "ready",
        MemberState::Open => "open",
        MemberState::Closing => "closing",
        MemberState::Broken => "broken",
    }
}
