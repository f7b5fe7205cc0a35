//! The membership with reordered, repeated, lost and late heartbeats.
#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck hands its inputs over by value"
)]

use std::time::{Duration, Instant};

use control::Member;
use control::members::{HeartbeatSource, LivenessTimeouts, MemberRow, MemberState};
use domain::FastSet;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const TESTS: u64 = 500;
const SEED: u64 = 0x5eed_0e3b;
const TIMEOUTS: LivenessTimeouts = LivenessTimeouts {
    dead: Duration::from_secs(20),
    unreachable: Duration::from_secs(10),
};

fn member(number: u8) -> Member {
    Member {
        node: format!("e{number}").parse().expect("valid node id"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        domain: "plateau".parse().expect("valid failure domain"),
        region: "dakar".parse().expect("valid region"),
        admin: None,
    }
}

fn row(number: u8, beat: u64) -> MemberRow {
    MemberRow {
        member: member(number),
        beat,
    }
}

#[derive(Debug, Clone)]
enum MemberStep {
    Hear(u8, u64),
    Read(u8, u64),
    Leave(u8),
    List(Vec<u8>),
    Wait(u64),
}

impl Arbitrary for MemberStep {
    fn arbitrary(source: &mut Gen) -> Self {
        let node = u8::arbitrary(source) % 5 + 1;
        let beat = u64::arbitrary(source) % 10;
        match u8::arbitrary(source) % 10 {
            0..=3 => Self::Hear(node, beat),
            4..=5 => Self::Read(node, beat),
            6 => Self::Leave(node),
            7 => Self::List((1..=5).filter(|_| bool::arbitrary(source)).collect()),
            _ => Self::Wait(u64::arbitrary(source) % 8),
        }
    }
}

fn run(state: &mut MemberState, step: &MemberStep, now: &mut Instant) {
    match step {
        MemberStep::Hear(node, beat) => {
            state.observe(row(*node, *beat), HeartbeatSource::Peer, *now);
        }
        MemberStep::Read(node, beat) => {
            state.observe(row(*node, *beat), HeartbeatSource::Table, *now);
        }
        MemberStep::Leave(node) => {
            state.observe_leave(&member(*node).node);
        }
        MemberStep::List(nodes) => {
            let listed: FastSet<_> = nodes.iter().map(|node| member(*node).node).collect();
            state.observe_listing(&listed, *now);
        }
        MemberStep::Wait(seconds) => *now += Duration::from_secs(*seconds),
    }
}

fn check(property: fn(Vec<MemberStep>) -> bool) {
    let source = Gen::from_size_and_seed(80, SEED);
    QuickCheck::new()
        .rng(source)
        .tests(TESTS)
        .quickcheck(property);
}

// Guards against a late digest that adds a node again after it left: replicas would be assigned to
// probers that do not exist and get no evidence.
#[test]
fn left_node_stays_removed() {
    fn property(steps: Vec<MemberStep>) -> bool {
        let mut state = MemberState::new(member(0), TIMEOUTS);
        let mut now = Instant::now();
        state.observe(row(1, 0), HeartbeatSource::Peer, now);
        state.observe_leave(&member(1).node);
        for step in &steps {
            run(&mut state, step, &mut now);
            let view = state.view(now);
            if view
                .members
                .iter()
                .any(|other| other.node == member(1).node)
            {
                return false;
            }
        }
        true
    }
    check(property);
}

// Guards against a roster that shrinks through silence: the minority side of a partition would
// consider itself the majority.
#[test]
fn silence_keeps_roster_size() {
    fn property(steps: Vec<MemberStep>) -> bool {
        let mut state = MemberState::new(member(0), TIMEOUTS);
        let mut now = Instant::now();
        for step in &steps {
            run(&mut state, step, &mut now);
        }
        let before = state.reach(now);
        let long_after = now + Duration::from_hours(1);
        let after = state.reach(long_after);
        after.roster_size == before.roster_size && after.reachable == 1
    }
    check(property);
}

// Guards against counting the same heartbeat again when it is buffered or arrives by another path.
#[test]
fn repeated_heartbeats_ignored() {
    fn property(steps: Vec<MemberStep>) -> bool {
        let mut state = MemberState::new(member(0), TIMEOUTS);
        let mut now = Instant::now();
        for step in &steps {
            run(&mut state, step, &mut now);
        }
        for _ in 0..40 {
            now += Duration::from_secs(1);
            for step in &steps {
                if matches!(step, MemberStep::Hear(..)) {
                    run(&mut state, step, &mut now);
                }
            }
        }
        state.reach(now).reachable == 1
    }
    check(property);
}

#[test]
fn heartbeat_order_irrelevant() {
    fn property(steps: Vec<MemberStep>) -> bool {
        let now = Instant::now();
        let hears: Vec<_> = steps
            .iter()
            .filter(|step| matches!(step, MemberStep::Hear(..)))
            .collect();
        let mut forward = MemberState::new(member(0), TIMEOUTS);
        let mut backward = MemberState::new(member(0), TIMEOUTS);
        for step in &hears {
            run(&mut forward, step, &mut now.clone());
        }
        for step in hears.iter().rev() {
            run(&mut backward, step, &mut now.clone());
        }
        let sorted = |state: &MemberState| {
            let mut rows = state.rows();
            rows.sort_by(|left, right| left.member.node.cmp(&right.member.node));
            rows
        };
        sorted(&forward) == sorted(&backward)
    }
    check(property);
}
