//! Tests of responses of targets that stop listening while they leave.

use std::time::Duration;

use serving::closed_listener::ClosedListener;

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// The stream of a target that leaves in order would be lost at its end, though it is whole.
#[test]
fn bytes_after_refusal() {
    let mut listener = ClosedListener::default();
    assert!(listener.record_bytes(millis(100)));
    listener.record_refused(millis(101));
    assert!(!listener.is_outlived());
    assert!(!listener.record_bytes(millis(140)));
    assert!(listener.is_outlived());
}

/// Bytes that a target sent before it died may be read after its refusal. They would make half a stream whole.
#[test]
fn bytes_in_flight() {
    let mut listener = ClosedListener::default();
    assert!(listener.record_bytes(millis(100)));
    listener.record_refused(millis(101));
    listener.record_bytes(millis(110));
    assert!(!listener.is_outlived());
}

/// A target that listens says nothing of how its response will end.
#[test]
fn listening_target() {
    let mut listener = ClosedListener::default();
    for time in 0..40 {
        listener.record_bytes(millis(100 * time));
    }
    assert!(!listener.is_outlived());
}

/// Each question opens a connection, and a stream has hundreds of events.
#[test]
fn questions_are_spaced() {
    let mut listener = ClosedListener::default();
    let asked = (0..200).filter(|time| listener.record_bytes(millis(10 * time)));
    assert_eq!(asked.count(), 4);
}
