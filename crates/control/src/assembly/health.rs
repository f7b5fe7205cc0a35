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
    pub resting: bool,
    /// The replica that it ran lately, where it now runs none.
    pub left: Option<ReplicaId>,
}

/// Clocks that run over the rounds. They are this process's own; a new holder of the lease starts
/// them anew, which only delays a step.
#[derive(Debug, Default)]
pub struct FabricHealth {
    seen: FastMap<HostId, Instant>,
    draining: FastMap<ReplicaId, Instant>,
    idle: FastMap<ReplicaId, Instant>,
    empty: FastMap<HostId, Instant>,
    ran: FastMap<HostId, (ReplicaId, Instant)>,
}

impl FabricHealth {
    /// Notes who answered in this round and marks the lost ones. `trusted` has the moment at which
    /// another watcher saw a host well; the silence counts from there, not from the moment at
    /// which that evidence became too old.
    ///
    /// When nobody at all answers, nobody is marked: either the whole fabric domain is dark, and
    /// nothing can be formed there, or this node is cut off, and others may serve from it.
    pub fn note_round(
        &mut self,
        hosts: &mut BTreeMap<HostId, HostHealth>,
        trusted: &FastMap<HostId, Instant>,
        settings: AssemblySettings,
        now: Instant,
    ) {
        self.seen.retain(|host, _| hosts.contains_key(host));
        let answered = !trusted.is_empty() || hosts.values().any(|host| host.state.is_some());
        let limit = Duration::from_millis(settings.loss_ms);
        for (host, health) in hosts.iter_mut() {
            let trusted_at = trusted.get(host);
            if health.state.is_some() || trusted_at.is_some() {
                let at = trusted_at.copied().unwrap_or(now);
                self.seen.insert(host.clone(), at);
                continue;
            }
            let since = *self.seen.entry(host.clone()).or_insert(now);
            health.lost = answered && now.saturating_duration_since(since) >= limit;
        }
    }

    /// Notes since when each host has been empty.
    ///
    /// Evidence of wholeness lasts a few seconds. A host that moves from one replica to another
    /// within that time makes both look whole at once to an entry that holds older evidence, when
    /// a late order brings the old replica's leader back (specification `assembly`, 11 steps). So
    /// a host rests before it is used again. One that was never in a replica needs no rest.
    pub fn note_empty(
        &mut self,
        hosts: &mut BTreeMap<HostId, HostHealth>,
        slots: &FastMap<HostId, HostSlot>,
        settings: AssemblySettings,
        now: Instant,
    ) {
        self.ran.retain(|host, _| hosts.contains_key(host));
        self.empty.retain(|host, _| hosts.contains_key(host));
        let rest = Duration::from_millis(settings.rest_ms);
        for (host, health) in hosts.iter_mut() {
            let Some(state) = &health.state else { continue };
            if let Some(assignment) = &state.assignment {
                self.ran
                    .insert(host.clone(), (assignment.replica.clone(), now));
                self.empty.remove(host);
                continue;
            }
            let since = *self.empty.entry(host.clone()).or_insert(now);
            let unused = slots
                .get(host)
                .is_none_or(|slot| slot.epoch == LeaseEpoch::default());
            health.resting = !unused && now.saturating_duration_since(since) < rest;
            let ran = self.ran.get(host);
            let lately = ran.filter(|(_, at)| now.saturating_duration_since(*at) < rest);
            health.left = lately.map(|(replica, _)| replica.clone());
        }
    }

    /// Notes whether a draining replica is idle, and tells whether its hosts may be taken.
    pub fn note_drain(
        &mut self,
        replica: &ReplicaId,
        idle: bool,
        settings: AssemblySettings,
        now: Instant,
    ) -> bool {
        let since = *self.draining.entry(replica.clone()).or_insert(now);
        let limit = Duration::from_millis(settings.drain_limit_ms);
        if now.saturating_duration_since(since) >= limit {
            return true;
        }
        if !idle {
            self.idle.remove(replica);
            return false;
        }
        let quiet = *self.idle.entry(replica.clone()).or_insert(now);
        now.saturating_duration_since(quiet) >= Duration::from_millis(settings.settle_ms)
    }

    /// Forgets the drains of other replicas than these.
    pub fn retain_drains(&mut self, draining: &FastSet<ReplicaId>) {
        self.draining.retain(|id, _| draining.contains(id));
        self.idle.retain(|id, _| draining.contains(id));
    }
}
