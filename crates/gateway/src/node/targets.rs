//! The targets that a node knows, and which of them take work.

use std::net::SocketAddr;
use std::time::Duration;

use domain::{FastMap, FastSet, HostId, ModelName, ReplicaId, RowVersion, ServiceName};
use events::{EventCode, EventLine};
use serving::{
    MemberState, ReplicaMembership, ReplicaView, ServiceConfig, TargetEntry, TargetState,
};

use super::GatewayNode;

impl GatewayNode {
    /// Notes that the registry is known as of a version.
    pub fn confirm_registry(&self, version: RowVersion) {
        let is_first = self.registry_version.get().is_none();
        if is_first || self.is_store_lost() {
            self.regain_store();
        }
        self.registry_heard.set(self.now());
        if self
            .registry_version
            .get()
            .is_none_or(|known| known < version)
        {
            self.registry_version.set(Some(version));
        }
    }

    /// Takes a target's entry.
    pub fn put_target(&self, entry: &TargetEntry) {
        let id = entry.id.clone();
        let mut registry = self.registry.borrow_mut();
        let before = registry.get(&id).cloned();
        if !registry.put(entry.clone()) {
            return;
        }
        drop(registry);
        let now = self.now();
        let is_new = before
            .as_ref()
            .is_none_or(|before| before.boot != entry.boot || before.address != entry.address);
        if is_new {
            self.hosts_by_hash
                .borrow_mut()
                .insert((&id).into(), id.clone());
            self.hosts_changed.set(now);
            self.suspicions.borrow_mut().remove(&id);
            self.retired.borrow_mut().remove(&id);
            self.loads.borrow_mut().remove(&id);
            self.pool.close_idle(&id);
        }
        let membership_before = before
            .as_ref()
            .and_then(|before| before.membership.as_ref());
        if membership_before != entry.membership.as_ref() {
            self.memberships.borrow_mut().insert(id.clone(), now);
        }
        if let Some(membership) = &entry.membership {
            self.note_membership(&id, membership);
        }
        self.log(&target_line(EventCode::TargetChanged, entry));
        self.after_change();
    }

    /// Takes a target's entry as the registry has it.
    pub fn list_target(&self, entry: &TargetEntry) {
        self.unlisted.borrow_mut().remove(&entry.id);
        self.put_target(entry);
    }

    fn note_membership(&self, id: &HostId, membership: &ReplicaMembership) {
        let key = (membership.replica.clone(), membership.epoch);
        if membership.rank == 0 {
            self.heads.borrow_mut().insert(key.clone(), id.clone());
        }
        if matches!(membership.state, MemberState::Open | MemberState::Closing) {
            self.spent.borrow_mut().insert(key);
        }
    }

    /// The head of a replica, also of one that it has left since.
    #[must_use]
    pub fn head_of(&self, replica: &(ReplicaId, u64)) -> Option<HostId> {
        self.heads.borrow().get(replica).cloned()
    }

    /// Takes note that the registry names a target no more; whether it is still known.
    ///
    /// A host that a replica's running requests need is kept as long as it answers: it may be cut
    /// off from the registry, or leave without a word, and works on for seconds. Were the members of
    /// such a head given to another replica at once, its streams would stand still, and those that
    /// had used up their attempts would never get their rest.
    pub fn unlist_target(&self, id: &HostId) -> bool {
        if self.is_unlisted(id) {
            return true;
        }
        if !self.holds_requests(id) {
            self.remove_target(id);
            return false;
        }
        self.unlisted.borrow_mut().insert(id.clone());
        let line = EventLine::new(EventCode::TargetUnlisted).text("host", id.as_str());
        self.log(&line);
        self.after_change();
        true
    }

    /// Whether the registry does not name a target that is still known.
    #[must_use]
    pub fn is_unlisted(&self, id: &HostId) -> bool {
        self.unlisted.borrow().contains(id)
    }

    /// Targets that the registry does not name and that are still known.
    #[must_use]
    pub fn unlisted(&self) -> Vec<HostId> {
        self.unlisted.borrow().iter().cloned().collect()
    }

    /// Whether a target answers and stands in a replica that serves, or ends what it took.
    #[must_use]
    pub fn holds_requests(&self, id: &HostId) -> bool {
        if self.is_suspected(id) {
            return false;
        }
        self.registry(|registry| {
            let membership = registry.get(id).and_then(|entry| entry.membership.as_ref());
            let replica = membership.and_then(|membership| registry.replica(membership));
            replica.is_some_and(ReplicaView::is_open_or_closing)
        })
    }

    /// Takes note that a target is gone.
    pub fn remove_target(&self, id: &HostId) {
        self.unlisted.borrow_mut().remove(id);
        let removed = self.registry.borrow_mut().remove(id);
        let Some(entry) = removed else { return };
        self.hosts_changed.set(self.now());
        self.suspicions.borrow_mut().remove(id);
        self.retired.borrow_mut().remove(id);
        self.loads.borrow_mut().remove(id);
        self.unread.borrow_mut().remove(id);
        self.served_others.borrow_mut().remove(id);
        self.hosts_by_hash.borrow_mut().remove(&id.into());
        self.pool.close_idle(id);
        self.log(&target_line(EventCode::TargetGone, &entry));
        self.after_change();
    }

    /// The target that listens at an address.
    #[must_use]
    pub fn target_at(&self, address: SocketAddr) -> Option<HostId> {
        self.registry(|registry| {
            let mut targets = registry.targets();
            targets
                .find(|entry| entry.address == address)
                .map(|entry| entry.id.clone())
        })
    }

    /// Takes the effect of an order that an engine accepted, ahead of the registry. Without it the
    /// next plan would start from the state before the order, and take the same hosts again.
    pub fn apply_expected(&self, id: &HostId, change: impl FnOnce(&mut TargetEntry)) {
        let known = self.registry(|registry| registry.get(id).cloned());
        let Some(mut entry) = known else { return };
        change(&mut entry);
        self.put_target(&entry);
    }

    /// Time since a host's membership changed, as this node saw it.
    #[must_use]
    pub fn membership_age(&self, id: &HostId) -> Duration {
        let since = self.memberships.borrow().get(id).copied();
        self.now().saturating_sub(since.unwrap_or_default())
    }

    /// Uses the replicas that were seen serving, or whose formation failed.
    pub fn with_spent<R>(&self, use_them: impl FnOnce(&FastSet<(ReplicaId, u64)>) -> R) -> R {
        use_them(&self.spent.borrow())
    }

    /// Notes that the formation of a replica failed.
    pub fn give_up_replica(&self, replica: &ReplicaId, epoch: u64) {
        self.spent.borrow_mut().insert((replica.clone(), epoch));
    }

    /// Heads of replicas that serve a model now.
    #[must_use]
    pub fn serving_heads(&self, service: &ServiceConfig, model: &ModelName) -> Vec<TargetEntry> {
        let Some(shape) = service.model(model) else {
            return Vec::new();
        };
        let registry = self.registry.borrow();
        let mut heads = Vec::new();
        for replica in registry.replicas() {
            let serves = replica.service == service.name
                && replica.model.as_ref() == Some(model)
                && replica.head_state == Some(MemberState::Open)
                && replica.is_complete(shape.size);
            if !serves || self.has_suspected_member(replica) || self.has_retired_member(replica) {
                continue;
            }
            let head = replica.head().and_then(|head| registry.get(head));
            let Some(head) = head else { continue };
            if head.state == TargetState::Ready && !self.is_unlisted(&head.id) {
                heads.push(head.clone());
            }
        }
        heads
    }

    /// Replicas of each model of a service that serve, or are about to.
    #[must_use]
    pub fn standing_replicas(&self, service: &ServiceConfig) -> FastMap<ModelName, usize> {
        let registry = self.registry.borrow();
        let mut standing = FastMap::default();
        for replica in registry.replicas() {
            let Some(model) = replica.model.as_ref().and_then(|name| service.model(name)) else {
                continue;
            };
            let stands = replica.service == service.name && replica.is_complete(model.size);
            let ends = matches!(
                replica.head_state,
                Some(MemberState::Closing | MemberState::Broken) | None
            );
            if !stands
                || ends
                || self.has_suspected_member(replica)
                || self.has_retired_member(replica)
            {
                continue;
            }
            *standing.entry(model.name.clone()).or_default() += 1;
        }
        standing
    }

    /// Targets of a plain service that take work now.
    #[must_use]
    pub fn plain_targets(&self, service: &ServiceName) -> Vec<TargetEntry> {
        let registry = self.registry.borrow();
        let suspects = self.suspicions.borrow();
        let mut targets: Vec<TargetEntry> = registry
            .targets()
            .filter(|entry| entry.service == *service && entry.state == TargetState::Ready)
            .filter(|entry| !suspects.contains_key(&entry.id))
            .cloned()
            .collect();
        targets.sort_by(|left, right| left.id.cmp(&right.id));
        targets
    }

    pub(super) fn after_change(&self) {
        self.signal_lost_replicas();
        self.changed.notify_waiters();
    }
}

fn target_line(code: EventCode, entry: &TargetEntry) -> EventLine {
    let mut line = EventLine::new(code)
        .text("host", entry.id.as_str())
        .text("service", entry.service.as_str())
        .text("state", state_name(entry.state));
    if let Some(fabric) = &entry.fabric {
        line = line.text("fabric", fabric.as_str());
    }
    if let Some(model) = &entry.loaded {
        line = line.text("model", model.as_str());
    }
    if let Some(membership) = &entry.membership {
        line = line
            .text("replica", membership.replica.as_str())
            .number("epoch", membership.epoch)
            .number("rank", u64::from(membership.rank))
            .text("member", member_name(membership.state));
    }
    line
}

fn state_name(state: TargetState) -> &'static str {
    match state {
        TargetState::Ready => "ready",
        TargetState::Draining => "draining",
    }
}

fn member_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Joining => "joining",
        MemberState::Ready => "ready",
        MemberState::Open => "open",
        MemberState::Closing => "closing",
        MemberState::Broken => "broken",
    }
}
