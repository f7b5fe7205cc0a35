//! Health of a fabric domain's hosts over time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use domain::{FastMap, FastSet, HostId, HostSlot, LeaseEpoch, ReplicaId};
use wire::engine::EngineState;

use super::AssemblySettings;
use crate::drains::DrainCause;

/// What is known about a host in one round.
#[derive(Debug, Clone, Default)]
pub struct HostHealth {
    /// Its report in this round; none when it did not respond or was not asked.
    pub state: Option<EngineState>,
    /// Whether it has been silent for so long that its replica continues without it.
    pub lost: bool,
    /// Why it takes no new work.
    pub drain: Option<DrainCause>,
    /// Whether it is empty but left a replica so recently that health evidence naming it may still
    /// be in use.
    pub cooling_down: bool,
    /// The replica that it ran until recently, if it now runs none.
    pub previous_replica: Option<ReplicaId>,
}

/// Timers that span several rounds. They belong to this process; a new lease holder starts them
/// again, which only delays steps.
#[derive(Debug, Default)]
pub struct FabricHealth {
    last_seen: FastMap<HostId, Instant>,
    draining_since: FastMap<ReplicaId, Instant>,
    idle_since: FastMap<ReplicaId, Instant>,
    empty_since: FastMap<HostId, Instant>,
    last_ran: FastMap<HostId, (ReplicaId, Instant)>,
}

impl FabricHealth {
    /// Records which hosts responded in this round and marks the lost ones. `trusted` has the time
    /// at which another node last saw a host healthy; silence counts from there, not from the time
    /// at which that evidence became too old.
    ///
    /// If no host responds at all, none is marked: either the whole fabric domain is down, and
    /// nothing can be formed there, or this node is cut off, and others may still dispatch to it.
    pub fn update_lost(
        &mut self,
        hosts: &mut BTreeMap<HostId, HostHealth>,
        trusted: &FastMap<HostId, Instant>,
        settings: AssemblySettings,
        now: Instant,
    ) {
        self.last_seen.retain(|host, _| hosts.contains_key(host));
        let responded = !trusted.is_empty() || hosts.values().any(|host| host.state.is_some());
        let limit = Duration::from_millis(settings.loss_ms);
        for (host, health) in hosts.iter_mut() {
            let trusted_at = trusted.get(host);
            if health.state.is_some() || trusted_at.is_some() {
                let at = trusted_at.copied().unwrap_or(now);
                self.last_seen.insert(host.clone(), at);
                continue;
            }
            let since = *self.last_seen.entry(host.clone()).or_insert(now);
            health.lost = responded && now.saturating_duration_since(since) >= limit;
        }
    }

    /// Records how long each host has been empty.
    ///
    /// Health evidence is valid for a few seconds. A host that moves from one replica to another
    /// within that time can make both look healthy to an entry node with older evidence, if a late
    /// order also restores the old replica's leader (specification `assembly`, 11 steps). A host
    /// therefore waits before it is used again. One that was never in a replica need not wait.
    pub fn update_cooldown(
        &mut self,
        hosts: &mut BTreeMap<HostId, HostHealth>,
        slots: &FastMap<HostId, HostSlot>,
        settings: AssemblySettings,
        now: Instant,
    ) {
        self.last_ran.retain(|host, _| hosts.contains_key(host));
        self.empty_since.retain(|host, _| hosts.contains_key(host));
        let cooldown = Duration::from_millis(settings.rest_ms);
        for (host, health) in hosts.iter_mut() {
            let Some(state) = &health.state else { continue };
            if let Some(assignment) = &state.assignment {
                self.last_ran
                    .insert(host.clone(), (assignment.replica.clone(), now));
                self.empty_since.remove(host);
                continue;
            }
            let since = *self.empty_since.entry(host.clone()).or_insert(now);
            let never_assigned = slots
                .get(host)
                .is_none_or(|slot| slot.epoch == LeaseEpoch::default());
            health.cooling_down =
                !never_assigned && now.saturating_duration_since(since) < cooldown;
            let ran = self.last_ran.get(host);
            let recent = ran.filter(|(_, at)| now.saturating_duration_since(*at) < cooldown);
            health.previous_replica = recent.map(|(replica, _)| replica.clone());
        }
    }

    /// Records whether a draining replica is idle, and returns whether its hosts may be taken.
    pub fn update_drain(
        &mut self,
        replica: &ReplicaId,
        idle: bool,
        settings: AssemblySettings,
        now: Instant,
    ) -> bool {
        let since = *self.draining_since.entry(replica.clone()).or_insert(now);
        let limit = Duration::from_millis(settings.drain_limit_ms);
        if now.saturating_duration_since(since) >= limit {
            return true;
        }
        if !idle {
            self.idle_since.remove(replica);
            return false;
        }
        let since_idle = *self.idle_since.entry(replica.clone()).or_insert(now);
        now.saturating_duration_since(since_idle) >= Duration::from_millis(settings.settle_ms)
    }

    /// Drops the timers of replicas that are not in `draining`.
    pub fn retain_drains(&mut self, draining: &FastSet<ReplicaId>) {
        self.draining_since.retain(|id, _| draining.contains(id));
        self.idle_since.retain(|id, _| draining.contains(id));
    }
}
