//! Status of the node for operators, and sampled gauges.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use admin::StatusSource;
use control::config::ConfigHandle;
use control::directory::HostDirectory;
use control::members::{Member, SharedMembership};
use control::{ConfigView, ReplicaView, TargetView};
use domain::{FastSet, HostId, LeaseName, NodeId};
use entry::RequestDispatcher;
use events::NodeMetrics;
use events::metrics::NodeGauge;
use peers::PeerTraffic;
use tokio::sync::watch;
use wire::admin::{MemberStatus, NodeStatus, ReplicaState, ReplicaStatus};

use super::NodeContext;
use super::control::ControlTasks;
use super::peers::PeerTasks;

/// Interval between two samples of the gauges.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Reports the status of the node and samples its gauges. Clones share the totals.
#[derive(Debug, Clone)]
pub struct StatusReporter {
    node: NodeId,
    config: watch::Receiver<Arc<ConfigView>>,
    targets: watch::Receiver<Arc<TargetView>>,
    config_handle: ConfigHandle,
    membership: SharedMembership,
    dispatcher: RequestDispatcher,
    held_leases: watch::Receiver<Vec<LeaseName>>,
    directory: watch::Receiver<Arc<HostDirectory>>,
    max_evidence_age: Duration,
    traffic: PeerTraffic,
    started: Instant,
    startup_grace: Duration,
    totals: Arc<Mutex<DowntimeTotals>>,
}

/// Totals since the process started, and the hosts that are stranded now.
#[derive(Debug, Default)]
struct DowntimeTotals {
    stranded_hosts: Vec<HostId>,
    group_downtime_seconds: f64,
    stranded_seconds: f64,
}

impl StatusReporter {
    /// Creates a reporter that reads the state that the running components publish.
    pub fn new(
        context: &NodeContext,
        peers: &PeerTasks,
        tasks: &ControlTasks,
        dispatcher: &RequestDispatcher,
    ) -> Self {
        Self {
            node: context.settings.node.clone(),
            config: context.config_sender.subscribe(),
            targets: context.target_sender.subscribe(),
            config_handle: peers.config().clone(),
            membership: peers.membership().clone(),
            dispatcher: dispatcher.clone(),
            held_leases: tasks.held_leases(),
            directory: tasks.directory(),
            max_evidence_age: context.settings.entry.max_evidence_age(),
            traffic: peers.traffic().clone(),
            started: Instant::now(),
            startup_grace: context.settings.members.timeouts().dead,
            totals: Arc::default(),
        }
    }

    /// Updates the gauges once a second; runs until the process ends.
    pub async fn run_sampling(self, metrics: NodeMetrics) {
        let mut last_sample = Instant::now();
        loop {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            let elapsed = last_sample.elapsed();
            last_sample = Instant::now();
            self.sample_replicas(elapsed, &metrics);
            self.sample_node(&metrics);
        }
    }

    fn sample_replicas(&self, elapsed: Duration, metrics: &NodeMetrics) {
        let view = Arc::clone(&self.targets.borrow());
        let config = Arc::clone(&self.config.borrow());
        let now = Instant::now();
        let mut serving_hosts = FastSet::default();
        let mut healthy = 0_u32;
        for replica in &view.replicas {
            let state = self.replica_state(replica, now);
            healthy += u32::from(state == ReplicaState::Whole);
            if state != ReplicaState::Broken {
                serving_hosts.extend(replica.plan.hosts.iter().cloned());
            }
        }
        let missing = desired_replicas(&config).saturating_sub(healthy);
        let mut totals = self.totals();
        let directory = Arc::clone(&self.directory.borrow());
        let stranded: Vec<HostId> = directory
            .hosts
            .keys()
            .filter(|host| !serving_hosts.contains(*host))
            .cloned()
            .collect();
        totals.group_downtime_seconds += f64::from(missing) * elapsed.as_secs_f64();
        totals.stranded_seconds += count_f64(stranded.len()) * elapsed.as_secs_f64();
        totals.stranded_hosts = stranded;
        #[expect(clippy::cast_precision_loss, reason = "a gauge of a revision")]
        metrics.set_gauge(NodeGauge::ConfigRevision, config.revision.0 as f64);
        metrics.set_gauge(NodeGauge::WholeReplicas, f64::from(healthy));
        metrics.set_gauge(NodeGauge::BrokenReplicas, f64::from(missing));
        metrics.set_gauge(
            NodeGauge::StrandedHosts,
            count_f64(totals.stranded_hosts.len()),
        );
        metrics.set_gauge(NodeGauge::StrandedTime, totals.stranded_seconds);
        metrics.set_gauge(NodeGauge::GroupDowntime, totals.group_downtime_seconds);
    }

    fn sample_node(&self, metrics: &NodeMetrics) {
        let now = Instant::now();
        metrics.set_gauge(
            NodeGauge::LeasesHeld,
            count_f64(self.held_leases.borrow().len()),
        );
        metrics.set_gauge(NodeGauge::QueueLength, count_f64(self.dispatcher.waiting()));
        let traffic = self.traffic.counts();
        metrics.set_gauge(NodeGauge::PeerSent, bytes_f64(traffic.sent));
        metrics.set_gauge(NodeGauge::PeerReceived, bytes_f64(traffic.received));
        metrics.set_gauge(
            NodeGauge::Members,
            count_f64(self.membership.view(now).members.len()),
        );
        if let Some(confirmation) = self.config_handle.status().confirmation {
            let age = now.saturating_duration_since(confirmation.as_of);
            metrics.set_gauge(NodeGauge::ConfigAge, age.as_secs_f64());
        }
    }

    fn members(&self, now: Instant) -> Vec<MemberStatus> {
        let view = self.membership.view(now);
        let to_status = |member: &Member| MemberStatus {
            node: member.node.clone(),
            domain: member.domain.clone(),
            region: member.region.clone(),
            admin: member.admin,
        };
        view.members.iter().map(to_status).collect()
    }

    fn replica_state(&self, replica: &ReplicaView, now: Instant) -> ReplicaState {
        if replica.dispatchable(now, self.max_evidence_age) {
            ReplicaState::Whole
        } else if replica.draining || replica.plan.draining {
            ReplicaState::Draining
        } else {
            ReplicaState::Broken
        }
    }

    fn totals(&self) -> std::sync::MutexGuard<'_, DowntimeTotals> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn count_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[expect(clippy::cast_precision_loss, reason = "a gauge of bytes")]
fn bytes_f64(bytes: u64) -> f64 {
    bytes as f64
}

/// Returns the number of replicas that the configuration in force asks for.
fn desired_replicas(config: &ConfigView) -> u32 {
    let plans = config.models.values().flat_map(|model| &model.versions);
    plans.map(|plan| plan.replicas).sum()
}

impl StatusSource for StatusReporter {
    fn status(&self) -> NodeStatus {
        let config = Arc::clone(&self.config.borrow());
        let view = Arc::clone(&self.targets.borrow());
        let now = Instant::now();
        let replicas = view
            .replicas
            .iter()
            .map(|replica| ReplicaStatus {
                replica: replica.plan.id.clone(),
                incarnation: replica.plan.incarnation,
                model: replica.plan.model.clone(),
                version: replica.plan.version.clone(),
                hosts: replica.plan.hosts.clone(),
                state: self.replica_state(replica, now),
            })
            .collect();
        let totals = self.totals();
        NodeStatus {
            node: self.node.clone(),
            ready: config.revision.0 > 0 && config.gate.is_open(now),
            readiness: self.config_handle.status().readiness.as_str().to_owned(),
            revision: config.revision,
            unknown_records: config.unknown.clone(),
            replicas,
            stranded_hosts: totals.stranded_hosts.clone(),
            group_downtime_seconds: totals.group_downtime_seconds,
            stranded_seconds: totals.stranded_seconds,
            leases: self
                .held_leases
                .borrow()
                .iter()
                .map(ToString::to_string)
                .collect(),
            members: self.members(now),
        }
    }

    /// The minority side of a partition must not accept amendments, since the majority side would
    /// not learn of them. The operator would be told within seconds that the change is in force,
    /// while most clients are still served with the old configuration.
    fn amend_unavailable_reason(&self) -> Option<String> {
        // A node that has just started has no heartbeats of other nodes yet and would refuse
        // amendments for no reason.
        if self.started.elapsed() < self.startup_grace {
            return None;
        }
        let reach = self.membership.reach(Instant::now());
        if reach.roster_size <= 1 || reach.is_majority() {
            return None;
        }
        Some(format!(
            "this node reaches {} of {} entry nodes, less than half: it may be partitioned from the \
             others; try again through another node or later",
            reach.reachable, reach.roster_size
        ))
    }
}
