//! What a node says of itself: its status, and the gauges that are sampled.

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

/// Time between two samples of downtime and stranded hosts.
const SAMPLE_PERIOD: Duration = Duration::from_secs(1);

/// What a node says of itself. Clones share the counts.
#[derive(Debug, Clone)]
pub struct NodeReport {
    node: NodeId,
    config: watch::Receiver<Arc<ConfigView>>,
    targets: watch::Receiver<Arc<TargetView>>,
    follower: ConfigHandle,
    membership: SharedMembership,
    dispatcher: RequestDispatcher,
    held: watch::Receiver<Vec<LeaseName>>,
    directory: watch::Receiver<Arc<HostDirectory>>,
    max_evidence_age: Duration,
    traffic: PeerTraffic,
    started: Instant,
    settle: Duration,
    counts: Arc<Mutex<ReportCounts>>,
}

#[derive(Debug, Default)]
struct ReportCounts {
    stranded_hosts: Vec<HostId>,
    group_downtime_seconds: f64,
    stranded_seconds: f64,
}

impl NodeReport {
    /// A report that reads what the running parts publish.
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
            follower: peers.config().clone(),
            membership: peers.membership().clone(),
            dispatcher: dispatcher.clone(),
            held: tasks.held(),
            directory: tasks.directory(),
            max_evidence_age: context.settings.entry.max_evidence_age(),
            traffic: peers.traffic().clone(),
            started: Instant::now(),
            settle: context.settings.members.timeouts().dead,
            counts: Arc::default(),
        }
    }

    /// Samples downtime, stranded hosts and what goes over the links, once a second.
    pub async fn sample_forever(self, metrics: NodeMetrics) {
        let mut sampled = Instant::now();
        loop {
            tokio::time::sleep(SAMPLE_PERIOD).await;
            let passed = sampled.elapsed();
            sampled = Instant::now();
            self.sample(passed, &metrics);
            self.sample_links(&metrics);
        }
    }

    fn sample(&self, passed: Duration, metrics: &NodeMetrics) {
        let view = Arc::clone(&self.targets.borrow());
        let config = Arc::clone(&self.config.borrow());
        let now = Instant::now();
        let mut serving = FastSet::default();
        let mut whole = 0_u32;
        for replica in &view.replicas {
            let state = self.state_of(replica, now);
            whole += u32::from(state == ReplicaState::Whole);
            if state != ReplicaState::Broken {
                serving.extend(replica.plan.hosts.iter().cloned());
            }
        }
        let broken = wanted_replicas(&config).saturating_sub(whole);
        let mut counts = self.counts();
        let directory = Arc::clone(&self.directory.borrow());
        let stranded: Vec<HostId> = directory
            .hosts
            .keys()
            .filter(|host| !serving.contains(*host))
            .cloned()
            .collect();
        counts.group_downtime_seconds += f64::from(broken) * passed.as_secs_f64();
        counts.stranded_seconds += count_f64(stranded.len()) * passed.as_secs_f64();
        counts.stranded_hosts = stranded;
        #[expect(clippy::cast_precision_loss, reason = "a gauge of a revision")]
        metrics.set_gauge(NodeGauge::ConfigRevision, config.revision.0 as f64);
        metrics.set_gauge(NodeGauge::WholeReplicas, f64::from(whole));
        metrics.set_gauge(NodeGauge::BrokenReplicas, f64::from(broken));
        metrics.set_gauge(
            NodeGauge::StrandedHosts,
            count_f64(counts.stranded_hosts.len()),
        );
        metrics.set_gauge(NodeGauge::StrandedTime, counts.stranded_seconds);
        metrics.set_gauge(NodeGauge::GroupDowntime, counts.group_downtime_seconds);
    }

    fn sample_links(&self, metrics: &NodeMetrics) {
        let now = Instant::now();
        metrics.set_gauge(NodeGauge::LeasesHeld, count_f64(self.held.borrow().len()));
        metrics.set_gauge(NodeGauge::QueueLength, count_f64(self.dispatcher.waiting()));
        let traffic = self.traffic.counts();
        metrics.set_gauge(NodeGauge::PeerSent, bytes_f64(traffic.sent));
        metrics.set_gauge(NodeGauge::PeerReceived, bytes_f64(traffic.received));
        metrics.set_gauge(
            NodeGauge::Members,
            count_f64(self.membership.view(now).members.len()),
        );
        if let Some(known) = self.follower.status().confirmation {
            let age = now.saturating_duration_since(known.as_of);
            metrics.set_gauge(NodeGauge::ConfigAge, age.as_secs_f64());
        }
    }

    fn members(&self, now: Instant) -> Vec<MemberStatus> {
        let view = self.membership.view(now);
        let status = |member: &Member| MemberStatus {
            node: member.node.clone(),
            domain: member.domain.clone(),
            region: member.region.clone(),
            admin: member.admin,
        };
        view.members.iter().map(status).collect()
    }

    fn state_of(&self, replica: &ReplicaView, now: Instant) -> ReplicaState {
        if replica.dispatchable(now, self.max_evidence_age) {
            ReplicaState::Whole
        } else if replica.draining || replica.plan.draining {
            ReplicaState::Draining
        } else {
            ReplicaState::Broken
        }
    }

    fn counts(&self) -> std::sync::MutexGuard<'_, ReportCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn count_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[expect(clippy::cast_precision_loss, reason = "a gauge of bytes")]
fn bytes_f64(bytes: u64) -> f64 {
    bytes as f64
}

fn wanted_replicas(config: &ConfigView) -> u32 {
    let plans = config.models.values().flat_map(|model| &model.versions);
    plans.map(|plan| plan.replicas).sum()
}

impl StatusSource for NodeReport {
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
                state: self.state_of(replica, now),
            })
            .collect();
        let counts = self.counts();
        NodeStatus {
            node: self.node.clone(),
            ready: config.revision.0 > 0 && config.gate.is_open(now),
            readiness: self.follower.status().readiness.as_str().to_owned(),
            revision: config.revision,
            unknown_records: config.unknown.clone(),
            replicas,
            stranded_hosts: counts.stranded_hosts.clone(),
            group_downtime_seconds: counts.group_downtime_seconds,
            stranded_seconds: counts.stranded_seconds,
            leases: self.held.borrow().iter().map(ToString::to_string).collect(),
            members: self.members(now),
        }
    }

    /// Why this node takes no amendments: the small side of a partition must not change what the
    /// large side can't hear of. Whoever amends there would be told that it is in force within
    /// seconds, while most callers are still served by the old configuration.
    fn amend_unavailable_reason(&self) -> Option<String> {
        // A node that has just started has heard nobody yet and would refuse for no reason.
        if self.started.elapsed() < self.settle {
            return None;
        }
        let reach = self.membership.reach(Instant::now());
        if reach.roster_size <= 1 || reach.is_majority() {
            return None;
        }
        Some(format!(
            "this node hears {} of {} entry hosts, less than half: it may be cut off from the \
             others; try again through another node, or when they are back",
            reach.reachable, reach.roster_size
        ))
    }
}
