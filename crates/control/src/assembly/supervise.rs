//! Keeps a lease and a controller for every fabric domain, and the lease of housekeeping.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use domain::{FabricId, LeaseName, NodeId, RegionId};
use futures::future::join_all;
use platform::TableStore;
use target::EnginePort;
use tokio::sync::watch;

use super::{AssemblyContext, HostChooser, run_controller};
use crate::housekeeping::{HousekeepingSettings, keep_house};
use crate::lease::{
    LeaseGrant, LeaseHandle, LeasePlace, LeaseSettings, LeaseTracker, candidate_place,
    fabric_lease, housekeeping_lease, process_holder, start_keeper,
};
use crate::members::MemberView;

/// Longest time between two looks at who should keep what.
const LOOK_PERIOD: Duration = Duration::from_secs(5);

/// What the supervisor goes by.
#[derive(Debug, Clone)]
pub struct SupervisorInputs {
    /// This node.
    pub node: NodeId,
    /// The nodes.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// Limits of the leases.
    pub leases: LeaseSettings,
    /// Limits of housekeeping.
    pub housekeeping: HousekeepingSettings,
    /// Gets the names of the leases that the node holds, at each look.
    pub held: watch::Sender<Vec<LeaseName>>,
}

struct KeptLease<T: TableStore> {
    handle: LeaseHandle<T>,
    region: Option<RegionId>,
    place: watch::Sender<Option<LeasePlace>>,
}

struct LeaseSupervisor<T: TableStore, E, C> {
    parts: AssemblyContext<T, E, C>,
    inputs: SupervisorInputs,
    holder: NodeId,
    kept: BTreeMap<LeaseName, KeptLease<T>>,
}

/// Keeps all leases until `stop` completes, and releases those that it holds then.
pub async fn supervise_leases<T: TableStore, E: EnginePort, C: HostChooser>(
    parts: AssemblyContext<T, E, C>,
    mut inputs: SupervisorInputs,
    stop: impl Future<Output = ()> + Send,
) {
    let mut directory = parts.directory.clone();
    let mut members = inputs.members.clone();
    let holder = process_holder(&inputs.node);
    inputs.members.mark_unchanged();
    let mut supervisor = LeaseSupervisor {
        parts,
        inputs,
        holder,
        kept: BTreeMap::new(),
    };
    tokio::pin!(stop);
    loop {
        supervisor.look();
        tokio::select! {
            () = &mut stop => break,
            _ = directory.changed() => {}
            _ = members.changed() => {}
            () = tokio::time::sleep(LOOK_PERIOD) => {}
        }
    }
    let releases = supervisor.kept.values().map(|kept| kept.handle.release());
    join_all(releases).await;
}

impl<T: TableStore, E: EnginePort, C: HostChooser> LeaseSupervisor<T, E, C> {
    fn look(&mut self) {
        let directory = Arc::clone(&self.parts.directory.borrow());
        // A fabric domain that is listed no longer keeps its controller: it may be dark only.
        for (fabric, region) in directory.fabrics() {
            let Ok(name) = fabric_lease(&fabric) else {
                continue;
            };
            if self.kept.contains_key(&name) {
                continue;
            }
            self.keep_fabric(name, fabric, region);
        }
        let name = housekeeping_lease();
        if !self.kept.contains_key(&name) {
            self.keep_house(name);
        }
        let members = Arc::clone(&self.inputs.members.borrow());
        for (name, kept) in &self.kept {
            let place = self.place(name, kept.region.as_ref(), &members);
            kept.place.send_if_modified(|current| {
                let changed = *current != place;
                *current = place;
                changed
            });
        }
        self.publish_held();
    }

    fn publish_held(&self) {
        let mut held = Vec::new();
        for (name, kept) in &self.kept {
            if kept.handle.grants().borrow().is_some() {
                held.push(name.clone());
            }
        }
        self.inputs.held.send_replace(held);
    }

    fn place(
        &self,
        name: &LeaseName,
        region: Option<&RegionId>,
        members: &MemberView,
    ) -> Option<LeasePlace> {
        let count = self.inputs.leases.candidates;
        candidate_place(members, &self.inputs.node, name.as_str(), region, count)
    }

    fn keep_fabric(&mut self, name: LeaseName, fabric: FabricId, region: RegionId) {
        let grants = self.keep(name, Some(region));
        tokio::spawn(run_controller(self.parts.clone(), fabric, grants));
    }

    fn keep_house(&mut self, name: LeaseName) {
        let grants = self.keep(name, None);
        tokio::spawn(keep_house(
            self.parts.table.clone(),
            grants,
            self.inputs.housekeeping,
            self.parts.recorder.clone(),
        ));
    }

    fn keep(
        &mut self,
        name: LeaseName,
        region: Option<RegionId>,
    ) -> watch::Receiver<Option<LeaseGrant>> {
        let members = Arc::clone(&self.inputs.members.borrow());
        let first = self.place(&name, region.as_ref(), &members);
        let (place, places) = watch::channel(first);
        let settings = self.inputs.leases;
        let tracker = LeaseTracker::new(name.clone(), self.holder.clone(), settings);
        let table = self.parts.table.clone();
        let recorder = self.parts.recorder.clone();
        let handle = start_keeper(table, tracker, settings, places, recorder);
        let grants = handle.grants();
        let kept = KeptLease {
            handle,
            region,
            place,
        };
        self.kept.insert(name, kept);
        grants
    }
}
