//! Tests of the view of a peer: a connection carries all updates, and each of them only once.

use std::time::{Duration, Instant};

use control::Member;
use control::members::MemberRow;
use domain::{FastMap, HealthEvidence, IncarnationNumber, NodeId};
use peers::TimedEvidence;
use peers::peer_view::PeerView;
use quickcheck::{Gen, QuickCheck};
use wire::peer::PeerDigest;

const TESTS: u64 = 300;
const SEED: u64 = 0x5eed_11ab;

fn row(number: u8, beat: u64) -> MemberRow {
    MemberRow {
        member: Member {
            node: format!("e{number}").parse().expect("a node"),
            address: "127.0.0.1:1".parse().expect("an address"),
            domain: "plateau".parse().expect("a domain"),
            region: "dakar".parse().expect("a region"),
            admin: None,
        },
        beat,
    }
}

/// One side of a connection, with the members that its node knows.
#[derive(Default)]
struct TestSide {
    peer_view: PeerView,
    members: FastMap<NodeId, MemberRow>,
}

impl TestSide {
    fn learn(&mut self, row: MemberRow) {
        let known = self.members.get(&row.member.node);
        if known.is_none_or(|known| known.beat < row.beat) {
            self.members.insert(row.member.node.clone(), row);
        }
    }

    fn send(&mut self) -> PeerDigest {
        let mut digest = PeerDigest::default();
        let rows = self.members.values().cloned().collect();
        self.peer_view.add_members(&mut digest, rows);
        digest
    }

    fn receive(&mut self, digest: &PeerDigest) {
        let updates = self.peer_view.apply_members(digest);
        for row in updates.rows {
            self.learn(row);
        }
        for update in updates.heartbeats {
            let known = self
                .members
                .get(&update.node)
                .cloned()
                .expect("a row received before");
            self.learn(MemberRow {
                beat: update.heartbeat,
                ..known
            });
        }
    }
}

// If the two sides disagreed about the index of a row, heartbeats would be credited to the wrong
// node: a dead node would appear alive, and a live one dead.
#[test]
fn sides_agree() {
    fn property(steps: Vec<(bool, u8, u64)>) -> bool {
        let mut initiator = TestSide::default();
        let mut responder = TestSide::default();
        for (at_initiator, number, beat) in steps {
            let side = if at_initiator {
                &mut initiator
            } else {
                &mut responder
            };
            side.learn(row(number % 8, beat % 50));
            if beat % 3 != 0 {
                continue;
            }
            let request = initiator.send();
            responder.receive(&request);
            let response = responder.send();
            initiator.receive(&response);
            if initiator.members != responder.members {
                return false;
            }
            if initiator.send() != PeerDigest::default() {
                return false;
            }
        }
        true
    }
    let source = Gen::from_size_and_seed(80, SEED);
    QuickCheck::new()
        .rng(source)
        .tests(TESTS)
        .quickcheck(property as fn(Vec<(bool, u8, u64)>) -> bool);
}

fn evidence(incarnation: u64, as_of: Instant) -> TimedEvidence {
    TimedEvidence {
        evidence: HealthEvidence {
            replica: "trader-help.1".parse().expect("a replica"),
            incarnation: IncarnationNumber(incarnation),
            hosts: vec!["h1".parse().expect("a host")],
            leaving: false,
            age: Duration::ZERO,
        },
        as_of,
    }
}

// Evidence is forwarded by several nodes, each of which holds it for a while. If its age shrank on
// the way, requests would be dispatched to a replica whose host failed long ago.
#[test]
fn age_never_shrinks() {
    let seen = Instant::now();
    let mut current = evidence(1, seen);
    for hop in 1..6_u64 {
        let mut sender = PeerView::default();
        let mut receiver = PeerView::default();
        let requested_at = seen + Duration::from_millis(733 * hop);
        let responded_at = requested_at + Duration::from_millis(7);
        let mut digest = PeerDigest::default();
        sender.add_evidence(&mut digest, vec![current.clone()], responded_at);
        let applied = receiver.apply_evidence(&digest, requested_at);
        assert_eq!(applied.len(), 1);
        assert!(applied[0].as_of <= seen, "the evidence got younger");
        current = applied[0].clone();
    }
}

#[test]
fn evidence_not_sent_back() {
    let now = Instant::now();
    let mut sender = PeerView::default();
    let mut receiver = PeerView::default();
    let mut digest = PeerDigest::default();
    sender.add_evidence(&mut digest, vec![evidence(1, now)], now);
    let applied = receiver.apply_evidence(&digest, now);
    let mut back = PeerDigest::default();
    receiver.add_evidence(&mut back, applied, now);
    assert_eq!(back, PeerDigest::default());
    let later = now + Duration::from_secs(1);
    let mut again = PeerDigest::default();
    sender.add_evidence(&mut again, vec![evidence(1, later)], later);
    assert_eq!((again.evidence.len(), again.observations.len()), (0, 1));
    let applied = receiver.apply_evidence(&again, later);
    assert_eq!(applied, vec![evidence(1, later)]);
}

// A connection may last for months while hosts fail and return. Its view of the peer must not grow
// without bound; at a limit it asks for a new connection.
#[test]
fn view_is_bounded() {
    let now = Instant::now();
    let mut peer_view = PeerView::default();
    for incarnation in 0..10_000 {
        if peer_view.is_full() {
            return;
        }
        let mut digest = PeerDigest::default();
        peer_view.add_evidence(&mut digest, vec![evidence(incarnation, now)], now);
    }
    panic!("the view never reports that it is full");
}
