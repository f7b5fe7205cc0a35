//! The targets that are known, and the replicas that they say they form.

use std::cell::OnceCell;
use std::collections::BTreeMap;

use domain::{FabricId, FastMap, HostId, ModelName, ReplicaId, ServiceName};

use crate::target::{MemberState, ReplicaMembership, TargetEntry, TargetState};

/// A replica as its members describe it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaView {
    /// Name, never given twice.
    pub id: ReplicaId,
    /// Epoch of its formation.
    pub epoch: u64,
    /// Service.
    pub service: ServiceName,
    /// Fabric domain.
    pub fabric: Option<FabricId>,
    /// Model, as its head says.
    pub model: Option<ModelName>,
    /// Known members by rank.
    pub members: BTreeMap<u32, HostId>,
    /// Whether each known member reports its weights as loaded.
    pub loaded: bool,
    /// Progress of the head, if it is known.
    pub head_state: Option<MemberState>,
}

impl ReplicaView {
    /// The host that takes requests.
    #[must_use]
    pub fn head(&self) -> Option<&HostId> {
        self.members.get(&0)
    }

    /// Whether all hosts of a replica of `size` are known.
    #[must_use]
    pub fn is_complete(&self, size: usize) -> bool {
        self.members.len() == size
    }

    /// Whether the head takes requests or still runs some. Its members can't be given to another
    /// replica then: a host would belong to two.
    #[must_use]
    pub fn is_open_or_closing(&self) -> bool {
        matches!(
            self.head_state,
            Some(MemberState::Open | MemberState::Closing)
        )
    }
}

/// All targets.
#[derive(Debug, Clone, Default)]
pub struct TargetRegistry {
    targets: FastMap<HostId, TargetEntry>,
    /// Made at the first look after a change: a series of changes, as at the start of a large
    /// deployment, then costs one arrangement instead of one for each.
    replicas: OnceCell<BTreeMap<(ReplicaId, u64), ReplicaView>>,
}

impl TargetRegistry {
    /// Adds or replaces a target; whether anything changed.
    pub fn put(&mut self, entry: TargetEntry) -> bool {
        if self.targets.get(&entry.id) == Some(&entry) {
            return false;
        }
        self.targets.insert(entry.id.clone(), entry);
        self.replicas.take();
        true
    }

    /// Removes a target.
    pub fn remove(&mut self, id: &HostId) -> Option<TargetEntry> {
        let entry = self.targets.remove(id)?;
        self.replicas.take();
        Some(entry)
    }

    /// A target.
    #[must_use]
    pub fn get(&self, id: &HostId) -> Option<&TargetEntry> {
        self.targets.get(id)
    }

    /// All targets, in no order.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// How many targets are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// All replicas, by name.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaView> {
        self.arranged().values()
    }

    /// A replica.
    #[must_use]
    pub fn replica(&self, membership: &ReplicaMembership) -> Option<&ReplicaView> {
        self.arranged()
            .get(&(membership.replica.clone(), membership.epoch))
    }

    fn arranged(&self) -> &BTreeMap<(ReplicaId, u64), ReplicaView> {
        self.replicas.get_or_init(|| self.arrange())
    }

    fn arrange(&self) -> BTreeMap<(ReplicaId, u64), ReplicaView> {
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

    /// Whether a member of a replica is leaving.
    #[must_use]
    pub fn has_draining_member(&self, replica: &ReplicaView) -> bool {
        replica.members.values().any(|id| {
            self.get(id)
                .is_some_and(|entry| entry.state == TargetState::Draining)
        })
    }
}
