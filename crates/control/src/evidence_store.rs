//! The newest health evidence of each replica, from this node's probes and from peers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use domain::{FastMap, FastSet, HealthEvidence, ReplicaId};
use tokio::sync::watch;
use wire::engine::EngineLoad;

/// Maximum age of a load report. Without it, a node that stopped probing a replica would use its
/// last and perhaps long queue as the current one and refuse requests because of it.
const MAX_LOAD_AGE: Duration = Duration::from_secs(3);

/// Health evidence with the time at which this node received it, and the load that came with it.
#[derive(Debug, Clone)]
pub struct EvidenceEntry {
    /// The evidence; its age counts up to `received`.
    pub evidence: HealthEvidence,
    /// When this node received it.
    pub received: Instant,
    /// Load of the leading host and its time; only from this node's own recent probes.
    pub load: Option<(EngineLoad, Instant)>,
    /// When the newest observation received from a peer was made, even if this node's own is newer.
    pub last_from_peer: Option<Instant>,
}

impl EvidenceEntry {
    /// Age of the evidence at `now`.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        self.evidence.age + now.saturating_duration_since(self.received)
    }
}

/// Health evidence of all replicas. Cheap to clone; clones share it.
#[derive(Debug, Clone, Default)]
pub struct EvidenceStore {
    inner: Arc<StoreInner>,
}

#[derive(Debug, Default)]
struct StoreInner {
    state: Mutex<StoreState>,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct StoreState {
    entries: FastMap<ReplicaId, EvidenceEntry>,
    changed: FastSet<ReplicaId>,
}

impl EvidenceStore {
    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores evidence from a peer if it is newer than the known one.
    pub fn record(&self, evidence: HealthEvidence) {
        self.merge(evidence, None, false);
    }

    /// Stores this node's own observation if it is newer than the known one.
    pub fn record_own(&self, evidence: HealthEvidence, load: Option<EngineLoad>) {
        self.merge(evidence, load, true);
    }

    /// Keeps the evidence if it is newer.
    ///
    /// A higher incarnation wins over a lower one regardless of age: the lower one comes from a
    /// prober that has not read the newer plan. Within one incarnation the newer observation wins,
    /// compared by age only.
    fn merge(&self, evidence: HealthEvidence, load: Option<EngineLoad>, own: bool) {
        let now = Instant::now();
        let as_of = now.checked_sub(evidence.age).filter(|_| !own);
        let mut state = self.state();
        let mut last_from_peer = as_of;
        if let Some(known) = state.entries.get_mut(&evidence.replica) {
            let outdated = evidence.incarnation < known.evidence.incarnation;
            let same = evidence.incarnation == known.evidence.incarnation;
            if !outdated {
                known.last_from_peer = known.last_from_peer.max(as_of);
                last_from_peer = known.last_from_peer;
            }
            if outdated || (same && evidence.age >= known.age(now)) {
                return;
            }
        }
        let replica = evidence.replica.clone();
        let known_load = state
            .entries
            .get(&replica)
            .and_then(|entry| entry.load)
            .filter(|(_, at)| now.saturating_duration_since(*at) <= MAX_LOAD_AGE);
        let entry = EvidenceEntry {
            evidence,
            received: now,
            load: load.map(|load| (load, now)).or(known_load),
            last_from_peer,
        };
        state.entries.insert(replica.clone(), entry);
        state.changed.insert(replica);
        drop(state);
        self.inner.changes.send_modify(|count| *count += 1);
    }

    /// The newest evidence for a replica; none before the first.
    #[must_use]
    pub fn newest_for(&self, replica: &ReplicaId) -> Option<EvidenceEntry> {
        self.state().entries.get(replica).cloned()
    }

    /// Up to `max` pieces of evidence, newest first, with their current ages.
    #[must_use]
    pub fn export(&self, max: usize) -> Vec<HealthEvidence> {
        let now = Instant::now();
        let mut evidence: Vec<HealthEvidence> = self
            .state()
            .entries
            .values()
            .map(|entry| HealthEvidence {
                age: entry.age(now),
                ..entry.evidence.clone()
            })
            .collect();
        evidence.sort_unstable_by_key(|observation| observation.age);
        evidence.truncate(max);
        evidence
    }

    /// A counter that increases with every piece of evidence stored.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.changes.subscribe()
    }

    /// Takes the set of replicas with newer evidence since the last call. Only one caller may use
    /// it, the publisher of the target view.
    #[must_use]
    pub fn take_changed(&self) -> FastSet<ReplicaId> {
        std::mem::take(&mut self.state().changed)
    }

    /// Removes the replicas that are not in `keep`.
    pub fn retain(&self, keep: &FastSet<ReplicaId>) {
        self.state().entries.retain(|id, _| keep.contains(id));
    }
}
