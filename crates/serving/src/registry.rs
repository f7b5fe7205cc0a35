//! The known targets, and the replicas that they report to be members of.

use std::cell::OnceCell;
use std::collections::BTreeMap;

use domain::{DomainId, FabricId, FastMap, HostId, ModelName, ReplicaId, ServiceName};

use crate::target::{MemberState, ReplicaMembership, TargetEntry, TargetState};

/// A replica, assembled from what its members report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaView {
    /// Name of the replica; names are never reused.
    pub id: ReplicaId,
    /// Epoch in which the replica was formed. Members that report another epoch belong to another
    /// view.
    pub epoch: u64,
    /// Service of the member that was seen first.
    pub service: ServiceName,
    /// Fabric domain of that member, if it has one.
    pub fabric: Option<FabricId>,
    /// Model that the head has loaded; `None` while the head is unknown or loads.
    pub model: Option<ModelName>,
    /// Hosts of the known members by rank.
    pub members: BTreeMap<u32, HostId>,
    /// Whether no known member is still loading its weights.
    pub loaded: bool,
    /// State of the head; `None` while the head is unknown.
    pub head_state: Option<MemberState>,
}

impl ReplicaView {
    /// Returns the member that takes the requests, which has rank 0; `None` while it is unknown.
    #[must_use]
    pub fn head(&self) -> Option<&HostId> {
        self.members.get(&0)
    }

    /// Returns whether all members are known; `size` is that of the model.
    #[must_use]
    pub fn is_complete(&self, size: usize) -> bool {
        self.members.len() == size
    }

    /// Returns whether the head takes requests or still runs some. Its members can't join another
    /// replica then, since a host would be in two.
    #[must_use]
    pub fn is_open_or_closing(&self) -> bool {
        matches!(
            self.head_state,
            Some(MemberState::Open | MemberState::Closing)
        )
    }
}

/// The targets that are known, by host.
#[derive(Debug, Clone, Default)]
pub struct TargetRegistry {
    targets: FastMap<HostId, TargetEntry>,
    /// Computed on first use after a change, so that a series of changes, such as the start of a
    /// large deployment, causes one computation instead of one per change.
    replicas: OnceCell<BTreeMap<(ReplicaId, u64), ReplicaView>>,
}

impl TargetRegistry {
    /// Adds a target, or replaces the entry with the same host id. Returns false if the entry was
    /// already known as it is.
    pub fn put(&mut self, entry: TargetEntry) -> bool {
        if self.targets.get(&entry.id) == Some(&entry) {
            return false;
        }
        self.targets.insert(entry.id.clone(), entry);
        self.replicas.take();
        true
    }

    /// Removes a target, and with it its membership in a replica. Returns its last entry, or `None`
    /// if it was not known.
    pub fn remove(&mut self, id: &HostId) -> Option<TargetEntry> {
        let entry = self.targets.remove(id)?;
        self.replicas.take();
        Some(entry)
    }

    /// Returns the last known entry of a target; `None` if it was never added or was removed.
    #[must_use]
    pub fn get(&self, id: &HostId) -> Option<&TargetEntry> {
        self.targets.get(id)
    }

    /// Returns all targets, draining ones included, in arbitrary order.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Returns the number of targets, draining ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns all replicas, ordered by name and epoch.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaView> {
        self.cached_replicas().values()
    }

    /// Returns the replica of a membership, if a known target is in it.
    #[must_use]
    pub fn replica(&self, membership: &ReplicaMembership) -> Option<&ReplicaView> {
        self.cached_replicas()
            .get(&(membership.replica.clone(), membership.epoch))
    }

    /// Returns the failure domains of a target and of the known hosts of its replica, some more than once.
    pub fn failure_domains<'a>(
        &'a self,
        target: &'a TargetEntry,
    ) -> impl Iterator<Item = &'a DomainId> {
        let membership = target.membership.as_ref();
        let replica = membership.and_then(|membership| self.replica(membership));
        let members = replica
            .into_iter()
            .flat_map(|replica| replica.members.values());
        let hosts = members.filter_map(|id| self.get(id));
        std::iter::once(&target.domain).chain(hosts.map(|entry| &entry.domain))
    }

    fn cached_replicas(&self) -> &BTreeMap<(ReplicaId, u64), ReplicaView> {
        self.replicas.get_or_init(|| self.assemble_replicas())
    }

    fn assemble_replicas(&self) -> BTreeMap<(ReplicaId, u64), ReplicaView> {
        let mut replicas: BTreeMap<(ReplicaId, u64), ReplicaView> = BTreeMap::new();
        for entry in self.targets.values() {
            let Some(membership) = &entry.membership else {
                continue;
            };
            let key = (membership.replica.clone(), membership.epoch);
            let view = replicas.entry(key).or_insert_with(|| ReplicaView {
                id: membership.replica.clone(),
                epoch: membership.epoch,
                service: entry.service.clone(),
                fabric: entry.fabric.clone(),
                model: None,
                members: BTreeMap::new(),
                loaded: true,
                head_state: None,
            });
            view.members.insert(membership.rank, entry.id.clone());
            view.loaded &= membership.state != MemberState::Joining;
            if membership.rank == 0 {
                view.head_state = Some(membership.state);
                view.model.clone_from(&entry.loaded);
            }
        }
        replicas
    }

    /// Returns whether a known member of a replica is draining.
    #[must_use]
    pub fn has_draining_member(&self, replica: &ReplicaView) -> bool {
        replica.members.values().any(|id| {
            self.get(id)
                .is_some_and(|entry| entry.state == TargetState::Draining)
        })
    }
}
