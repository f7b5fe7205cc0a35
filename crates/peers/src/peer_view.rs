//! What the peer at the other end of a connection already has.
//!
//! A connection either delivers in order or fails, and this state ends with it. Everything that was
//! sent therefore counts as known to the peer. Without this state, 410 nodes would send each other
//! the whole membership once a second.

use std::time::{Duration, Instant};

use control::Member;
use control::members::MemberRow;
use domain::{ConfigRevision, FastMap, FastSet, HealthEvidence, NodeId, ReplicaId};
use wire::peer::{
    ObservationAge, PeerDigest, PeerEvidence, PeerHeartbeat, PeerMember, PeerObservation,
};

use crate::evidence::TimedEvidence;

/// Maximum number of member rows in one digest; the rest is sent with the next one.
const MAX_ROWS: usize = 200;

/// Age beyond which evidence is not forwarded, because it no longer allows dispatch.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(10);

/// A health check with the same result is forwarded only if it is newer by at least this much.
///
/// Health checks run about once a second on two nodes per replica. With a minimum of 1 s, every
/// check that ran slightly early was skipped; forwarding all checks of both nodes would exceed the
/// 3 KB/s that a node may use.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(600);

/// Number of rows or pieces of evidence after which the connection is replaced.
///
/// The view only grows during a connection. With 410 nodes, a hundred restarts a day and new
/// evidence for every host that fails or returns, a connection that lasts for months would
/// accumulate entries of nodes and replicas that no longer exist.
const MAX_ENTRIES: usize = 4_096;

/// What the peer of one connection already has.
#[derive(Debug, Default)]
pub struct PeerView {
    /// Highest configuration revision that the peer has or was sent.
    pub revision: ConfigRevision,
    sent_rows: Vec<NodeId>,
    received_rows: Vec<NodeId>,
    /// Index of each member's row, in the encoding that [`PeerHeartbeat`] describes.
    row_indices: FastMap<NodeId, u32>,
    heartbeats: FastMap<NodeId, u64>,
    departed: FastSet<NodeId>,
    sent_evidence: FastMap<ReplicaId, SentEvidence>,
    evidence_count: u32,
    received_evidence: Vec<HealthEvidence>,
    peer_evidence: FastMap<ReplicaId, TimedEvidence>,
}

#[derive(Debug)]
struct SentEvidence {
    index: u32,
    evidence: HealthEvidence,
    as_of: Instant,
}

impl PeerView {
    /// Whether the view has grown so large that the connection should be replaced.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let rows = self.sent_rows.len().max(self.received_rows.len());
        let evidence = self.received_evidence.len();
        rows.max(evidence).max(self.evidence_count as usize) >= MAX_ENTRIES
    }

    /// Adds the member rows and heartbeats that the peer lacks to a digest.
    pub fn add_members(&mut self, digest: &mut PeerDigest, rows: Vec<MemberRow>) {
        for row in rows {
            let node = row.member.node.clone();
            let Some(index) = self.row_indices.get(&node) else {
                if digest.rows.len() == MAX_ROWS {
                    continue;
                }
                let index = u32::try_from(self.sent_rows.len()).unwrap_or(u32::MAX);
                self.row_indices.insert(node.clone(), index * 2);
                self.sent_rows.push(node.clone());
                self.heartbeats.insert(node, row.beat);
                digest.rows.push(row_to_wire(row));
                continue;
            };
            let known = self.heartbeats.get(&node).copied().unwrap_or_default();
            if row.beat <= known {
                continue;
            }
            digest.heartbeats.push(PeerHeartbeat {
                index: *index,
                beat: row.beat,
            });
            self.heartbeats.insert(node, row.beat);
        }
    }

    /// Adds the departed members that the peer doesn't know of to a digest.
    pub fn add_departed(&mut self, digest: &mut PeerDigest, departed: Vec<NodeId>) {
        for node in departed {
            if self.departed.insert(node.clone()) {
                digest.departed.push(node);
            }
        }
    }

    /// Adds the evidence that the peer lacks to a digest.
    pub fn add_evidence(
        &mut self,
        digest: &mut PeerDigest,
        known: Vec<TimedEvidence>,
        now: Instant,
    ) {
        for TimedEvidence { evidence, as_of } in known {
            let age = now.saturating_duration_since(as_of);
            if age > MAX_EVIDENCE_AGE {
                continue;
            }
            let age = ObservationAge::from(age);
            if self.peer_has(&evidence, as_of) {
                continue;
            }
            if let Some(sent) = self.sent_evidence.get_mut(&evidence.replica)
                && same_result(&sent.evidence, &evidence)
            {
                if as_of < sent.as_of + MIN_REFRESH_INTERVAL {
                    continue;
                }
                sent.as_of = as_of;
                let index = sent.index;
                digest.observations.push(PeerObservation { index, age });
                continue;
            }
            digest.evidence.push(PeerEvidence {
                replica: evidence.replica.clone(),
                incarnation: evidence.incarnation,
                hosts: evidence.hosts.clone(),
                leaving: evidence.leaving,
                age,
            });
            let sent = SentEvidence {
                index: self.evidence_count,
                evidence: evidence.clone(),
                as_of,
            };
            self.evidence_count += 1;
            self.sent_evidence.insert(evidence.replica, sent);
        }
    }

    /// Whether the peer itself sent the same result from about the same time, so that it must not be
    /// sent back.
    fn peer_has(&self, evidence: &HealthEvidence, as_of: Instant) -> bool {
        self.peer_evidence
            .get(&evidence.replica)
            .is_some_and(|known| {
                same_result(&known.evidence, evidence) && as_of < known.as_of + MIN_REFRESH_INTERVAL
            })
    }

    /// Applies the members of a digest to the view, and returns them with heartbeat indices resolved
    /// to nodes.
    pub fn apply_members(&mut self, digest: &PeerDigest) -> MemberUpdates {
        let mut updates = MemberUpdates::default();
        for row in &digest.rows {
            let index = u32::try_from(self.received_rows.len()).unwrap_or(u32::MAX);
            self.received_rows.push(row.node.clone());
            self.row_indices
                .entry(row.node.clone())
                .or_insert(index * 2 + 1);
            self.update_heartbeat(&row.node, row.beat);
            updates.rows.push(row_from_wire(row.clone()));
        }
        for beat in &digest.heartbeats {
            let index = beat.index as usize / 2;
            let rows = if beat.index % 2 == 0 {
                &self.received_rows
            } else {
                &self.sent_rows
            };
            let Some(node) = rows.get(index).cloned() else {
                continue;
            };
            self.update_heartbeat(&node, beat.beat);
            updates.heartbeats.push(NodeHeartbeat {
                node,
                heartbeat: beat.beat,
            });
        }
        for node in &digest.departed {
            self.departed.insert(node.clone());
        }
        updates
    }

    fn update_heartbeat(&mut self, node: &NodeId, heartbeat: u64) {
        let known = self.heartbeats.entry(node.clone()).or_default();
        *known = heartbeat.max(*known);
    }

    /// Applies the evidence of a digest that was built after `not_before`, and returns it with
    /// timestamps of this node's clock.
    pub fn apply_evidence(
        &mut self,
        digest: &PeerDigest,
        not_before: Instant,
    ) -> Vec<TimedEvidence> {
        let mut received = Vec::new();
        for wire in &digest.evidence {
            let evidence = HealthEvidence {
                replica: wire.replica.clone(),
                incarnation: wire.incarnation,
                hosts: wire.hosts.clone(),
                leaving: wire.leaving,
                age: Duration::ZERO,
            };
            self.received_evidence.push(evidence.clone());
            received.extend(with_timestamp(evidence, wire.age, not_before));
        }
        for observation in &digest.observations {
            let Some(evidence) = self.received_evidence.get(observation.index as usize) else {
                continue;
            };
            received.extend(with_timestamp(
                evidence.clone(),
                observation.age,
                not_before,
            ));
        }
        for timed in &received {
            self.peer_evidence
                .insert(timed.evidence.replica.clone(), timed.clone());
        }
        received
    }
}

/// Member updates received in a digest.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MemberUpdates {
    /// Complete member rows; each side sends a row at most once per connection.
    pub rows: Vec<MemberRow>,
    /// Heartbeats of members whose rows were sent over this connection before.
    pub heartbeats: Vec<NodeHeartbeat>,
}

/// The heartbeat counter of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeHeartbeat {
    /// Node id of the member.
    pub node: NodeId,
    /// Heartbeat counter, which the member itself increments.
    pub heartbeat: u64,
}

fn same_result(left: &HealthEvidence, right: &HealthEvidence) -> bool {
    left.incarnation == right.incarnation
        && left.hosts == right.hosts
        && left.leaving == right.leaving
}

/// Adds a timestamp to evidence. None if its age reaches back before the start of this host's clock.
fn with_timestamp(
    evidence: HealthEvidence,
    age: ObservationAge,
    not_before: Instant,
) -> Option<TimedEvidence> {
    let as_of = not_before.checked_sub(Duration::from(age))?;
    Some(TimedEvidence { evidence, as_of })
}

/// Converts an age to whole milliseconds, rounded up so that it is never underestimated.
#[must_use]
pub fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

fn row_to_wire(row: MemberRow) -> PeerMember {
    PeerMember {
        node: row.member.node,
        address: row.member.address,
        domain: row.member.domain,
        region: row.member.region,
        admin: row.member.admin,
        beat: row.beat,
    }
}

fn row_from_wire(row: PeerMember) -> MemberRow {
    MemberRow {
        member: Member {
            node: row.node,
            address: row.address,
            domain: row.domain,
            region: row.region,
            admin: row.admin,
        },
        beat: row.beat,
    }
}
