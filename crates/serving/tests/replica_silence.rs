//! Noticing a replica that stands still.

use std::time::Duration;

use serving::silence::{ASK_PAUSE, ReplicaPulse, SILENCE_LIMIT};

/// A replica was idle for a minute when a request comes. The minute is no silence.
#[test]
fn idle_time_ignored() {
    let mut pulse = ReplicaPulse::default();
    pulse.start(Duration::from_mins(1));
    assert!(!pulse.should_ask(Duration::from_mins(1) + SILENCE_LIMIT / 2));
}

/// All streams of a replica stop at once: a member is gone, and callers would wait for seconds
/// until the head notices. One stream that moves shows that it lives.
#[test]
fn common_silence_asked() {
    let mut pulse = ReplicaPulse::default();
    pulse.start(Duration::ZERO);
    pulse.start(Duration::ZERO);
    pulse.moved(SILENCE_LIMIT / 2);
    assert!(!pulse.should_ask(SILENCE_LIMIT));
    let silent = SILENCE_LIMIT * 2;
    assert!(pulse.should_ask(silent));
    assert!(
        !pulse.should_ask(silent + ASK_PAUSE / 2),
        "asked once a pause"
    );
    assert!(pulse.should_ask(silent + ASK_PAUSE));
}

#[test]
fn ended_requests_silent() {
    let mut pulse = ReplicaPulse::default();
    pulse.start(Duration::ZERO);
    pulse.end();
    assert!(!pulse.should_ask(Duration::from_secs(5)));
}
