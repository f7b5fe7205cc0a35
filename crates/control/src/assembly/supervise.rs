//! Runs a lease and a controller for every fabric domain, and the housekeeping lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use domain::{FabricId, LeaseName, NodeId, RegionId};
use futures::future::join_all;
use platform::TableStore;
use target::EngineClient;
use tokio::sync::watch;

use super::{AssemblyContext, HostChooser, run_controller};
use crate::housekeeping::{HousekeepingSettings, run_housekeeping};
use crate::lease::{
    CandidateRank, LeaseGrant, LeaseHandle, LeaseSettings, LeaseTracker, candidate_rank,
    fabric_lease, housekeeping_lease, start_lease_actor, unique_holder_id,
};
use crate::members::MemberView;

/// Longest interval between two refreshes of the leases and candidate ranks.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Inputs of the supervisor.
#[derive(Debug, Clone)]
pub struct SupervisorInputs {
    /// Id of this node.
    pub node: NodeId,
    /// The nodes among which the candidates of a lease are chosen.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// Timing of the leases.
    pub leases: LeaseSettings,
    /// Timing of housekeeping.
    pub housekeeping: HousekeepingSettings,
    /// Receives the names of the leases that this node holds, at each refresh.
    pub held: watch::Sender<Vec<LeaseName>>,
}

struct LeaseEntry<T: TableStore> {
    handle: LeaseHandle<T>,
    region: Option<RegionId>,
    rank: watch::Sender<Option<CandidateRank>>,
}

struct LeaseSupervisor<T: TableStore, E, C> {
    context: AssemblyContext<T, E, C>,
    inputs: SupervisorInputs,
    holder: NodeId,
    leases: BTreeMap<LeaseName, LeaseEntry<T>>,
}

/// Runs all leases until `stop` completes, then releases those that are held.
pub async fn supervise_leases<T: TableStore, E: EngineClient, C: HostChooser>(
    context: AssemblyContext<T, E, C>,
    mut inputs: SupervisorInputs,
    stop: impl Future<Output = ()> + Send,
) {
    let mut directory = context.directory.clone();
    let mut members = inputs.members.clone();
    let holder = unique_holder_id(&inputs.node);
    inputs.members.mark_unchanged();
    let mut supervisor = LeaseSupervisor {
        context,
        inputs,
        holder,
        leases: BTreeMap::new(),
    };
    tokio::pin!(stop);
    loop {
        supervisor.refresh();
        tokio::select! {
            () = &mut stop => break,
            _ = directory.changed() => {}
            _ = members.changed() => {}
            () = tokio::time::sleep(REFRESH_INTERVAL) => {}
        }
    }
    let releases = supervisor
        .leases
        .values()
        .map(|entry| entry.handle.release());
    join_all(releases).await;
}

impl<T: TableStore, E: EngineClient, C: HostChooser> LeaseSupervisor<T, E, C> {
    fn refresh(&mut self) {
        let directory = Arc::clone(&self.context.directory.borrow());
        // A fabric domain that is no longer listed keeps its controller: it may only be down.
        for (fabric, region) in directory.fabrics() {
            let Ok(name) = fabric_lease(&fabric) else {
                continue;
            };
            if self.leases.contains_key(&name) {
                continue;
            }
            self.start_fabric(name, fabric, region);
        }
        let name = housekeeping_lease();
        if !self.leases.contains_key(&name) {
            self.start_housekeeping(name);
        }
        let members = Arc::clone(&self.inputs.members.borrow());
        for (name, entry) in &self.leases {
            let rank = self.rank(name, entry.region.as_ref(), &members);
            entry.rank.send_if_modified(|current| {
                let changed = *current != rank;
                *current = rank;
                changed
            });
        }
        self.publish_held();
    }

    fn publish_held(&self) {
        let mut held = Vec::new();
        for (name, entry) in &self.leases {
            if entry.handle.grants().borrow().is_some() {
                held.push(name.clone());
            }
        }
        self.inputs.held.send_replace(held);
    }

    fn rank(
        &self,
        name: &LeaseName,
        region: Option<&RegionId>,
        members: &MemberView,
    ) -> Option<CandidateRank> {
        let count = self.inputs.leases.candidates;
        candidate_rank(members, &self.inputs.node, name.as_str(), region, count)
    }

    fn start_fabric(&mut self, name: LeaseName, fabric: FabricId, region: RegionId) {
        let grants = self.start_lease(name, Some(region));
        tokio::spawn(run_controller(self.context.clone(), fabric, grants));
    }

    fn start_housekeeping(&mut self, name: LeaseName) {
        let grants = self.start_lease(name, None);
        tokio::spawn(run_housekeeping(
            self.context.table.clone(),
            grants,
            self.inputs.housekeeping,
            self.context.recorder.clone(),
        ));
    }

    fn start_lease(
        &mut self,
        name: LeaseName,
        region: Option<RegionId>,
    ) -> watch::Receiver<Option<LeaseGrant>> {
        let members = Arc::clone(&self.inputs.members.borrow());
        let initial = self.rank(&name, region.as_ref(), &members);
        let (rank, ranks) = watch::channel(initial);
        let settings = self.inputs.leases;
        let tracker = LeaseTracker::new(name.clone(), self.holder.clone(), settings);
        let table = self.context.table.clone();
        let recorder = self.context.recorder.clone();
        let handle = start_lease_actor(table, tracker, settings, ranks, recorder);
        let grants = handle.grants();
        let entry = LeaseEntry {
            handle,
            region,
            rank,
        };
        self.leases.insert(name, entry);
        grants
    }
}
