//! What a connection remembers of its peer: only news goes over it, and all news does.

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

/// One end of a connection with what its node knows.
#[derive(Default)]
struct TestEndpoint {
    peer_view: PeerView,
    beats: FastMap<NodeId, MemberRow>,
}

impl TestEndpoint {
    fn learn(&mut self, row: MemberRow) {
        let known = self.beats.get(&row.member.node);
        if known.is_none_or(|known| known.beat < row.beat) {
            self.beats.insert(row.member.node.clone(), row);
        }
    }

    fn send(&mut self) -> PeerDigest {
        let mut digest = PeerDigest::default();
        let rows = self.beats.values().cloned().collect();
        self.peer_view.add_members(&mut digest, rows);
        digest
    }

    fn take(&mut self, digest: &PeerDigest) {
        let news = self.peer_view.apply_members(digest);
        for row in news.rows {
            self.learn(row);
        }
        for beat in news.beats {
            let known = self.beats.get(&beat.node).cloned().expect("its row came");
            self.learn(MemberRow {
                beat: beat.beat,
                ..known
            });
        }
    }
}

// A heartbeat is written under the wrong place in the other side's list. A dead node would live on
// and a live one be taken for dead.
#[test]
fn sides_agree() {
    fn property(steps: Vec<(bool, u8, u64)>) -> bool {
        let mut initiator = TestEndpoint::default();
        let mut responder = TestEndpoint::default();
        for (near, number, beat) in steps {
            let side = if near { &mut initiator } else { &mut responder };
            side.learn(row(number % 8, beat % 50));
            if beat % 3 != 0 {
                continue;
            }
            let question = initiator.send();
            responder.take(&question);
            let answer = responder.send();
            initiator.take(&answer);
            if initiator.beats != responder.beats {
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

fn finding(incarnation: u64, as_of: Instant) -> TimedEvidence {
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

// Evidence that lay with several nodes on its way looks as fresh as at its start. Its age must
// never shrink, or a gate opens for a replica whose host is long gone.
#[test]
fn age_never_shrinks() {
    let seen = Instant::now();
    let mut held = finding(1, seen);
    for hop in 1..6_u64 {
        let mut sender = PeerView::default();
        let mut receiver = PeerView::default();
        let asked_at = seen + Duration::from_millis(733 * hop);
        let answered_at = asked_at + Duration::from_millis(7);
        let mut digest = PeerDigest::default();
        sender.add_evidence(&mut digest, vec![held.clone()], answered_at);
        let taken = receiver.apply_evidence(&digest, asked_at);
        assert_eq!(taken.len(), 1);
        assert!(taken[0].as_of <= seen, "it got younger");
        held = taken[0].clone();
    }
}

#[test]
fn looks_not_returned() {
    let now = Instant::now();
    let mut sender = PeerView::default();
    let mut receiver = PeerView::default();
    let mut digest = PeerDigest::default();
    sender.add_evidence(&mut digest, vec![finding(1, now)], now);
    let taken = receiver.apply_evidence(&digest, now);
    let mut back = PeerDigest::default();
    receiver.add_evidence(&mut back, taken, now);
    assert_eq!(back, PeerDigest::default());
    let later = now + Duration::from_secs(1);
    let mut again = PeerDigest::default();
    sender.add_evidence(&mut again, vec![finding(1, later)], later);
    assert_eq!((again.evidence.len(), again.looks.len()), (0, 1));
    let taken = receiver.apply_evidence(&again, later);
    assert_eq!(taken, vec![finding(1, later)]);
}

// A connection stands for months while hosts fail and return. What it remembers must not grow for
// ever; it is made anew in time.
#[test]
fn memory_wears_out() {
    let now = Instant::now();
    let mut peer_view = PeerView::default();
    for incarnation in 0..10_000 {
        if peer_view.is_full() {
            return;
        }
        let mut digest = PeerDigest::default();
        peer_view.add_evidence(&mut digest, vec![finding(incarnation, now)], now);
    }
    panic!("it is never worn");
}
