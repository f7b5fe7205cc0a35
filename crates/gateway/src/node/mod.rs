//! In-memory state of a gateway, shared by its tasks.

mod cold;
mod config;
mod confirmed;
mod demand;
mod evacuation;
mod health;
mod live_nodes;
mod loads;
mod missing;
mod paths;
mod process;
mod ranks;
mod regions;
mod retries;
mod targets;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use adapter::{StoreClient, StoreEras};
use domain::{EraVersion, FastMap, FastSet, HostId, ServiceName};
use events::{LogLine, LogSink};
use policy::admission::CustomerShares;
use serving::demand::DemandLedger;
use serving::lease::LeaseLedger;
use serving::load_board::LoadBoard;
use serving::missing_targets::MissingTargets;
use serving::regions::RegionMap;
use serving::replica_history::ReplicaHistory;
use serving::stall::StallDetector;
use serving::target_paths::TargetPaths;
use serving::{
    ColdLedger, ConfirmedMembership, EvacuationLedger, GatewayConfig, PromptBacklog, RetryBudget,
    ShutdownPlan, StatementLedger, TargetLoad, TargetRegistry,
};
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

use crate::boot_clock::BootClock;
use crate::crash::CrashState;
use crate::feed::FeedState;
use crate::held::HeldState;
use crate::hint_channel::{HintChannel, HostHash};
use crate::limited_target::LimitedTarget;
use crate::metrics::GatewayMetrics;
use crate::overload_state::OverloadState;
use crate::pool::ConnectionPool;
use crate::settings::GatewaySettings;
use crate::tunnel::TunnelState;

pub use cold::ColdSource;
use config::ConnectionBounds;
pub use confirmed::EntryIntake;
use health::Suspicion;
pub use health::{FailureKind, ReplicaLostSignal};
use live_nodes::HeartbeatHistory;
pub use live_nodes::LiveNode;
pub use paths::TargetDoubt;
pub use process::RequestGuard;
use ranks::FabricRanks;

/// State of a gateway node. All times are measured from process start.
#[derive(Debug)]
pub struct GatewayNode {
    /// Settings read at startup.
    pub settings: GatewaySettings,
    /// Regions of the failure domains and of this node.
    pub regions: RegionMap,
    /// Rate-limited log of the process.
    pub sink: LogSink,
    /// Metrics served at the metrics address.
    pub metrics: GatewayMetrics,
    /// Pool of idle connections to targets.
    pub pool: ConnectionPool,
    /// Channel for load hints to other nodes.
    pub hints: HintChannel,
    /// Copies of the store's tables, and the nodes that pass on their changes.
    pub feed: FeedState,
    /// Era of the store, as all its clients of this process know it.
    pub eras: Rc<StoreEras>,
    /// Notified when the store has been restored from a copy, so that rows of this node are written again.
    pub restored: Notify,
    /// When the last era began that this process saw begin after another one.
    era_began_at: Cell<Option<Duration>>,
    restores: Cell<u64>,
    /// Other nodes through which this one connects to targets, and tunnels that it serves.
    pub tunnels: TunnelState,
    /// What is held for clients that read or send slowly.
    pub held: HeldState,
    /// Notified when this node has proposed other shares of the hosts for the models of a service, so
    /// that its heartbeat tells of them at once.
    pub share_proposed: Notify,
    /// Loads that this node passes on to others.
    pub load_board: RefCell<LoadBoard<HostHash>>,
    /// Wakes the replica reconciler after a state change.
    pub state_changed: Notify,
    /// Notified when there is a doubt about a target.
    pub doubted: Notify,
    /// Notified when a request or client connection ends.
    pub activity_ended: Notify,
    /// What is known of crashed targets, and of answers that targets survived.
    pub crashes: CrashState,
    /// What overload this node sees.
    pub overload: OverloadState,
    /// What clients ask of each model, and the decisions on shares.
    demand: RefCell<DemandLedger>,
    started: Instant,
    boot_clock: BootClock,
    config: RefCell<Option<Rc<GatewayConfig>>>,
    /// Hash of the document of the configuration in force.
    config_digest: Cell<u64>,
    /// Limits on client connections; none while no configuration is known.
    connection_bounds: Cell<Option<ConnectionBounds>>,
    registry: RefCell<TargetRegistry>,
    /// Known targets whose entries are missing from the registry.
    missing: RefCell<MissingTargets>,
    registry_version: Cell<Option<EraVersion>>,
    registry_confirmed_at: Cell<Duration>,
    store_unreachable: Cell<bool>,
    /// Until when registry rows may predate an outage of the store.
    registry_stale_until: Cell<Duration>,
    hosts_changed_at: Cell<Duration>,
    membership_changed_at: RefCell<FastMap<HostId, Duration>>,
    replica_history: RefCell<ReplicaHistory>,
    loads: RefCell<FastMap<HostId, TargetLoad>>,
    /// Tokens of this node's requests at each head that runs any.
    running_tokens: RefCell<FastMap<HostId, u64>>,
    /// Hosts by the hashes that stand for them in hints.
    hosts_by_hash: RefCell<FastMap<HostHash, HostId>>,
    /// Prompts that heads have not processed yet, sent by this node or announced by others.
    prompt_backlogs: RefCell<FastMap<HostId, PromptBacklog>>,
    stall_detectors: RefCell<FastMap<HostId, StallDetector>>,
    loss_signals: RefCell<FastMap<HostId, Rc<ReplicaLostSignal>>>,
    suspicions: RefCell<FastMap<HostId, Suspicion>>,
    /// Paths to targets.
    paths: RefCell<TargetPaths>,
    /// Notified when a path was lost or works again.
    paths_changed: Notify,
    /// Failures of targets that this node can't vouch for yet.
    doubts: RefCell<FastMap<HostId, TargetDoubt>>,
    /// Targets with a probe in progress.
    probing: RefCell<FastSet<HostId>>,
    /// When heads last started a response for another node.
    served_others_at: RefCell<FastMap<HostId, Duration>>,
    /// Known targets that are no longer in the registry, and when each is probed next.
    unlisted: RefCell<FastMap<HostId, Duration>>,
    /// Memberships that hosts confirmed themselves.
    confirmed: RefCell<FastMap<HostId, ConfirmedMembership>>,
    /// Hosts whose last registry entry contradicts what they confirmed.
    contradicted: RefCell<FastSet<HostId>>,
    /// Store clock, and the process time at which it was read.
    pub(crate) store_clock: Cell<Option<(Duration, Duration)>>,
    /// Draining or unlisted targets that no longer accept connections, and since when.
    retired: RefCell<FastMap<HostId, Duration>>,
    retry_budgets: RefCell<FastMap<ServiceName, RetryBudget>>,
    /// Backoffs and drains that targets state.
    pub(crate) statements: RefCell<StatementLedger>,
    /// Failure domains that operators evacuate.
    pub(super) evacuations: RefCell<EvacuationLedger>,
    /// Targets that are cold.
    pub(crate) cold_targets: RefCell<ColdLedger>,
    /// Limits that targets state.
    pub(crate) limits: RefCell<FastMap<HostId, LimitedTarget>>,
    /// What this process is called in leases: its name and the address at which it accepts requests.
    pub(crate) lease_holder: RefCell<String>,
    /// Leases of the extra retries; `None` until the node accepts requests.
    pub(crate) retry_leases: RefCell<Option<LeaseLedger>>,
    customer_shares: RefCell<FastMap<ServiceName, CustomerShares>>,
    live_nodes: RefCell<Vec<String>>,
    /// Failure domains of the live nodes, in the order of their names.
    live_domains: RefCell<Vec<String>>,
    heartbeat_history: Cell<HeartbeatHistory>,
    heartbeat_written_at: Cell<Duration>,
    fabric_ranks: RefCell<FabricRanks>,
    nodes_generation: Cell<u64>,
    shutdown: Cell<Option<ShutdownPlan>>,
    /// Closed when no more client connections are accepted.
    accepting: Semaphore,
    /// Closed when the requests that still run at the end of a shutdown are given up.
    serving: Semaphore,
    running_requests: Cell<usize>,
    /// Requests that have a place among those that may run at once.
    placed_requests: Cell<usize>,
    max_requests: usize,
    /// Most tunnels that are served for other nodes at once.
    pub(crate) max_tunnels: usize,
    open_connections: Cell<usize>,
    has_seen_request: Cell<bool>,
}

/// Time after startup or an outage of the store in which registry entries may be out of date:
/// targets rewrite theirs within about two seconds.
const REGISTRY_SETTLE_TIME: Duration = Duration::from_millis(2500);

impl GatewayNode {
    /// Creates a node without configuration or registry data.
    #[must_use]
    pub fn new(
        settings: GatewaySettings,
        sink: LogSink,
        metrics: GatewayMetrics,
        hints: HintChannel,
        boot_clock: BootClock,
    ) -> Self {
        Self {
            held: HeldState::new(settings.memory_mb),
            regions: settings.region_map(),
            max_requests: settings.connection_limits().max_requests(),
            max_tunnels: settings.connection_limits().max_tunnels(),
            settings,
            hints,
            feed: FeedState::new(),
            eras: Rc::default(),
            restored: Notify::new(),
            era_began_at: Cell::default(),
            restores: Cell::default(),
            tunnels: TunnelState::default(),
            share_proposed: Notify::new(),
            overload: OverloadState::default(),
            demand: RefCell::default(),
            load_board: RefCell::default(),
            sink,
            metrics,
            pool: ConnectionPool::default(),
            state_changed: Notify::new(),
            activity_ended: Notify::new(),
            crashes: CrashState::default(),
            started: Instant::now(),
            boot_clock,
            config: RefCell::default(),
            config_digest: Cell::default(),
            connection_bounds: Cell::default(),
            registry: RefCell::default(),
            missing: RefCell::default(),
            registry_version: Cell::default(),
            registry_confirmed_at: Cell::default(),
            store_unreachable: Cell::default(),
            registry_stale_until: Cell::default(),
            hosts_changed_at: Cell::default(),
            membership_changed_at: RefCell::default(),
            replica_history: RefCell::default(),
            loads: RefCell::default(),
            running_tokens: RefCell::default(),
            hosts_by_hash: RefCell::default(),
            prompt_backlogs: RefCell::default(),
            stall_detectors: RefCell::default(),
            loss_signals: RefCell::default(),
            suspicions: RefCell::default(),
            paths: RefCell::default(),
            paths_changed: Notify::new(),
            doubts: RefCell::default(),
            doubted: Notify::new(),
            probing: RefCell::default(),
            served_others_at: RefCell::default(),
            unlisted: RefCell::default(),
            confirmed: RefCell::default(),
            contradicted: RefCell::default(),
            store_clock: Cell::default(),
            retired: RefCell::default(),
            retry_budgets: RefCell::default(),
            statements: RefCell::default(),
            evacuations: RefCell::default(),
            cold_targets: RefCell::default(),
            limits: RefCell::default(),
            lease_holder: RefCell::default(),
            retry_leases: RefCell::default(),
            customer_shares: RefCell::default(),
            live_nodes: RefCell::default(),
            live_domains: RefCell::default(),
            heartbeat_history: Cell::default(),
            heartbeat_written_at: Cell::default(),
            fabric_ranks: RefCell::default(),
            nodes_generation: Cell::default(),
            shutdown: Cell::default(),
            accepting: Semaphore::new(0),
            serving: Semaphore::new(0),
            running_requests: Cell::default(),
            placed_requests: Cell::default(),
            open_connections: Cell::default(),
            has_seen_request: Cell::default(),
        }
    }

    /// Time since process start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Time since process start, including time for which the host was suspended.
    #[must_use]
    pub fn boot_now(&self) -> Duration {
        self.boot_clock.elapsed()
    }

    /// A client of the store that connects on its first call.
    #[must_use]
    pub fn store_client(&self) -> StoreClient {
        StoreClient::new(self.settings.store, Rc::clone(&self.eras))
    }

    /// Queues a line for the log, which drops lines beyond its rate limit.
    pub fn log(&self, line: &LogLine) {
        self.sink.write(line, self.now());
    }

    /// Calls `read` with the target registry.
    pub fn registry<R>(&self, read: impl FnOnce(&TargetRegistry) -> R) -> R {
        read(&self.registry.borrow())
    }

    /// Newest store version up to which the registry is known; `None` before the first read.
    #[must_use]
    pub fn registry_version(&self) -> Option<EraVersion> {
        self.registry_version.get()
    }

    /// Time since the store last confirmed the registry data.
    #[must_use]
    pub fn registry_age(&self) -> Duration {
        self.now().saturating_sub(self.registry_confirmed_at.get())
    }

    /// Whether the last call for registry changes failed.
    #[must_use]
    pub fn is_store_unreachable(&self) -> bool {
        self.store_unreachable.get()
    }

    /// Whether registry data may be out of date: the store is unavailable, or was until recently
    /// and targets have not all rewritten their entries. A node that has just started can't tell
    /// and assumes so.
    #[must_use]
    pub fn is_registry_stale(&self) -> bool {
        self.store_unreachable.get() || self.now() < self.registry_stale_until.get()
    }

    /// Records that a call for registry changes failed.
    pub fn mark_store_unreachable(&self) {
        self.store_unreachable.set(true);
    }

    /// When the last era of the store began that followed another one.
    #[must_use]
    pub fn era_began_at(&self) -> Option<Duration> {
        self.era_began_at.get()
    }

    /// Number of restores of the store that this process has seen.
    #[must_use]
    pub fn restores(&self) -> u64 {
        self.restores.get()
    }

    /// Records that the store has been restored from a copy, whose entries of the registry may be out of date.
    pub(crate) fn mark_restored(&self) {
        let now = self.now();
        self.restores.set(self.restores.get() + 1);
        self.era_began_at.set(Some(now));
        self.registry_stale_until.set(now + REGISTRY_SETTLE_TIME);
    }

    /// Records that the registry was read at startup or after an outage.
    pub fn mark_store_reachable(&self) {
        self.store_unreachable.set(false);
        if !self.is_bootstrapping() {
            self.registry_stale_until
                .set(self.now() + REGISTRY_SETTLE_TIME);
        }
    }

    /// Time since a host was last added or removed.
    #[must_use]
    pub fn time_since_host_change(&self) -> Duration {
        self.now().saturating_sub(self.hosts_changed_at.get())
    }
}
