//! Builds digests of what this node knows for its peers, and applies the digests of peers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use control::config::load::ConfigUpdate;
use control::config::{ConfigHandle, ConfigObservation, ConfigSnapshot, HeadConfirmation};
use control::members::{HeartbeatSource, SharedMembership};
use domain::ConfigRevision;
use events::{EventRecorder, HybridTimestamp};
use tokio::sync::Notify;
use wire::peer::{PeerChange, PeerConfirmation, PeerDigest, PeerTimestamp};

use crate::evidence::EvidenceExchange;
use crate::peer_view::{PeerView, millis};
use crate::traffic::PeerTraffic;

/// Maximum number of configuration changes in one digest; the rest is sent with the next one.
const MAX_CHANGES: usize = 16;

/// Maximum size of the changes in one digest, in bytes. A single larger change is still sent.
const MAX_CHANGE_BYTES: usize = 64 << 10;

/// The state of this node that all its links exchange with peers. Cheap to clone.
#[derive(Debug, Clone)]
pub struct GossipState<E> {
    /// Handle to the configuration in force.
    pub config: ConfigHandle,
    /// Membership as known to this node, shared with the tasks that read and write the table.
    pub membership: SharedMembership,
    /// Source and sink of health evidence of replicas.
    pub evidence: E,
    /// Traffic counters of all links.
    pub traffic: PeerTraffic,
    /// Event recorder; its hybrid logical clock is advanced by the stamps of received digests.
    pub recorder: EventRecorder,
    /// Wakes all links to exchange digests immediately.
    pub wake: Arc<Notify>,
}

impl<E: EvidenceExchange> GossipState<E> {
    /// Builds the digest for a peer, with everything that it lacks according to `peer_view`.
    ///
    /// `acked_sequence` is the sequence number of the last frame received from the peer.
    pub async fn build_digest(&self, peer_view: &mut PeerView, acked_sequence: u64) -> PeerDigest {
        let status = self.config.status();
        let now = Instant::now();
        let confirmation = status.confirmation.map(|known| PeerConfirmation {
            revision: known.revision.0,
            age_ms: millis(now.saturating_duration_since(known.as_of)),
        });
        let stamp = self.recorder.clock().next();
        let mut digest = PeerDigest {
            acked_sequence,
            timestamp: PeerTimestamp {
                millis: stamp.millis,
                counter: stamp.counter,
            },
            revision: status.revision.0,
            confirmation,
            ..PeerDigest::default()
        };
        if peer_view.revision < status.revision {
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
            if bytes > MAX_CHANGE_BYTES && !digest.changes.is_empty() {
                return;
            }
            peer_view.revision = change.revision;
            digest.changes.push(PeerChange {
                revision: change.revision.0,
                entry,
            });
        }
    }

    /// Applies a digest received from a peer.
    ///
    /// `not_before` is a time on this node's clock before which the digest can't have been built.
    /// Ages in the digest are subtracted from it.
    pub async fn apply_digest(
        &self,
        peer_view: &mut PeerView,
        digest: PeerDigest,
        not_before: Instant,
    ) {
        let PeerTimestamp { millis, counter } = digest.timestamp;
        self.recorder
            .clock()
            .observe(HybridTimestamp { millis, counter });
        peer_view.revision = peer_view.revision.max(digest.revision());
        self.apply_members(peer_view, &digest);
        for evidence in peer_view.apply_evidence(&digest, not_before) {
            self.evidence.import(evidence);
        }
        let confirmation = digest.confirmation.and_then(|known| {
            let as_of = not_before.checked_sub(Duration::from_millis(known.age_ms))?;
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
        let updates = peer_view.apply_members(digest);
        let mut changed = !updates.rows.is_empty() || !digest.departed.is_empty();
        {
            let mut state = self.membership.state();
            for row in updates.rows {
                changed |= state.observe(row, HeartbeatSource::Peer, now);
            }
            for update in updates.heartbeats {
                state.observe_heartbeat(&update.node, update.heartbeat, now);
            }
            for node in &digest.departed {
                state.observe_leave(node);
            }
        }
        if changed {
            self.membership.publish(now);
        }
    }

    /// Applies a complete configuration received from a peer.
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

    /// Announces to the linked peers that this node is leaving, and waits `limit` for the
    /// announcement to be sent.
    pub async fn announce_leave(&self, limit: Duration) {
        self.membership.state().leave();
        self.wake.notify_waiters();
        tokio::time::sleep(limit).await;
    }
}
