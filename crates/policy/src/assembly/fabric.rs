//! The state, arranged for planning.

use std::collections::BTreeMap;

use domain::{DomainId, FabricId, FastMap, HostId, ModelName, VersionName};

use super::settings::AssemblySettings;
use super::state::{
    AssemblyHost, AssemblyReplica, AssemblyState, AssemblyStep, DrainReason, HostPresence,
    ReplicaStage, WantedReplicas,
};

/// One fabric domain during a round; hosts leave `free` as steps claim them.
#[derive(Debug, Default)]
pub(super) struct FabricView<'a> {
    pub free: Vec<&'a AssemblyHost>,
    pub total: usize,
    pub domain: Option<&'a DomainId>,
}

/// A replica with what has become of its hosts.
#[derive(Debug, Clone)]
pub(super) struct ReplicaView<'a> {
    pub replica: &'a AssemblyReplica,
    /// Hosts that won't come back in time, or leave.
    pub lost: Vec<&'a HostId>,
    /// Whether a host is absent, though perhaps not for long.
    pub broken: bool,
    pub leaving: bool,
}

impl ReplicaView<'_> {
    pub fn survivors(&self) -> usize {
        self.replica.hosts.len() - self.lost.len()
    }

    /// Whether requests may be in progress on it.
    pub fn is_busy(&self) -> bool {
        let serving = matches!(
            self.replica.stage,
            ReplicaStage::Ready | ReplicaStage::Draining
        );
        serving && !self.broken
    }

    pub fn is_leaving_service(&self) -> bool {
        matches!(
            self.replica.stage,
            ReplicaStage::Draining | ReplicaStage::Drained
        )
    }
}

/// The whole state during a round.
#[derive(Debug)]
pub(super) struct RoundView<'a> {
    pub settings: &'a AssemblySettings,
    pub wanted: &'a [WantedReplicas],
    pub hosts: FastMap<&'a HostId, &'a AssemblyHost>,
    pub fabrics: BTreeMap<&'a FabricId, FabricView<'a>>,
    pub replicas: Vec<ReplicaView<'a>>,
    /// Replicas that give their hosts back; no longer among `replicas`.
    pub retired: Vec<ReplicaView<'a>>,
}

impl<'a> RoundView<'a> {
    pub fn new(state: &'a AssemblyState, settings: &'a AssemblySettings) -> Self {
        let mut hosts = FastMap::default();
        let mut fabrics: BTreeMap<&FabricId, FabricView> = BTreeMap::new();
        for host in &state.hosts {
            hosts.insert(&host.id, host);
            let fabric = fabrics.entry(&host.fabric).or_default();
            fabric.total += 1;
            fabric.domain = Some(&host.domain);
            let free = host.replica.is_none() && host.presence == HostPresence::Present;
            if free {
                fabric.free.push(host);
            }
        }
        let mut view = Self {
            settings,
            wanted: &state.wanted,
            hosts,
            fabrics,
            replicas: Vec::new(),
            retired: Vec::new(),
        };
        // A host that a replica names is not free, whatever its slot says: the slot may be read
        // before the replica was written.
        for replica in &state.replicas {
            if let Some(fabric) = view.fabrics.get_mut(&replica.fabric) {
                fabric.free.retain(|host| !replica.hosts.contains(&host.id));
            }
        }
        view.replicas = state
            .replicas
            .iter()
            .map(|replica| view.view_replica(replica))
            .collect();
        view
    }

    fn view_replica(&self, replica: &'a AssemblyReplica) -> ReplicaView<'a> {
        let mut view = ReplicaView {
            replica,
            lost: Vec::new(),
            broken: false,
            leaving: false,
        };
        for id in &replica.hosts {
            let presence = self.hosts.get(id).map(|host| host.presence);
            match presence {
                Some(HostPresence::Present) => {}
                Some(HostPresence::Leaving) => {
                    view.leaving = true;
                    view.lost.push(id);
                }
                Some(HostPresence::Absent(since)) => {
                    view.broken = true;
                    if since >= self.settings.patience {
                        view.lost.push(id);
                    }
                }
                None => {
                    view.broken = true;
                    view.lost.push(id);
                }
            }
        }
        view
    }

    /// Whether enough replicas of a model serve without this one.
    pub fn is_spared(&self, model: &ModelName, version: &VersionName) -> bool {
        let wanted = self
            .wanted
            .iter()
            .find(|wanted| wanted.model == *model && wanted.version == *version);
        wanted.is_none_or(|wanted| self.whole(wanted) >= wanted.replicas as usize)
    }

    /// Hosts of a fabric domain in replicas whose model has none to spare.
    pub fn needing(&self, fabric: &FabricId) -> usize {
        let mut hosts = 0;
        for view in &self.replicas {
            let replica = view.replica;
            let wanted = self.wanted_for(replica);
            let spared = wanted.is_none_or(|wanted| self.whole(wanted) > wanted.replicas as usize);
            if replica.fabric == *fabric && !spared {
                hosts += replica.hosts.len();
            }
        }
        hosts
    }

    fn whole(&self, wanted: &WantedReplicas) -> usize {
        let whole = self.replicas.iter().filter(|view| {
            let of = view.replica.model == wanted.model && view.replica.version == wanted.version;
            of && self.stays(view) && !view.broken && !view.is_leaving_service()
        });
        whole.count()
    }

    /// Whole replicas of a fabric domain that their models can spare, but for `besides`.
    pub fn extras(&self, fabric: &FabricId, besides: Option<&ModelName>) -> Vec<ReplicaView<'a>> {
        let mut extras = Vec::new();
        for wanted in self.wanted {
            if besides == Some(&wanted.model) {
                continue;
            }
            let spared = self.whole(wanted).saturating_sub(wanted.replicas as usize);
            let of = self.replicas.iter().filter(|view| {
                let replica = view.replica;
                let of = replica.model == wanted.model && replica.version == wanted.version;
                of && replica.fabric == *fabric && !view.broken && self.stays(view)
            });
            extras.extend(of.take(spared).cloned());
        }
        extras
    }

    fn stays(&self, view: &ReplicaView<'_>) -> bool {
        let id = &view.replica.id;
        self.retired.iter().all(|other| other.replica.id != *id)
    }

    /// Drains a replica for its hosts; from now on it counts as one that gives them back.
    pub fn drain_extra(&mut self, extra: ReplicaView<'a>) -> AssemblyStep {
        let replica = extra.replica.id.clone();
        self.retired.push(extra);
        AssemblyStep::Drain {
            replica,
            reason: DrainReason::HostsNeeded,
        }
    }

    /// Hosts of a fabric domain that replicas are about to give back. Without counting them each
    /// round until the end of a drain would drain another replica for the same need.
    pub fn retired_hosts(&self, fabric: &FabricId) -> usize {
        let there = self
            .retired
            .iter()
            .filter(|view| view.replica.fabric == *fabric);
        there.map(ReplicaView::survivors).sum()
    }

    fn wanted_for(&self, replica: &AssemblyReplica) -> Option<&'a WantedReplicas> {
        self.wanted
            .iter()
            .find(|wanted| wanted.model == replica.model && wanted.version == replica.version)
    }

    /// Takes the best free host of a fabric for a rank: one that holds that rank's weights, else
    /// one that holds nothing another replica could use, else any.
    pub fn take_host(
        &mut self,
        fabric: &FabricId,
        model: &ModelName,
        version: &VersionName,
        rank: usize,
    ) -> Option<&'a AssemblyHost> {
        let view = self.fabrics.get_mut(fabric)?;
        let fit = |host: &&AssemblyHost| match &host.loaded {
            Some(weights) if weights.model != *model || weights.version != *version => 1,
            Some(weights) if weights.rank == rank => 3,
            Some(_) => 0,
            None => 2,
        };
        let best = view
            .free
            .iter()
            .enumerate()
            .max_by_key(|(index, host)| (fit(host), usize::MAX - index))?
            .0;
        Some(view.free.remove(best))
    }
}
