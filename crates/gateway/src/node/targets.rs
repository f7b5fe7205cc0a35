//! Known targets, and which of them accept requests.

use std::net::SocketAddr;
use std::time::Duration;

use domain::{EraVersion, FastMap, FastSet, HostId, ModelName, ReplicaId, ServiceName};
use events::{EventCode, LogLine};
use serving::probe_schedule::unlisted_interval;
use serving::{
    MemberState, MembershipKey, ReplicaView, ServiceConfig, TargetEntry, TargetProcess, TargetState,
};

use super::GatewayNode;

impl GatewayNode {
    /// Records that the store confirmed the registry up to a version, at `confirmed_at`.
    pub fn confirm_registry(&self, version: EraVersion, confirmed_at: Duration) {
        let is_first = self.registry_version.get().is_none();
        if is_first || self.is_store_unreachable() {
            self.mark_store_reachable();
        }
        self.registry_confirmed_at.set(confirmed_at);
        let known = self.registry_version.get();
        let newest = known.map_or(version, |known| version.max_within(known));
        self.registry_version.set(Some(newest));
    }

    /// Applies a target's entry; no effect if it is already known as it is. A target with a new boot
    /// number or address starts without suspicion, load data or idle connections. One whose process has said
    /// that it drains does so whatever the entry, which may be an old copy, says.
    pub(super) fn apply_target(&self, entry: &TargetEntry) {
        let mut entry = entry.clone();
        if self.is_draining_by_word(&entry) {
            entry.state = TargetState::Draining;
        }
        let entry = &entry;
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
        let was_listed = before.as_ref().map(|before| before.boot) == Some(entry.boot);
        if !was_listed && self.registry_version.get().is_some() {
            self.record_process_start(entry);
        }
        if is_new {
            self.hosts_by_hash
                .borrow_mut()
                .insert((&id).into(), id.clone());
            self.hosts_changed_at.set(now);
            self.suspicions.borrow_mut().remove(&id);
            self.retired.borrow_mut().remove(&id);
            self.loads.borrow_mut().remove(&id);
            self.forget_path(&id);
            self.pool.close_idle(&id);
        }
        if before
            .as_ref()
            .is_some_and(|before| before.boot != entry.boot)
        {
            self.presume_cold_restart(entry);
        }
        let membership_before = before
            .as_ref()
            .and_then(|before| before.membership.as_ref());
        if membership_before != entry.membership.as_ref() {
            self.membership_changed_at
                .borrow_mut()
                .insert(id.clone(), now);
        }
        if let Some(membership) = &entry.membership {
            self.replica_history.borrow_mut().record(&id, membership);
        }
        self.log(&target_line(EventCode::TargetChanged, entry));
        self.notify_change();
    }

    /// Applies that a process has said that it drains, ahead of the registry.
    pub fn apply_stated_drain(&self, process: &TargetProcess) {
        let entry = self.registry(|registry| registry.get(&process.host).cloned());
        if let Some(entry) = entry.filter(|entry| entry.boot == process.boot) {
            self.apply_target(&entry);
        }
    }

    /// Last known head of a replica, even if it has left since.
    #[must_use]
    pub fn last_known_head(&self, replica: &MembershipKey) -> Option<HostId> {
        self.replica_history.borrow().last_head(replica).cloned()
    }

    /// Handles the removal of a target from the registry; returns whether the target is still
    /// known.
    ///
    /// A host needed by a replica's running requests is kept while it responds: it may be cut off
    /// from the registry, or leave without announcing it and keep working for seconds. If the
    /// members of such a head were reassigned at once, its streams would stall, and those without
    /// attempts left would be cut off.
    pub fn unlist_target(&self, id: &HostId) -> bool {
        if self.is_unlisted(id) {
            return true;
        }
        if !self.holds_requests(id) {
            self.remove_target(id);
            return false;
        }
        let first_probe_at = self.now() + unlisted_interval(self.host_rank(id));
        self.unlisted
            .borrow_mut()
            .insert(id.clone(), first_probe_at);
        let line = LogLine::new(EventCode::TargetUnlisted).text("host", id.as_str());
        self.log(&line);
        self.notify_change();
        true
    }

    /// Whether a known target is no longer in the registry.
    #[must_use]
    pub fn is_unlisted(&self, id: &HostId) -> bool {
        self.unlisted.borrow().contains_key(id)
    }

    /// Known targets that are no longer in the registry.
    #[must_use]
    pub fn unlisted(&self) -> Vec<HostId> {
        self.unlisted.borrow().keys().cloned().collect()
    }

    /// Whether this node should probe a target that is no longer in the registry now. Its next
    /// probe is due after an interval that depends on its rank.
    #[must_use]
    pub fn begin_unlisted_probe(&self, id: &HostId) -> bool {
        let now = self.now();
        let interval = unlisted_interval(self.host_rank(id));
        let mut unlisted = self.unlisted.borrow_mut();
        let Some(due_at) = unlisted.get_mut(id).filter(|due_at| **due_at <= now) else {
            return false;
        };
        *due_at = now + interval;
        true
    }

    /// Whether a target is not suspected and belongs to a replica that serves or finishes its
    /// requests.
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

    /// Removes a target with all state about it, and closes its idle connections.
    pub fn remove_target(&self, id: &HostId) {
        self.unlisted.borrow_mut().remove(id);
        self.missing.borrow_mut().forget(id);
        self.forget_confirmed(id);
        self.membership_changed_at.borrow_mut().remove(id);
        self.forget_idle_head(id);
        let removed = self.registry.borrow_mut().remove(id);
        let Some(entry) = removed else { return };
        self.replica_history
            .borrow_mut()
            .prune(&self.registry.borrow());
        self.hosts_changed_at.set(self.now());
        self.suspicions.borrow_mut().remove(id);
        self.retired.borrow_mut().remove(id);
        self.loads.borrow_mut().remove(id);
        self.prompt_backlogs.borrow_mut().remove(id);
        self.served_others_at.borrow_mut().remove(id);
        self.hosts_by_hash.borrow_mut().remove(&id.into());
        self.forget_path(id);
        self.pool.close_idle(id);
        self.log(&target_line(EventCode::TargetGone, &entry));
        self.notify_change();
    }

    /// Target that listens on the given address; `None` if no known one does.
    #[must_use]
    pub fn target_at(&self, address: SocketAddr) -> Option<HostId> {
        self.registry(|registry| {
            let mut targets = registry.targets();
            targets
                .find(|entry| entry.address == address)
                .map(|entry| entry.id.clone())
        })
    }

    /// Time since this node saw a host's membership change.
    #[must_use]
    pub fn membership_age(&self, id: &HostId) -> Duration {
        let since = self.membership_changed_at.borrow().get(id).copied();
        self.now().saturating_sub(since.unwrap_or_default())
    }

    /// Calls `access` with the replicas that have served or whose formation failed.
    pub fn with_never_reopen<R>(&self, access: impl FnOnce(&FastSet<MembershipKey>) -> R) -> R {
        access(self.replica_history.borrow().never_reopen())
    }

    /// Records that the formation of a replica failed.
    pub fn abandon_replica(&self, replica: &ReplicaId, epoch: u64) {
        let key = (replica.clone(), epoch);
        self.replica_history.borrow_mut().abandon(key);
    }

    /// Heads of the replicas that serve a model now.
    #[must_use]
    pub fn serving_heads(&self, service: &ServiceConfig, model: &ModelName) -> Vec<TargetEntry> {
        let Some(model_config) = service.model(model) else {
            return Vec::new();
        };
        let registry = self.registry.borrow();
        let mut heads = Vec::new();
        for replica in registry.replicas() {
            let serves = replica.service == service.name
                && replica.model.as_ref() == Some(model)
                && replica.head_state == Some(MemberState::Open)
                && replica.is_complete(model_config.size);
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

    /// Number of replicas per model of a service that serve or are about to. Those with a host in an evacuated
    /// failure domain don't count.
    #[must_use]
    pub fn live_replica_counts(&self, service: &ServiceConfig) -> FastMap<ModelName, usize> {
        let registry = self.registry.borrow();
        let mut counts = FastMap::default();
        for replica in registry.replicas() {
            let Some(model) = replica.model.as_ref().and_then(|name| service.model(name)) else {
                continue;
            };
            let is_formed = replica.service == service.name && replica.is_complete(model.size);
            let is_ending = matches!(
                replica.head_state,
                Some(MemberState::Closing | MemberState::Broken) | None
            );
            if !is_formed
                || is_ending
                || self.has_evacuated_member(replica)
                || self.has_suspected_member(replica)
                || self.has_retired_member(replica)
            {
                continue;
            }
            *counts.entry(model.name.clone()).or_default() += 1;
        }
        counts
    }

    /// Targets of a plain service that accept requests now.
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

    pub(super) fn notify_change(&self) {
        self.signal_lost_replicas();
        self.state_changed.notify_waiters();
    }
}

fn target_line(code: EventCode, entry: &TargetEntry) -> LogLine {
    let mut line = LogLine::new(code)
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
