//! Which registry entries and reports may replace what a host confirmed itself.

use std::time::Duration;

use domain::BootNumber;
use quickcheck::{Gen, QuickCheck};
use serving::confirmed::MAX_REPORT_AGE;
use serving::{ConfirmedMembership, MemberState, ReplicaMembership, TargetEntry, TargetState};

/// Seed of the generated cases.
const SEED: u64 = 31;

/// Cases that the property is tested with.
const CASES: u64 = 2000;

fn entry(boot: u64, membership: Option<(&str, u64)>) -> TargetEntry {
    TargetEntry {
        id: "h1".parse().expect("valid id"),
        service: "assistant".parse().expect("valid name"),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "z0".parse().expect("valid name"),
        slots: 8,
        state: TargetState::Ready,
        boot: BootNumber(boot),
        fabric: None,
        loaded: None,
        staged: Vec::new(),
        membership: membership.map(|(replica, epoch)| ReplicaMembership {
            replica: replica.parse().expect("valid name"),
            epoch,
            rank: 0,
            state: MemberState::Joining,
        }),
    }
}

fn joined(replica: &str, epoch: u64) -> ConfirmedMembership {
    let mut membership = ConfirmedMembership::listed(&entry(1, Some(("r-old", 3))));
    membership.confirm_order(&entry(1, None), Duration::from_millis(90));
    membership.confirm_order(
        &entry(1, Some((replica, epoch))),
        Duration::from_millis(100),
    );
    membership
}

/// A host leaves a replica and joins another. Its entries of before the join arrive afterwards and
/// must not pass for new.
#[test]
fn entries_before_join() {
    let membership = joined("r-new", 7);
    assert!(membership.may_be_newer_than_entry(&entry(1, None)));
    assert!(membership.may_be_newer_than_entry(&entry(1, Some(("r-old", 3)))));
    assert!(!membership.may_be_newer_than_entry(&entry(1, Some(("r-new", 7)))));
}

/// Another node has a host join a later replica, or the host restarts. Its entry must be believed,
/// or the node would plan with a replica that no longer exists.
#[test]
fn entries_after_join() {
    let membership = joined("r-new", 7);
    assert!(!membership.may_be_newer_than_entry(&entry(1, Some(("r-next", 8)))));
    assert!(!membership.may_be_newer_than_entry(&entry(2, None)));
}

/// Once the registry has shown a join, an entry without it is newer: the host has left.
#[test]
fn entry_after_listed_join() {
    let mut membership = joined("r-new", 7);
    membership.confirm_listed(&entry(1, Some(("r-new", 7))));
    assert!(!membership.may_be_newer_than_entry(&entry(1, None)));
}

/// A report shows the state of some hundred milliseconds before, and so possibly that of before an
/// order. Later ones are believed: another node may have ordered the host to leave.
#[test]
fn report_after_order() {
    let membership = joined("r-new", 7);
    let ordered_at = Duration::from_millis(100);
    assert!(membership.may_be_newer_than_report(&entry(1, None), ordered_at));
    let late = ordered_at + MAX_REPORT_AGE;
    assert!(!membership.may_be_newer_than_report(&entry(1, None), late));
}

/// Another node has a host join a later replica, and the registry shows it. A report may still show
/// the replica before, which must not replace the later one.
#[test]
fn report_of_earlier_replica() {
    let membership = ConfirmedMembership::listed(&entry(1, Some(("r-new", 7))));
    let now = Duration::from_mins(1);
    assert!(membership.may_be_newer_than_report(&entry(1, Some(("r-old", 3))), now));
    assert!(!membership.may_be_newer_than_report(&entry(1, Some(("r-next", 8))), now));
    assert!(!membership.may_be_newer_than_report(&entry(2, None), now));
}

/// The entries of a host arrive in the order of its states, each after any delay. Whatever orders
/// and entries alternate, no entry from before the last order is believed.
#[test]
fn any_delay_of_entries() {
    fn property(steps: Vec<(bool, bool)>) -> bool {
        let mut states = vec![entry(1, None)];
        let mut read = 0;
        let mut ordered = 0;
        let mut membership = ConfirmedMembership::listed(&states[0]);
        for (is_order, joins) in steps {
            if is_order {
                let number = states.len();
                let name = format!("r-{number}");
                let epoch = u64::try_from(number).unwrap_or(0);
                let state = entry(1, joins.then_some((name.as_str(), epoch)));
                membership.confirm_order(&state, Duration::ZERO);
                ordered = number;
                states.push(state);
                continue;
            }
            if read + 1 == states.len() {
                continue;
            }
            read += 1;
            let state = &states[read];
            if membership.may_be_newer_than_entry(state) {
                continue;
            }
            membership.confirm_listed(state);
            let shows_last = state.membership_key() == states[ordered].membership_key();
            if read < ordered && !shows_last {
                return false;
            }
        }
        true
    }
    let generator = Gen::from_size_and_seed(40, SEED);
    QuickCheck::new()
        .rng(generator)
        .tests(CASES)
        .quickcheck(property as fn(Vec<(bool, bool)>) -> bool);
}
