//! What the peer at the other end of a connection is known to have.
//!
//! A connection delivers in order or ends, and the memory ends with it. So what was sent counts as
//! known: without this, 410 nodes would send each other the whole membership once a second.

use std::time::{Duration, Instant};

use control::Member;
use control::members::MemberRow;
use domain::{ConfigRevision, FastMap, FastSet, HealthEvidence, NodeId, ReplicaId};
use wire::peer::{LookAge, PeerBeat, PeerDigest, PeerEvidence, PeerLook, PeerRow};

use crate::evidence::TimedEvidence;

/// Member rows of one digest; the rest follows with the next.
const MAX_ROWS: usize = 200;

/// Evidence older than this opens no gate and is not passed on.
const EVIDENCE_LIMIT: Duration = Duration::from_secs(10);

/// A newer look is passed on when it is this much newer. Watchers look about once a second; a step
/// of a whole second skipped every look that came a little early, and every look of both watchers
/// of a replica would not fit into the 3 KB/s that a node may spend.
const LOOK_STEP: Duration = Duration::from_millis(600);

/// Rows or findings after which a connection is made anew. The memory only grows while it stands:
/// with 410 nodes, a hundred restarts a day and a finding for every host that fails or returns,
/// one of months would hold ever more of what is long gone.
const WORN_ENTRIES: usize = 4_096;

/// What a peer is known to have, on one connection.
#[derive(Debug, Default)]
pub struct PeerView {
    /// The highest revision that the peer has or was sent.
    pub revision: ConfigRevision,
    sent_rows: Vec<NodeId>,
    received_rows: Vec<NodeId>,
    places: FastMap<NodeId, u32>,
    beats: FastMap<NodeId, u64>,
    departed: FastSet<NodeId>,
    sent_evidence: FastMap<ReplicaId, SentEvidence>,
    evidence_count: u32,
    received_evidence: Vec<HealthEvidence>,
    peer_evidence: FastMap<ReplicaId, TimedEvidence>,
}

#[derive(Debug)]
struct SentEvidence {
    place: u32,
    evidence: HealthEvidence,
    as_of: Instant,
}

impl PeerView {
    /// Whether so much went over the connection that it should be made anew.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let rows = self.sent_rows.len().max(self.received_rows.len());
        let findings = self.received_evidence.len();
        rows.max(findings).max(self.evidence_count as usize) >= WORN_ENTRIES
    }

    /// Adds the members, heartbeats and goodbyes that the peer lacks.
    pub fn add_members(&mut self, digest: &mut PeerDigest, rows: Vec<MemberRow>) {
        for row in rows {
            let node = row.member.node.clone();
            let Some(place) = self.places.get(&node) else {
                if digest.rows.len() == MAX_ROWS {
                    continue;
                }
                let place = u32::try_from(self.sent_rows.len()).unwrap_or(u32::MAX);
                self.places.insert(node.clone(), place * 2);
                self.sent_rows.push(node.clone());
                self.beats.insert(node, row.beat);
                digest.rows.push(row_to_wire(row));
                continue;
            };
            let known = self.beats.get(&node).copied().unwrap_or_default();
            if row.beat <= known {
                continue;
            }
            digest.beats.push(PeerBeat {
                place: *place,
                beat: row.beat,
            });
            self.beats.insert(node, row.beat);
        }
    }

    /// Adds the goodbyes that the peer lacks.
    pub fn add_departed(&mut self, digest: &mut PeerDigest, departed: Vec<NodeId>) {
        for node in departed {
            if self.departed.insert(node.clone()) {
                digest.departed.push(node);
            }
        }
    }

    /// Adds the evidence that the peer lacks.
    pub fn add_evidence(
        &mut self,
        digest: &mut PeerDigest,
        held: Vec<TimedEvidence>,
        now: Instant,
    ) {
        for TimedEvidence { evidence, as_of } in held {
            let age = now.saturating_duration_since(as_of);
            if age > EVIDENCE_LIMIT {
                continue;
            }
            let age = LookAge::from(age);
            if self.peer_has(&evidence, as_of) {
                continue;
            }
            if let Some(sent) = self.sent_evidence.get_mut(&evidence.replica)
                && same_finding(&sent.evidence, &evidence)
            {
                if as_of < sent.as_of + LOOK_STEP {
                    continue;
                }
                sent.as_of = as_of;
                let place = sent.place;
                digest.looks.push(PeerLook { place, age });
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
                place: self.evidence_count,
                evidence: evidence.clone(),
                as_of,
            };
            self.evidence_count += 1;
            self.sent_evidence.insert(evidence.replica, sent);
        }
    }

    /// Whether the peer itself sent a look that is about as new: it must not get it back.
    fn peer_has(&self, evidence: &HealthEvidence, as_of: Instant) -> bool {
        self.peer_evidence
            .get(&evidence.replica)
            .is_some_and(|known| {
                same_finding(&known.evidence, evidence) && as_of < known.as_of + LOOK_STEP
            })
    }

    /// Takes in the members of a digest: whole rows, and heartbeats with their node.
    pub fn apply_members(&mut self, digest: &PeerDigest) -> MemberUpdates {
        let mut news = MemberUpdates::default();
        for row in &digest.rows {
            let place = u32::try_from(self.received_rows.len()).unwrap_or(u32::MAX);
            self.received_rows.push(row.node.clone());
            self.places.entry(row.node.clone()).or_insert(place * 2 + 1);
            self.raise_beat(&row.node, row.beat);
            news.rows.push(row_from_wire(row.clone()));
        }
        for beat in &digest.beats {
            let index = beat.place as usize / 2;
            let rows = if beat.place % 2 == 0 {
                &self.received_rows
            } else {
                &self.sent_rows
            };
            let Some(node) = rows.get(index).cloned() else {
                continue;
            };
            self.raise_beat(&node, beat.beat);
            news.beats.push(NodeHeartbeat {
                node,
                beat: beat.beat,
            });
        }
        for node in &digest.departed {
            self.departed.insert(node.clone());
        }
        news
    }

    fn raise_beat(&mut self, node: &NodeId, beat: u64) {
        let known = self.beats.entry(node.clone()).or_default();
        *known = beat.max(*known);
    }

    /// Takes in the evidence of a digest that answers a question sent at `asked_at`.
    pub fn apply_evidence(&mut self, digest: &PeerDigest, asked_at: Instant) -> Vec<TimedEvidence> {
        let mut taken = Vec::new();
        for wire in &digest.evidence {
            let evidence = HealthEvidence {
                replica: wire.replica.clone(),
                incarnation: wire.incarnation,
                hosts: wire.hosts.clone(),
                leaving: wire.leaving,
                age: Duration::ZERO,
            };
            self.received_evidence.push(evidence.clone());
            taken.extend(held(evidence, wire.age, asked_at));
        }
        for look in &digest.looks {
            let Some(evidence) = self.received_evidence.get(look.place as usize) else {
                continue;
            };
            taken.extend(held(evidence.clone(), look.age, asked_at));
        }
        for held in &taken {
            self.peer_evidence
                .insert(held.evidence.replica.clone(), held.clone());
        }
        taken
    }
}

/// Members that a digest brought.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MemberUpdates {
    /// Whole rows.
    pub rows: Vec<MemberRow>,
    /// Heartbeats of members whose row came before.
    pub beats: Vec<NodeHeartbeat>,
}

/// A member's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeHeartbeat {
    /// The member.
    pub node: NodeId,
    /// Its heartbeat.
    pub beat: u64,
}

fn same_finding(left: &HealthEvidence, right: &HealthEvidence) -> bool {
    left.incarnation == right.incarnation
        && left.hosts == right.hosts
        && left.leaving == right.leaving
}

/// None when the age reaches back before the start of this host's clock.
fn held(evidence: HealthEvidence, age: LookAge, asked_at: Instant) -> Option<TimedEvidence> {
    let as_of = asked_at.checked_sub(Duration::from(age))?;
    Some(TimedEvidence { evidence, as_of })
}

/// A duration in whole milliseconds, rounded up: an age may look older, never younger.
#[must_use]
pub fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}

fn row_to_wire(row: MemberRow) -> PeerRow {
    PeerRow {
        node: row.member.node,
        address: row.member.address,
        domain: row.member.domain,
        region: row.member.region,
        admin: row.member.admin,
        beat: row.beat,
    }
}

fn row_from_wire(row: PeerRow) -> MemberRow {
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
