//! Detection of replicas whose requests make no progress.

use std::time::Duration;

use serving::stall::{PROBE_INTERVAL, STALL_TIMEOUT, StallDetector};

/// The time for which a replica was idle before a request does not count as a stall.
#[test]
fn idle_time_ignored() {
    let mut detector = StallDetector::default();
    detector.request_started(Duration::from_mins(1));
    assert!(!detector.should_probe(Duration::from_mins(1) + STALL_TIMEOUT / 2));
}

/// If a member is lost, all streams of the replica stop at once, and clients would wait for seconds
/// until the head notices. Progress of a single stream shows that the replica works.
#[test]
fn stall_of_all_streams_probed() {
    let mut detector = StallDetector::default();
    detector.request_started(Duration::ZERO);
    detector.request_started(Duration::ZERO);
    detector.record_progress(STALL_TIMEOUT / 2);
    assert!(!detector.should_probe(STALL_TIMEOUT));
    let stalled = STALL_TIMEOUT * 2;
    assert!(detector.should_probe(stalled));
    assert!(
        !detector.should_probe(stalled + PROBE_INTERVAL / 2),
        "probed at most once per interval"
    );
    assert!(detector.should_probe(stalled + PROBE_INTERVAL));
}

#[test]
fn no_probe_without_requests() {
    let mut detector = StallDetector::default();
    detector.request_started(Duration::ZERO);
    detector.request_ended();
    assert!(!detector.should_probe(Duration::from_secs(5)));
}
