//! The reconciliation loop of one fabric domain.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use domain::{FabricId, FastMap, FastSet, HostId, HostSlot, LeaseEpoch, ReplicaId};
use events::{EventCode, EventRecorder, EventSubject};
use futures::future::join_all;
use platform::{StoreError, TableStore};
use target::EngineClient;
use tokio::sync::watch;

use super::orders::send_orders;
use super::step_events::StepEvents;
use super::{
    AssemblySettings, DesiredVersion, FabricHealth, FabricRows, HostChooser, HostHealth,
    RoundInput, ServingReplicas, StepError, plan_round, required_orders,
};
use crate::backoff::with_jitter;
use crate::directory::HostDirectory;
use crate::drains::DrainSet;
use crate::evidence_store::EvidenceStore;
use crate::lease::LeaseGrant;
use crate::view::{ConfigView, TargetView};

/// Dependencies of a controller.
#[derive(Debug, Clone)]
pub struct AssemblyContext<T, E, C> {
    /// The table, for the fabric domain's rows.
    pub table: T,
    /// Client of the engines.
    pub engine: E,
    /// Strategy that selects free hosts.
    pub chooser: C,
    /// Health evidence from probes and peers.
    pub evidence_store: EvidenceStore,
    /// The targets as request dispatch sees them; without them every active replica counts as
    /// serving.
    pub targets: Option<watch::Receiver<Arc<TargetView>>>,
    /// The host list.
    pub directory: watch::Receiver<Arc<HostDirectory>>,
    /// The configuration in force.
    pub config: watch::Receiver<Arc<ConfigView>>,
    /// Recorder of the assembly events.
    pub recorder: EventRecorder,
    /// Timing and limits.
    pub settings: AssemblySettings,
}

/// Runs rounds for a fabric domain while its lease is held; returns when the lease's actor ends.
pub async fn run_controller<T: TableStore, E: EngineClient, C: HostChooser>(
    context: AssemblyContext<T, E, C>,
    fabric: FabricId,
    mut grants: watch::Receiver<Option<LeaseGrant>>,
) {
    let period = Duration::from_millis(context.settings.round_ms);
    let mut controller = FabricController::new(context, fabric);
    loop {
        let grant = grants.borrow_and_update().clone();
        let Some(grant) = grant else {
            controller.reset();
            if grants.changed().await.is_err() {
                return;
            }
            continue;
        };
        controller.run_round(&grant).await;
        tokio::time::sleep(with_jitter(period, 0.2)).await;
        if grants.has_changed().is_err() {
            return;
        }
    }
}

/// The state kept between rounds; all of it can be read again.
#[derive(Debug)]
pub struct FabricController<T, E, C> {
    context: AssemblyContext<T, E, C>,
    fabric: FabricId,
    rows: Option<(LeaseEpoch, FabricRows)>,
    refreshed: Instant,
    health: FabricHealth,
}

impl<T: TableStore, E: EngineClient, C: HostChooser> FabricController<T, E, C> {
    /// A controller that has read nothing yet.
    #[must_use]
    pub fn new(context: AssemblyContext<T, E, C>, fabric: FabricId) -> Self {
        Self {
            context,
            fabric,
            rows: None,
            refreshed: Instant::now(),
            health: FabricHealth::default(),
        }
    }

    /// Discards the cached rows and timers, because another node may have changed the fabric
    /// domain.
    pub fn reset(&mut self) {
        self.rows = None;
        self.health = FabricHealth::default();
    }

    /// Runs one round under a lease.
    pub async fn run_round(&mut self, grant: &LeaseGrant) {
        let config = Arc::clone(&self.context.config.borrow());
        // A node that has not read any record yet would treat every replica as surplus.
        if config.revision.0 == 0 {
            return;
        }
        let Ok(mut rows) = self.current_rows(grant).await else {
            return;
        };
        let result = self.reconcile(grant, &config, &mut rows).await;
        let current = !matches!(result, Err(StepError::Store(_) | StepError::Conflict));
        self.rows = current.then_some((grant.epoch, rows));
    }

    /// Returns the rows. They are read again after a lease acquisition, a conflict or a lost
    /// response, and checked every few seconds for an own write that took effect after its response
    /// was given up.
    async fn current_rows(&mut self, grant: &LeaseGrant) -> Result<FabricRows, StoreError> {
        let table = &self.context.table;
        let period = Duration::from_millis(self.context.settings.refresh_ms);
        if let Some((epoch, mut rows)) = self.rows.take()
            && epoch == grant.epoch
        {
            if self.refreshed.elapsed() < period {
                return Ok(rows);
            }
            if !rows.is_stale(table).await? {
                rows.load_replica_counts(table).await?;
                self.refreshed = Instant::now();
                return Ok(rows);
            }
        }
        let rows = FabricRows::load(table, &self.fabric).await?;
        self.refreshed = Instant::now();
        Ok(rows)
    }

    async fn reconcile(
        &mut self,
        grant: &LeaseGrant,
        config: &ConfigView,
        rows: &mut FabricRows,
    ) -> Result<(), StepError> {
        let settings = self.context.settings;
        let directory = Arc::clone(&self.context.directory.borrow());
        let hosts_to_check = self.host_names(&directory, rows);
        rows.load_slots(&self.context.table, hosts_to_check.iter())
            .await?;
        let trusted = self.trusted_hosts(rows);
        let drains = DrainSet::new(config);
        let mut hosts = self
            .probe_hosts(&hosts_to_check, &trusted, &directory, &drains)
            .await;
        let now = Instant::now();
        self.health.update_lost(&mut hosts, &trusted, settings, now);
        let drained = self.drained_replicas(rows, &hosts, now);
        let slots = rows
            .slots
            .iter()
            .map(|(host, (slot, _))| (host.clone(), slot.clone()))
            .collect::<FastMap<HostId, HostSlot>>();
        self.health
            .update_cooldown(&mut hosts, &slots, settings, now);
        let targets = self.context.targets.as_ref();
        let targets = targets.map(|targets| Arc::clone(&targets.borrow()));
        let steps = plan_round(&RoundInput {
            serving: &ServingReplicas::new(rows, targets.as_deref(), now),
            fleet: &rows.fleet.0,
            slots: &slots,
            hosts: &hosts,
            versions: &desired_versions(config, rows),
            drained: &drained,
            chooser: &self.context.chooser,
        });
        let step_events = StepEvents::new(&self.context.recorder);
        for step in steps {
            let known = rows.fleet.0.clone();
            match rows
                .commit_step(&self.context.table, grant, &step, &hosts)
                .await
            {
                Ok(()) => step_events.record(&step, &known, &rows.fleet.0, &hosts),
                Err(error @ (StepError::Store(_) | StepError::Conflict)) => return Err(error),
                Err(StepError::Slot(_) | StepError::Fleet(_) | StepError::Id(_)) => {}
            }
        }
        let orders = required_orders(&rows.fleet.0, &hosts, &directory, settings.loads_at_once);
        for host in send_orders(&self.context.engine, grant, &orders, settings).await {
            let subject = EventSubject::host(&host);
            let detail = format!("epoch {}", grant.epoch);
            self.context
                .recorder
                .record(EventCode::OrderFenced, subject, detail);
        }
        Ok(())
    }

    fn host_names(&self, directory: &HostDirectory, rows: &FabricRows) -> Vec<HostId> {
        let listed = directory
            .hosts
            .values()
            .filter(|entry| entry.fabric == self.fabric)
            .map(|entry| &entry.host);
        let planned = rows.fleet.0.plans.iter().flat_map(|plan| &plan.hosts);
        let assigned = rows
            .slots
            .iter()
            .filter(|(_, (slot, _))| slot.assignment.is_some())
            .map(|(host, _)| host);
        let mut hosts_to_check: Vec<HostId> =
            listed.chain(planned).chain(assigned).cloned().collect();
        hosts_to_check.sort_unstable();
        hosts_to_check.dedup();
        hosts_to_check
    }

    /// Hosts of replicas that some node found healthy recently, with the time of that observation.
    /// The controller does not ask them, and does not consider them lost when it is cut off from
    /// them.
    fn trusted_hosts(&self, rows: &FabricRows) -> FastMap<HostId, Instant> {
        let limit = Duration::from_millis(self.context.settings.trust_ms);
        let now = Instant::now();
        let mut trusted = FastMap::default();
        for plan in &rows.fleet.0.plans {
            let Some(entry) = self.context.evidence_store.newest_for(&plan.id) else {
                continue;
            };
            let mut evidence = entry.evidence.clone();
            evidence.age = entry.age(now);
            if plan.draining || !evidence.allows_dispatch(plan, limit) {
                continue;
            }
            let seen = now.checked_sub(evidence.age).unwrap_or(now);
            trusted.extend(plan.hosts.iter().map(|host| (host.clone(), seen)));
        }
        trusted
    }

    async fn probe_hosts(
        &self,
        hosts_to_check: &[HostId],
        trusted: &FastMap<HostId, Instant>,
        directory: &HostDirectory,
        drains: &DrainSet,
    ) -> BTreeMap<HostId, HostHealth> {
        let timeout = Duration::from_millis(self.context.settings.probe_timeout_ms);
        let probes = hosts_to_check.iter().map(|host| async move {
            let entry = directory.hosts.get(host);
            let state = match entry {
                Some(entry) if !trusted.contains_key(host) => {
                    let response = self.context.engine.state(entry.address, timeout).await;
                    response.ok().filter(|state| state.host == *host)
                }
                Some(_) | None => None,
            };
            let drain = drains.host_cause(host, directory, state.as_ref());
            let health = HostHealth {
                state,
                drain,
                ..HostHealth::default()
            };
            (host.clone(), health)
        });
        join_all(probes).await.into_iter().collect()
    }

    fn drained_replicas(
        &mut self,
        rows: &FabricRows,
        hosts: &BTreeMap<HostId, HostHealth>,
        now: Instant,
    ) -> FastSet<ReplicaId> {
        let mut draining = FastSet::default();
        let mut drained = FastSet::default();
        for plan in &rows.fleet.0.plans {
            if !plan.draining {
                continue;
            }
            draining.insert(plan.id.clone());
            let leading = plan.leader().and_then(|host| hosts.get(host));
            let load = leading
                .and_then(|health| health.state.as_ref())
                .map(|state| state.load);
            let idle = load.is_some_and(|load| load.running == 0 && load.waiting == 0);
            let settings = self.context.settings;
            if self.health.update_drain(&plan.id, idle, settings, now) {
                drained.insert(plan.id.clone());
            }
        }
        self.health.retain_drains(&draining);
        drained
    }
}

/// The desired versions according to the records, with the replica counts in the table.
fn desired_versions(config: &ConfigView, rows: &FabricRows) -> Vec<DesiredVersion> {
    let active = |model: &domain::ModelName, version: &domain::VersionName| {
        let name = (model.clone(), version.clone());
        rows.replica_counts
            .get(&name)
            .map_or(0, |(row, _)| row.replicas)
    };
    let mut desired = Vec::new();
    for model in config.models.values() {
        for version in &model.versions {
            desired.push(DesiredVersion {
                model: model.name.clone(),
                version: version.version.clone(),
                desired: version.replicas,
                active: active(&model.name, &version.version),
                hosts_per_replica: model.hosts_per_replica as usize,
                adapters: model.adapters.clone(),
            });
        }
    }
    // A model whose record this program can't interpret is left unchanged: a newer program knows
    // what the record asks for.
    for plan in &rows.fleet.0.plans {
        let key =
            platform::keys::record_key(domain::record::RecordKind::Model, plan.model.as_str());
        let known = desired
            .iter()
            .any(|wanted| wanted.model == plan.model && wanted.version == plan.version);
        if known || !config.unknown.contains(&key) {
            continue;
        }
        let count = active(&plan.model, &plan.version);
        desired.push(DesiredVersion {
            model: plan.model.clone(),
            version: plan.version.clone(),
            desired: count,
            active: count,
            hosts_per_replica: plan.hosts.len(),
            adapters: plan.adapters.clone(),
        });
    }
    desired
}
