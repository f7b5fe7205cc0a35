//! The newest evidence of wholeness that a node has, its own and that of peers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use domain::{FastMap, FastSet, HealthEvidence, ReplicaId};
use tokio::sync::watch;
use wire::engine::EngineLoad;

/// Longest time for which a load report is passed on. A node that stopped probing a replica would
/// otherwise take its last, perhaps long, queue for the present one and refuse callers for it.
const MAX_LOAD_AGE: Duration = Duration::from_secs(3);

/// Evidence with the moment at which this node got it, and the load that came with it.
#[derive(Debug, Clone)]
pub struct EvidenceEntry {
    /// The evidence; its age counts up to `received`.
    pub evidence: HealthEvidence,
    /// When this node got it.
    pub received: Instant,
    /// Load of the leading host, where this node itself asked for it lately.
    pub load: Option<(EngineLoad, Instant)>,
    /// The newest observation that a peer passed on, whether or not this node's own is newer.
    pub last_from_peer: Option<Instant>,
}

impl EvidenceEntry {
    /// Age of the evidence at a moment.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        self.evidence.age + now.saturating_duration_since(self.received)
    }
}

/// Evidence of all replicas. Cheap to clone; clones share it.
#[derive(Debug, Clone, Default)]
pub struct EvidenceStore {
    inner: Arc<StoreInner>,
}

#[derive(Debug, Default)]
struct StoreInner {
    rows: Mutex<StoreRows>,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct StoreRows {
    entries: FastMap<ReplicaId, EvidenceEntry>,
    changed: FastSet<ReplicaId>,
}

impl EvidenceStore {
    fn rows(&self) -> MutexGuard<'_, StoreRows> {
        self.inner
            .rows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in evidence from a peer, unless what is known is as new.
    pub fn record(&self, evidence: HealthEvidence) {
        self.merge(evidence, None, false);
    }

    /// Takes in what this node saw itself, unless what is known is as new.
    pub fn record_own(&self, evidence: HealthEvidence, load: Option<EngineLoad>) {
        self.merge(evidence, load, true);
    }

    /// A higher incarnation beats a lower one, whatever their ages: the lower one comes from a
    /// watcher that has not read the newer plan. Within one incarnation the newer observation
    /// wins, compared by ages alone.
    fn merge(&self, evidence: HealthEvidence, load: Option<EngineLoad>, own: bool) {
        let now = Instant::now();
        let as_of = now.checked_sub(evidence.age).filter(|_| !own);
        let mut rows = self.rows();
        let mut last_from_peer = as_of;
        if let Some(known) = rows.entries.get_mut(&evidence.replica) {
            let stale = evidence.incarnation < known.evidence.incarnation;
            let same = evidence.incarnation == known.evidence.incarnation;
            if !stale {
                known.last_from_peer = known.last_from_peer.max(as_of);
                last_from_peer = known.last_from_peer;
            }
            if stale || (same && evidence.age >= known.age(now)) {
                return;
            }
        }
        let replica = evidence.replica.clone();
        let known_load = rows
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
        rows.entries.insert(replica.clone(), entry);
        rows.changed.insert(replica);
        drop(rows);
        self.inner.changes.send_modify(|count| *count += 1);
    }

    /// The newest evidence for a replica.
    #[must_use]
    pub fn newest_for(&self, replica: &ReplicaId) -> Option<EvidenceEntry> {
        self.rows().entries.get(replica).cloned()
    }

    /// Up to `max` pieces of evidence, the youngest first, with their ages now.
    #[must_use]
    pub fn export(&self, max: usize) -> Vec<HealthEvidence> {
        let now = Instant::now();
        let mut evidence: Vec<HealthEvidence> = self
            .rows()
            .entries
            .values()
            .map(|entry| HealthEvidence {
                age: entry.age(now),
                ..entry.evidence.clone()
            })
            .collect();
        evidence.sort_unstable_by_key(|piece| piece.age);
        evidence.truncate(max);
        evidence
    }

    /// Counts up with every piece of evidence that is taken in.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.changes.subscribe()
    }

    /// The replicas with newer evidence since the last call. It has one reader, the publisher of
    /// the target view.
    #[must_use]
    pub fn take_changed(&self) -> FastSet<ReplicaId> {
        std::mem::take(&mut self.rows().changed)
    }

    /// Forgets replicas that exist no longer.
    pub fn retain(&self, keep: &FastSet<ReplicaId>) {
        self.rows().entries.retain(|id, _| keep.contains(id));
    }
}
