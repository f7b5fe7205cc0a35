//! Publishing the targets: plans, hosts, drains and health evidence combined.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use domain::{FastMap, ReplicaId, ReplicaPlan};
use tokio::sync::watch;

use crate::directory::HostDirectory;
use crate::drains::DrainSet;
use crate::evidence_store::EvidenceStore;
use crate::plans::FleetPlans;
use crate::view::{ConfigView, ReplicaView, TargetView};

/// Shortest interval between two publications.
///
/// With 1,500 replicas and new evidence for each every second, publishing per piece of evidence
/// would mean 1,500 publications a second. At 50 ms there are 20, each of which copies one pointer
/// a replica.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Inputs of the target view.
#[derive(Debug, Clone)]
pub struct TargetInputs {
    /// The replica plans.
    pub plans: watch::Receiver<Arc<FleetPlans>>,
    /// The host list.
    pub directory: watch::Receiver<Arc<HostDirectory>>,
    /// The configuration in force, for the operators' drains.
    pub config: watch::Receiver<Arc<ConfigView>>,
}

/// Publishes the targets after each change and each new piece of evidence; returns when an input is
/// closed.
pub async fn publish_targets(
    mut inputs: TargetInputs,
    evidence_store: EvidenceStore,
    views: watch::Sender<Arc<TargetView>>,
) {
    let mut evidence = evidence_store.changes();
    let mut fleet = FleetIndex::default();
    fleet.rebuild(&mut inputs, &evidence_store);
    loop {
        let replicas = fleet.replicas.values().cloned().collect();
        views.send_replace(Arc::new(TargetView { replicas }));
        tokio::time::sleep(MIN_PUBLISH_INTERVAL).await;
        let rebuilt = tokio::select! {
            changed = inputs.plans.changed() => changed.map(|()| true),
            changed = inputs.directory.changed() => changed.map(|()| true),
            changed = inputs.config.changed() => changed.map(|()| true),
            changed = evidence.changed() => changed.map(|()| false),
        };
        match rebuilt {
            Ok(true) => fleet.rebuild(&mut inputs, &evidence_store),
            Ok(false) => fleet.update(&evidence_store),
            Err(_) => return,
        }
    }
}

#[derive(Debug, Default)]
struct FleetIndex {
    replicas: BTreeMap<ReplicaId, Arc<ReplicaView>>,
}

impl FleetIndex {
    fn rebuild(&mut self, inputs: &mut TargetInputs, evidence_store: &EvidenceStore) {
        let plans = Arc::clone(&inputs.plans.borrow_and_update());
        let directory = Arc::clone(&inputs.directory.borrow_and_update());
        let drains = DrainSet::new(&inputs.config.borrow_and_update());
        let _ = evidence_store.take_changed();
        let mut known: FastMap<&ReplicaId, &ReplicaPlan> = FastMap::default();
        for plan in plans.plans() {
            known.insert(&plan.id, plan);
        }
        self.replicas.retain(|id, _| known.contains_key(id));
        for plan in plans.plans() {
            let view = replica_view(plan, &directory, &drains, evidence_store);
            self.replicas.insert(plan.id.clone(), Arc::new(view));
        }
    }

    fn update(&mut self, evidence_store: &EvidenceStore) {
        for id in evidence_store.take_changed() {
            let Some(replica) = self.replicas.get_mut(&id) else {
                continue;
            };
            let entry = evidence_store.newest_for(&id);
            let mut view = ReplicaView::clone(replica);
            view.load = entry.as_ref().and_then(|entry| entry.load);
            view.evidence = entry.map(|entry| (entry.evidence, entry.received));
            *replica = Arc::new(view);
        }
    }
}

fn replica_view(
    plan: &ReplicaPlan,
    directory: &HostDirectory,
    drains: &DrainSet,
    evidence_store: &EvidenceStore,
) -> ReplicaView {
    let leading = plan.leader().and_then(|host| directory.hosts.get(host));
    let entry = evidence_store.newest_for(&plan.id);
    let load = entry.as_ref().and_then(|entry| entry.load);
    ReplicaView {
        plan: plan.clone(),
        leader: leading.map(|entry| entry.address),
        domain: leading.map(|entry| entry.domain.clone()),
        evidence: entry.map(|entry| (entry.evidence, entry.received)),
        load,
        draining: drains.replica_cause(plan, directory).is_some(),
    }
}
