//! Tests of what follows from entries that are missing.

use std::time::Duration;

use domain::HostId;
use quickcheck::quickcheck;
use serving::missing_targets::{EntryLapse, LapseCause, MissingTargets, OutageWatch};

const DRAIN_BOUND: Duration = Duration::from_secs(2);

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn host(name: &str) -> HostId {
    name.parse().expect("a valid id")
}

/// A lapse after calls failed at 10 s.
fn failed_calls(cause: LapseCause) -> EntryLapse {
    EntryLapse {
        cause,
        rewritten_at: millis(12_300),
    }
}

fn cause_at(outages: &OutageWatch, now: u64, restored_at: Option<Duration>) -> Option<LapseCause> {
    let lapse = outages.lapse(millis(now), restored_at);
    lapse.map(|lapse| lapse.cause)
}

/// A store that confirmed the registry every second until 10 s.
fn confirmed() -> OutageWatch {
    let mut outages = OutageWatch::default();
    for second in 1..=10 {
        outages.record_confirmation(millis(second * 1000));
    }
    outages
}

/// Without it, an entry that goes missing while nothing fails would count as one that may come back.
#[test]
fn calm_store_tells_leaving() {
    let outages = confirmed();
    assert_eq!(outages.lapse(millis(10_500), None), None);
}

/// A broken connection or a refused call would count as an outage, in which entries expire.
#[test]
fn single_failure_is_no_outage() {
    let mut outages = confirmed();
    outages.record_failure(millis(10_900));
    outages.record_confirmation(millis(11_000));
    let cause = cause_at(&outages, 11_000, None);
    assert_eq!(cause, Some(LapseCause::OwnCalls));
    // A call that gets no response, with the longest poll.
    outages.record_failure(millis(12_950));
    outages.record_confirmation(millis(13_050));
    let cause = cause_at(&outages, 13_050, None);
    assert_eq!(cause, Some(LapseCause::OwnCalls));
    assert_eq!(outages.ended_at(), None);
}

/// A node whose source's connection broke once would send on to a target that has left, as if its own store were away.
#[test]
fn failures_elsewhere_told_apart() {
    let mut outages = confirmed();
    outages.record_others_failure(millis(10_900));
    outages.record_confirmation(millis(11_000));
    assert_eq!(
        cause_at(&outages, 11_000, None),
        Some(LapseCause::OthersCalls)
    );
    assert_eq!(outages.failed_at(), Some(millis(10_900)));
}

/// Entries of live targets expire in an outage; all would count as gone at its end.
#[test]
fn outage_ends_with_confirmation() {
    let mut outages = confirmed();
    for failed_at in [10_500, 11_000, 12_000, 13_500] {
        outages.record_failure(millis(failed_at));
    }
    outages.record_confirmation(millis(14_000));
    let cause_at = |now| cause_at(&outages, now, None);
    assert_eq!(cause_at(14_000), Some(LapseCause::Outage));
    assert_eq!(cause_at(16_200), Some(LapseCause::Outage));
    assert_eq!(cause_at(16_300), None);
}

/// A paused process gets no confirmations either, but the store was never away.
#[test]
fn silence_without_failure() {
    let mut outages = confirmed();
    outages.record_failure(millis(9_500));
    outages.record_confirmation(millis(15_000));
    assert_eq!(outages.lapse(millis(15_000), None), None);
}

/// A restored store may lack entries that are written again, without any failed call.
#[test]
fn restore_counts_as_outage() {
    let outages = confirmed();
    let cause_at = |now| cause_at(&outages, now, Some(millis(10_000)));
    assert_eq!(cause_at(12_200), Some(LapseCause::Outage));
    assert_eq!(cause_at(12_300), None);
}

/// A target that has left would get requests for longer than it continues to serve: its removal took a part of the
/// bound to get here.
#[test]
fn sends_end_within_bound() {
    let mut missing = MissingTargets::default();
    let id = host("s0");
    missing.record(
        id.clone(),
        millis(10_000),
        failed_calls(LapseCause::OthersCalls),
        DRAIN_BOUND,
        false,
    );
    assert!(missing.may_send(&id, millis(10_900)));
    assert!(!missing.may_send(&id, millis(11_000)));
    assert_eq!(missing.take_unsendable(millis(10_900)), Vec::new());
    assert_eq!(missing.take_unsendable(millis(11_000)), vec![id]);
}

/// Replicas of live hosts would be taken apart within the time in which their entries come back.
#[test]
fn members_kept_for_longer() {
    let mut missing = MissingTargets::default();
    let id = host("e0");
    missing.record(
        id.clone(),
        millis(10_000),
        failed_calls(LapseCause::OthersCalls),
        DRAIN_BOUND,
        true,
    );
    assert!(!missing.may_send(&id, millis(11_000)));
    assert_eq!(missing.take_unconfirmed(millis(12_200), None), Vec::new());
    assert_eq!(missing.take_unconfirmed(millis(12_300), None), vec![id]);
}

/// A service would be left without targets if the store were away again before they could write their entries.
#[test]
fn outage_keeps_targets_until_confirmed() {
    let mut missing = MissingTargets::default();
    let id = host("s0");
    let lapse = failed_calls(LapseCause::Outage);
    missing.record(id.clone(), millis(10_000), lapse, DRAIN_BOUND, false);
    assert!(missing.may_send(&id, millis(15_000)));
    assert_eq!(missing.take_unsendable(millis(15_000)), Vec::new());
    assert_eq!(missing.take_unconfirmed(millis(15_000), None), vec![id]);
}

/// Targets that could not write for the whole time would count as gone once the store is back.
#[test]
fn later_outage_begins_time_again() {
    let mut missing = MissingTargets::default();
    let id = host("e0");
    missing.record(
        id.clone(),
        millis(10_000),
        failed_calls(LapseCause::OthersCalls),
        DRAIN_BOUND,
        true,
    );
    let ended_at = Some(millis(14_000));
    assert_eq!(
        missing.take_unconfirmed(millis(14_000), ended_at),
        Vec::new()
    );
    assert_eq!(missing.take_unconfirmed(millis(16_300), ended_at), vec![id]);
}

quickcheck! {
    /// However often an entry is found missing again, nothing is sent to its target after the bound.
    fn repeats_prolong_nothing(pauses: Vec<u16>) -> bool {
        let mut missing = MissingTargets::default();
        let id = host("s0");
        let mut now = Duration::from_secs(10);
        let until = now + DRAIN_BOUND;
        for pause in pauses {
            missing.record(id.clone(), now, failed_calls(LapseCause::OthersCalls), DRAIN_BOUND, true);
            if now >= until && missing.may_send(&id, now) {
                return false;
            }
            now += Duration::from_millis(u64::from(pause % 500));
        }
        true
    }
}
