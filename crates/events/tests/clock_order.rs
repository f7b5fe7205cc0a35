//! Ordering of hybrid logical clock timestamps.

use events::clock::MAX_CLOCK_OFFSET_MS;
use events::{HybridClock, HybridTimestamp};
use quickcheck::{Gen, QuickCheck};

fn check() -> QuickCheck {
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(40, 11))
}

#[test]
fn timestamps_increase() {
    fn property(wall_millis: Vec<u16>) -> bool {
        let clock = HybridClock::default();
        let timestamps: Vec<HybridTimestamp> = wall_millis
            .into_iter()
            .map(|millis| clock.next_at(u64::from(millis)))
            .collect();
        timestamps.windows(2).all(|pair| pair[0] < pair[1])
    }
    check().quickcheck(property as fn(Vec<u16>) -> bool);
}

/// The clocks of two hosts differ by seconds. One host sends a message, and the other records its
/// effect. Sorted by wall clock time, the effect could appear before its cause. Clocks that differ by
/// more than the maximum offset are covered by `timestamps_of_wrong_clock_are_ignored`.
#[test]
fn effect_sorts_after_cause() {
    fn property(sender_millis: u16, receiver_millis: u16) -> bool {
        let (sender, receiver) = (HybridClock::default(), HybridClock::default());
        let sender_millis = u64::from(sender_millis) % MAX_CLOCK_OFFSET_MS;
        let cause = sender.next_at(sender_millis);
        receiver.observe_at(cause, u64::from(receiver_millis));
        cause < receiver.next_at(u64::from(receiver_millis))
    }
    check().quickcheck(property as fn(u16, u16) -> bool);
}

/// The clock of one host is set to next year. Its timestamps must not advance the clocks of all other
/// hosts, or all events on the timeline would appear to be in the future.
#[test]
fn timestamps_of_wrong_clock_are_ignored() {
    let clock = HybridClock::default();
    let future = HybridTimestamp {
        millis: 5_000 + MAX_CLOCK_OFFSET_MS + 1,
        counter: 0,
    };
    clock.observe_at(future, 5_000);
    assert_eq!(clock.next_at(5_001).millis, 5_001);
}
