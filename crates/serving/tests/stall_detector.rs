//! Detection of replicas whose requests make no progress.

use std::time::Duration;

use serving::stall::{PROBE_INTERVAL, STALL_TIMEOUT, StallDetector, StallProbe};

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

/// Guards against probes of all members by each of hundreds of nodes whose only request at a busy
/// replica waits for its first token, while the replica serves others.
#[test]
fn busy_replica_not_probed() {
    let mut detector = StallDetector::default();
    detector.request_started(Duration::ZERO);
    let now = STALL_TIMEOUT * 2;
    let served_at = Some(STALL_TIMEOUT * 7 / 4);
    assert_eq!(detector.due_probe(now, served_at), Some(StallProbe::Head));
    assert_eq!(detector.due_probe(now, served_at), None);
}

/// Guards against a lost member that is noticed later because the replica served others shortly
/// before: the time counts from its last sign of life to anybody.
#[test]
fn loss_noticed_after_last_sign() {
    let mut detector = StallDetector::default();
    detector.request_started(Duration::ZERO);
    let lost_at = STALL_TIMEOUT * 2;
    assert_eq!(
        detector.due_probe(lost_at, Some(lost_at)),
        Some(StallProbe::Head)
    );
    let noticed = detector.due_probe(lost_at + STALL_TIMEOUT, Some(lost_at));
    assert_eq!(noticed, Some(StallProbe::Members));
}

#[test]
fn unheard_replica_probed() {
    let mut detector = StallDetector::default();
    detector.request_started(Duration::ZERO);
    assert_eq!(
        detector.due_probe(STALL_TIMEOUT, None),
        Some(StallProbe::Members)
    );
}
