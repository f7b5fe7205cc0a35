//! Tests of streams whose bytes bring no events.

use std::time::Duration;

use serving::eventless_time::EventlessTime;

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Comments or line ends in small pieces would keep a client until its deadline.
#[test]
fn dripping_bytes_noticed() {
    let mut eventless = EventlessTime::default();
    eventless.record_event(millis(0));
    let broken_at = (1..1000).find(|number| {
        let bytes = usize::try_from(number * 20).unwrap();
        eventless.record_bytes(millis(number * 10), bytes)
    });
    assert_eq!(broken_at, Some(101));
}

/// The first part of a large event that comes after a pause would end the stream.
#[test]
fn pause_before_event() {
    let mut eventless = EventlessTime::default();
    for round in 1..10 {
        let begun_at = round * 3000;
        for part in 0..20 {
            let bytes = usize::try_from(part * 8000).unwrap();
            assert!(!eventless.record_bytes(millis(begun_at + part * 5), bytes));
        }
        eventless.record_event(millis(begun_at + 100));
    }
}

/// A client that pauses in the middle of an event would lose its stream: nothing is read meanwhile.
#[test]
fn pause_inside_event() {
    let mut eventless = EventlessTime::default();
    eventless.record_event(millis(0));
    assert!(!eventless.record_bytes(millis(10), 50_000));
    assert!(!eventless.record_bytes(millis(4000), 60_000));
    assert!(!eventless.record_bytes(millis(4010), 90_000));
}

/// A few bytes in a long time are what a target writes that has nothing to say yet.
#[test]
fn few_bytes_allowed() {
    let mut eventless = EventlessTime::default();
    assert!((0..100).all(|number| !eventless.record_bytes(millis(number * 100), 1000)));
}
