//! Wiring of the admin listener, and what a node says of itself.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use admin::{AdminParts, AdminServer, OperatorKey, StatusSource};
use control::{ConfigView, ReplicaView, TargetView};
use domain::{FastSet, HostId, NodeId};
use events::NodeMetrics;
use events::metrics::NodeGauge;
use eyre::WrapErr;
use platform::HostListPort;
use platform::http::{HttpHostList, HttpTable};
use tokio::net::TcpListener;
use tokio::sync::watch;
use web::serve_listener;
use wire::admin::{MemberStatus, NodeStatus, ReplicaState, ReplicaStatus};

use super::NodeContext;

/// Oldest evidence of wholeness with which a replica is shown as whole.
const EVIDENCE_LIMIT: Duration = Duration::from_secs(3);

/// Time between two samples of downtime and stranded hosts.
const SAMPLE_PERIOD: Duration = Duration::from_secs(1);

/// Samples between two reads of the host list: at 410 nodes 41 reads a second in all.
const SAMPLES_PER_LISTING: u32 = 10;

/// A bound admin listener.
pub struct AdminListener {
    /// Where operators connect.
    pub address: SocketAddr,
    listener: TcpListener,
    server: Arc<AdminServer<HttpTable, NodeReport>>,
}

/// Binds the admin listener when the settings name one.
///
/// # Errors
///
/// When the address can't be bound or the operators' key can't be read.
pub async fn bind(context: &NodeContext) -> eyre::Result<Option<AdminListener>> {
    let report = NodeReport::new(context);
    tokio::spawn(
        report
            .clone()
            .sample_forever(context.list.clone(), context.metrics.clone()),
    );
    let Some(wanted) = context.settings.admin else {
        return Ok(None);
    };
    let listener = TcpListener::bind(wanted)
        .await
        .wrap_err_with(|| format!("can't listen on {wanted}"))?;
    let key = context.settings.secrets.operator_key()?;
    let parts = AdminParts {
        table: context.table.clone(),
        source: report,
        recorder: context.recorder.clone(),
        metrics: context.metrics.clone(),
        key: key.map(|key| OperatorKey::new(key.expose())),
    };
    let address = listener.local_addr()?;
    let server = Arc::new(AdminServer::new(parts));
    Ok(Some(AdminListener {
        address,
        listener,
        server,
    }))
}

impl AdminListener {
    /// Serves for as long as the process lives.
    pub fn start(self) {
        tokio::spawn(serve_listener(
            self.listener,
            self.server,
            std::future::pending(),
        ));
    }
}

/// What a node says of itself. Clones share the counts.
#[derive(Debug, Clone)]
pub struct NodeReport {
    node: NodeId,
    config: watch::Receiver<Arc<ConfigView>>,
    targets: watch::Receiver<Arc<TargetView>>,
    counts: Arc<Mutex<ReportCounts>>,
}

#[derive(Debug, Default)]
struct ReportCounts {
    listed_hosts: Vec<HostId>,
    stranded_hosts: Vec<HostId>,
    group_downtime_seconds: f64,
    stranded_seconds: f64,
}

impl NodeReport {
    fn new(context: &NodeContext) -> Self {
        Self {
            node: context.settings.node.clone(),
            config: context.config_sender.subscribe(),
            targets: context.target_sender.subscribe(),
            counts: Arc::default(),
        }
    }

    async fn sample_forever(self, list: HttpHostList, metrics: NodeMetrics) {
        let mut number = 0_u32;
        let mut sampled = Instant::now();
        loop {
            if number.is_multiple_of(SAMPLES_PER_LISTING)
                && let Ok(listing) = list.list().await
            {
                let hosts = listing.hosts.into_iter().map(|host| host.host).collect();
                self.counts().listed_hosts = hosts;
            }
            number = number.wrapping_add(1);
            tokio::time::sleep(SAMPLE_PERIOD).await;
            let passed = sampled.elapsed();
            sampled = Instant::now();
            self.sample(passed, &metrics);
        }
    }

    fn sample(&self, passed: Duration, metrics: &NodeMetrics) {
        let view = Arc::clone(&self.targets.borrow());
        let config = Arc::clone(&self.config.borrow());
        let now = Instant::now();
        let mut serving = FastSet::default();
        let mut whole = 0_u32;
        for replica in &view.replicas {
            if state_of(replica, now) == ReplicaState::Broken {
                continue;
            }
            whole += 1;
            serving.extend(replica.plan.hosts.iter().cloned());
        }
        let broken = wanted_replicas(&config).saturating_sub(whole);
        let mut counts = self.counts();
        let stranded: Vec<HostId> = counts
            .listed_hosts
            .iter()
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

    fn counts(&self) -> std::sync::MutexGuard<'_, ReportCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn count_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn wanted_replicas(config: &ConfigView) -> u32 {
    let plans = config.models.values().flat_map(|model| &model.versions);
    plans.map(|plan| plan.replicas).sum()
}

fn state_of(replica: &ReplicaView, now: Instant) -> ReplicaState {
    if replica.dispatchable(now, EVIDENCE_LIMIT) {
        ReplicaState::Whole
    } else if replica.draining || replica.plan.draining {
        ReplicaState::Draining
    } else {
        ReplicaState::Broken
    }
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
                state: state_of(replica, now),
            })
            .collect();
        let counts = self.counts();
        NodeStatus {
            node: self.node.clone(),
            ready: config.revision.0 > 0 && config.gate.is_open(now),
            standing: String::new(),
            revision: config.revision,
            unknown_records: config.unknown.clone(),
            replicas,
            stranded_hosts: counts.stranded_hosts.clone(),
            group_downtime_seconds: counts.group_downtime_seconds,
            stranded_seconds: counts.stranded_seconds,
            leases: Vec::new(),
            members: Vec::<MemberStatus>::new(),
        }
    }

    fn amend_hindrance(&self) -> Option<String> {
        None
    }
}
