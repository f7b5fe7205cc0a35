//! Where the links of a node meet what it knows: makes digests and takes them in.

use std::sync::Arc;
use std::time::{Duration, Instant};

use control::config::load::ConfigUpdate;
use control::config::{ConfigHandle, ConfigObservation, ConfigSnapshot, HeadConfirmation};
use control::members::{HeartbeatSource, SharedMembership};
use domain::ConfigRevision;
use events::{EventRecorder, HybridStamp};
use tokio::sync::Notify;
use wire::peer::{PeerChange, PeerConfirmation, PeerDigest, PeerStamp};

use crate::evidence::EvidenceExchange;
use crate::peer_view::{PeerView, millis};
use crate::traffic::PeerTraffic;

/// Changes of one digest; the rest follows with the next.
const MAX_CHANGES: usize = 16;

/// Bytes of changes after which a digest takes no more.
const CHANGE_BYTES: usize = 64 << 10;

/// What the links of a node share. Cheap to clone.
#[derive(Debug, Clone)]
pub struct GossipState<E> {
    /// The configuration in force.
    pub config: ConfigHandle,
    /// The membership.
    pub membership: SharedMembership,
    /// Evidence of wholeness.
    pub evidence: E,
    /// Counts what goes over the links.
    pub traffic: PeerTraffic,
    /// Its clock orders the events of all nodes.
    pub recorder: EventRecorder,
    /// Wakes the links when something must go out at once.
    pub wake: Arc<Notify>,
}

impl<E: EvidenceExchange> GossipState<E> {
    /// Makes the digest for a peer of which `memory` knows what it has.
    pub async fn build_digest(&self, peer_view: &mut PeerView, echo: u64) -> PeerDigest {
        let news = self.config.status();
        let now = Instant::now();
        let confirmation = news.confirmation.map(|known| PeerConfirmation {
            revision: known.revision.0,
            age_ms: millis(now.saturating_duration_since(known.as_of)),
        });
        let stamp = self.recorder.clock().next();
        let mut digest = PeerDigest {
            echo,
            stamp: PeerStamp {
                millis: stamp.millis,
                counter: stamp.counter,
            },
            revision: news.revision.0,
            confirmation,
            ..PeerDigest::default()
        };
        if peer_view.revision < news.revision {
            self.add_changes(&mut digest, peer_view).await;
        }
        let (rows, departed) = {
            let state = self.membership.state();
            (state.rows(), state.departed())
        };
        peer_view.add_members(&mut digest, rows);
        peer_view.add_departed(&mut digest, departed);
        peer_view.add_evidence(&mut digest, self.evidence.export(), now);
        digest
    }

    async fn add_changes(&self, digest: &mut PeerDigest, peer_view: &mut PeerView) {
        let kept = self
            .config
            .changes_after(peer_view.revision, MAX_CHANGES)
            .await;
        let mut bytes = 0;
        for change in kept.unwrap_or_default() {
            let Ok(entry) = serde_json::to_vec(&change) else {
                return;
            };
            bytes += entry.len();
            if bytes > CHANGE_BYTES && !digest.changes.is_empty() {
                return;
            }
            peer_view.revision = change.revision;
            digest.changes.push(PeerChange {
                revision: change.revision.0,
                entry,
            });
        }
    }

    /// Takes in a peer's digest. `asked_at` is a moment on this node's clock before which the
    /// digest was certainly not made; ages count from there.
    pub async fn apply_digest(
        &self,
        peer_view: &mut PeerView,
        digest: PeerDigest,
        asked_at: Instant,
    ) {
        let PeerStamp { millis, counter } = digest.stamp;
        self.recorder
            .clock()
            .observe(HybridStamp { millis, counter });
        peer_view.revision = peer_view.revision.max(digest.revision());
        self.apply_members(peer_view, &digest);
        for held in peer_view.apply_evidence(&digest, asked_at) {
            self.evidence.import(held);
        }
        let confirmation = digest.confirmation.and_then(|known| {
            let as_of = asked_at.checked_sub(Duration::from_millis(known.age_ms))?;
            let revision = ConfigRevision(known.revision);
            Some(HeadConfirmation { revision, as_of })
        });
        let mut changes = Vec::new();
        for change in &digest.changes {
            let Ok(entry) = serde_json::from_slice(&change.entry) else {
                break;
            };
            changes.push(entry);
        }
        let observation = ConfigObservation {
            update: ConfigUpdate {
                snapshot: None,
                changes,
            },
            confirmation,
            known: digest.revision(),
        };
        self.config.observe(observation).await;
    }

    fn apply_members(&self, peer_view: &mut PeerView, digest: &PeerDigest) {
        let now = Instant::now();
        let news = peer_view.apply_members(digest);
        let mut changed = !news.rows.is_empty() || !digest.departed.is_empty();
        {
            let mut state = self.membership.state();
            for row in news.rows {
                changed |= state.observe(row, HeartbeatSource::Peer, now);
            }
            for beat in news.beats {
                state.observe_heartbeat(&beat.node, beat.beat, now);
            }
            for node in &digest.departed {
                state.observe_leave(node);
            }
        }
        if changed {
            self.membership.publish(now);
        }
    }

    /// Takes in a peer's whole configuration.
    pub async fn apply_snapshot(&self, snapshot: ConfigSnapshot) {
        let observation = ConfigObservation {
            known: snapshot.revision,
            update: ConfigUpdate {
                snapshot: Some(snapshot),
                changes: Vec::new(),
            },
            confirmation: None,
        };
        self.config.observe(observation).await;
    }

    /// Tells the peers that this node goes, as far as they can be reached within `limit`.
    pub async fn announce_leave(&self, limit: Duration) {
        self.membership.state().leave();
        self.wake.notify_waiters();
        tokio::time::sleep(limit).await;
    }
}
