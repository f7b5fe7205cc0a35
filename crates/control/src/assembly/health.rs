//! What a controller knows of its hosts, and for how long it has known it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use domain::{FastMap, FastSet, HostId, HostSlot, LeaseEpoch, ReplicaId};
use wire::engine::EngineState;

use super::AssemblySettings;
use crate::drains::DrainCause;

/// What is known of a host in one round.
#[derive(Debug, Clone, Default)]
pub struct HostHealth {
    /// What it reported in this round; none when it was silent or not asked.
    pub state: Option<EngineState>,
    /// Whether it has been silent for so long that its replica goes on without it.
    pub lost: bool,
    /// Why it takes no new work.
    pub drain: Option<DrainCause>,
    /// Whether it is empty, and was in a replica so lately that entries may still hold evidence
    /// which names it there.
    pub cooling_down: bool,
    /// The replica that it ran lately, where it now runs none.
    pub previous_replica: Option<ReplicaId>,
}

/// Clocks that run over the rounds. They are this process's own; a new holder of the lease starts
/// them anew, which only delays a step.
#[derive(Debug, Default)]
pub struct FabricHealth {
    last_seen: FastMap<HostId, Instant>,
    draining_since: FastMap<ReplicaId, Instant>,
    idle_since: FastMap<ReplicaId, Instant>,
    empty_since: FastMap<HostId, Instant>,
    last_ran: FastMap<HostId, (ReplicaId, Instant)>,
}

impl FabricHealth {
    /// Notes who answered in this round and marks the lost ones. `trusted` has the moment at which
    /// another watcher saw a host well; the silence counts from there, not from the moment at
    /// which that evidence became too old.
    ///
    /// When nobody at all answers, nobody is marked: either the whole fabric domain is dark, and
    /// nothing can be formed there, or this node is cut off, and others may serve from it.
    pub fn update_lost(
        &mut self,
        hosts: &mut BTreeMap<HostId, HostHealth>,
        trusted: &FastMap<HostId, Instant>,
        settings: AssemblySettings,
        now: Instant,
    ) {
        self.last_seen.retain(|host, _| hosts.contains_key(host));
        let answered = !trusted.is_empty() || hosts.values().any(|host| host.state.is_some());
        let limit = Duration::from_millis(settings.loss_ms);
        for (host, health) in hosts.iter_mut() {
            let trusted_at = trusted.get(host);
            if health.state.is_some() || trusted_at.is_some() {
                let at = trusted_at.copied().unwrap_or(now);
                self.last_seen.insert(host.clone(), at);
                continue;
            }
            let since = *self.last_seen.entry(host.clone()).or_insert(now);
            health.lost = answered && now.saturating_duration_since(since) >= limit;
        }
    }

    /// Notes since when each host has been empty.
    ///
    /// Evidence of wholeness lasts a few seconds. A host that moves from one replica to another
    /// within that time makes both look whole at once to an entry that holds older evidence, when
    /// a late order brings the old replica's leader back (specification `assembly`, 11 steps). So
    /// a host rests before it is used again. One that was never in a replica needs no rest.
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

    /// Notes whether a draining replica is idle, and tells whether its hosts may be taken.
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

    /// Forgets the drains of other replicas than these.
    pub fn retain_drains(&mut self, draining: &FastSet<ReplicaId>) {
        self.draining_since.retain(|id, _| draining.contains(id));
        self.idle_since.retain(|id, _| draining.contains(id));
    }
}
