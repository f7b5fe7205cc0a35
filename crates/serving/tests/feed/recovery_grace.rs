//! Tests of the grace for missing entries after an outage of the store.

use std::time::Duration;

use quickcheck::quickcheck;
use serving::feed::RecoveryGrace;

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A grace whose store confirmed the registry every second until 10 s.
fn confirmed() -> RecoveryGrace {
    let mut grace = RecoveryGrace::default();
    for second in 1..=10 {
        grace.record_confirmation(millis(second * 1000));
    }
    grace
}

/// A broken connection or a refused call would put off the removal of a target that has left, for longer than it
/// continues to serve.
#[test]
fn single_failure_is_no_outage() {
    let mut grace = confirmed();
    grace.record_failure(millis(10_900));
    assert!(!grace.is_active(millis(10_950), None));
    grace.record_confirmation(millis(11_000));
    assert!(!grace.is_active(millis(11_000), None));
    // A call that gets no response, with the longest poll.
    grace.record_failure(millis(12_950));
    grace.record_confirmation(millis(13_050));
    assert!(!grace.is_active(millis(13_050), None));
}

/// Entries of live targets expire in an outage. Without the grace after it, all of them would be removed.
#[test]
fn outage_begins_grace() {
    let mut grace = confirmed();
    for failed_at in [10_500, 11_000, 12_000, 13_500] {
        grace.record_failure(millis(failed_at));
    }
    grace.record_confirmation(millis(14_000));
    assert!(grace.is_active(millis(14_000), None));
    assert!(grace.is_active(millis(16_000), None));
    assert!(!grace.is_active(millis(16_300), None));
}

/// Each failure after an outage would begin the grace again, and removals would wait for as long as calls fail.
#[test]
fn later_failures_prolong_nothing() {
    let mut grace = confirmed();
    grace.record_failure(millis(13_500));
    for round in 0..20 {
        grace.record_confirmation(millis(14_000 + 500 * round));
        grace.record_failure(millis(14_300 + 500 * round));
    }
    assert!(!grace.is_active(millis(16_300), None));
    assert!(!grace.is_active(millis(24_000), None));
}

/// A paused process, or one whose sources were lost, gets no confirmations either, but the store was never away.
#[test]
fn silence_without_failure() {
    let mut grace = confirmed();
    grace.record_failure(millis(9_500));
    grace.record_confirmation(millis(15_000));
    assert!(!grace.is_active(millis(15_000), None));
}

/// A node that starts in an outage has nothing to remove, and a source may repeat an earlier confirmation.
#[test]
fn first_and_earlier_confirmations() {
    let mut grace = RecoveryGrace::default();
    grace.record_failure(millis(3_000));
    grace.record_confirmation(millis(5_000));
    assert!(!grace.is_active(millis(5_000), None));
    grace.record_failure(millis(5_100));
    grace.record_confirmation(millis(1_000));
    grace.record_confirmation(millis(5_500));
    assert!(!grace.is_active(millis(5_500), None));
}

/// A restored store may lack entries that are written again, without any failed call.
#[test]
fn restore_begins_grace() {
    let grace = confirmed();
    assert!(grace.is_active(millis(12_200), Some(millis(10_000))));
    assert!(!grace.is_active(millis(12_300), Some(millis(10_000))));
}

quickcheck! {
    /// However calls fail, the grace is active only within its length after a confirmation that followed an outage.
    fn active_only_after_outage(steps: Vec<(bool, u16)>) -> bool {
        let mut grace = RecoveryGrace::default();
        let (mut now, mut confirmed_at) = (0, None);
        let mut outage_end = None;
        for (is_confirmed, pause) in steps {
            now += u64::from(pause % 4000);
            if is_confirmed {
                let gap = confirmed_at.map_or(0, |before| now - before);
                outage_end = if gap >= 2200 { Some(now) } else { outage_end };
                confirmed_at = Some(now);
                grace.record_confirmation(millis(now));
            } else {
                grace.record_failure(millis(now));
            }
            let may_be_active = outage_end.is_some_and(|end| now < end + 2300);
            if grace.is_active(millis(now), None) && !may_be_active {
                return false;
            }
        }
        true
    }
}

/// Entries that a copy of the store lacks would be removed at once at a node that reads it before it has noted the new
/// era, as one that follows another node does.
#[test]
fn restored_read_begins_grace() {
    let mut grace = confirmed();
    grace.record_confirmation(millis(11_000));
    grace.record_restore(millis(11_000));
    assert!(grace.is_active(millis(11_000), None));
    grace.record_confirmation(millis(12_000));
    assert!(grace.is_active(millis(13_200), None));
    assert!(!grace.is_active(millis(13_300), None));
}
