//! Stamps of the hybrid logical clock.

use events::clock::MAX_CLOCK_OFFSET_MS;
use events::{HybridClock, HybridTimestamp};
use quickcheck::{Gen, QuickCheck};

fn check() -> QuickCheck {
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(40, 11))
}

#[test]
fn stamps_rise() {
    fn property(walls: Vec<u16>) -> bool {
        let clock = HybridClock::default();
        let stamps: Vec<HybridTimestamp> = walls
            .into_iter()
            .map(|wall| clock.next_at(u64::from(wall)))
            .collect();
        stamps.windows(2).all(|pair| pair[0] < pair[1])
    }
    check().quickcheck(property as fn(Vec<u16>) -> bool);
}

/// Two hosts' clocks differ by seconds. One sends a message, the other records what it caused;
/// sorted by wall time alone an operator would read the effect before its cause. Clocks farther
/// apart than the allowed lead are the matter of `broken_clock_ignored`.
#[test]
fn effect_after_cause() {
    fn property(sender_wall: u16, receiver_wall: u16) -> bool {
        let (sender, receiver) = (HybridClock::default(), HybridClock::default());
        let sender_wall = u64::from(sender_wall) % MAX_CLOCK_OFFSET_MS;
        let cause = sender.next_at(sender_wall);
        receiver.observe_at(cause, u64::from(receiver_wall));
        cause < receiver.next_at(u64::from(receiver_wall))
    }
    check().quickcheck(property as fn(u16, u16) -> bool);
}

/// One host's clock is set to next year. Its stamps must not drag every other host's time line
/// along; an operator would see the whole system in the future.
#[test]
fn broken_clock_ignored() {
    let clock = HybridClock::default();
    let far = HybridTimestamp {
        millis: 5_000 + MAX_CLOCK_OFFSET_MS + 1,
        counter: 0,
    };
    clock.observe_at(far, 5_000);
    assert_eq!(clock.next_at(5_001).millis, 5_001);
}
