//! Noticing a replica that stands still.

use std::time::Duration;

use serving::stall::{PROBE_INTERVAL, STALL_TIMEOUT, StallDetector};

/// A replica was idle for a minute when a request comes. The minute is no silence.
#[test]
fn idle_time_ignored() {
    let mut pulse = StallDetector::default();
    pulse.request_started(Duration::from_mins(1));
    assert!(!pulse.should_probe(Duration::from_mins(1) + STALL_TIMEOUT / 2));
}

/// All streams of a replica stop at once: a member is gone, and callers would wait for seconds
/// until the head notices. One stream that moves shows that it lives.
#[test]
fn common_silence_asked() {
    let mut pulse = StallDetector::default();
    pulse.request_started(Duration::ZERO);
    pulse.request_started(Duration::ZERO);
    pulse.record_progress(STALL_TIMEOUT / 2);
    assert!(!pulse.should_probe(STALL_TIMEOUT));
    let silent = STALL_TIMEOUT * 2;
    assert!(pulse.should_probe(silent));
    assert!(
        !pulse.should_probe(silent + PROBE_INTERVAL / 2),
        "asked once a pause"
    );
    assert!(pulse.should_probe(silent + PROBE_INTERVAL));
}

#[test]
fn ended_requests_silent() {
    let mut pulse = StallDetector::default();
    pulse.request_started(Duration::ZERO);
    pulse.request_ended();
    assert!(!pulse.should_probe(Duration::from_secs(5)));
}
