//! A node that relies on another one must notice in time that the other knows nothing new.

use std::time::Duration;

use serving::feed::{FeedSample, FeedTiming};

/// Shortest time within which a draining target must get no new requests, of all deployments that
/// are large enough for a tree.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Times for that bound.
fn timing() -> FeedTiming {
    FeedTiming::new(DRAIN_BOUND)
}

const FRESH: FeedSample = FeedSample {
    age: Duration::from_millis(900),
    is_cut_off: false,
    behind_for: Duration::ZERO,
};

#[test]
fn calm_source_is_usable() {
    assert!(FRESH.is_usable(timing(), 1));
    assert!(FRESH.is_usable(timing(), 2));
}

/// Guards against a reader that can't reach the store while its followers believe that nothing
/// changes, and go on sending to targets that drain.
#[test]
fn cut_off_source_is_not() {
    let sample = FeedSample {
        is_cut_off: true,
        ..FRESH
    };
    assert!(!sample.is_usable(timing(), 1));
}

/// Guards against a source that believes itself recent but never learns what its follower knows.
#[test]
fn source_that_stays_behind_is_not() {
    let sample = FeedSample {
        behind_for: Duration::from_secs(2),
        ..FRESH
    };
    assert!(!sample.is_usable(timing(), 1));
}

/// Guards against a node that reads the store once and then leaves each source, since none is quite
/// as recent while much changes.
#[test]
fn source_may_be_behind_for_a_moment() {
    let sample = FeedSample {
        behind_for: Duration::from_millis(500),
        ..FRESH
    };
    assert!(sample.is_usable(timing(), 1));
}

/// Guards against followers of a silent reader that notice only after the drain bound.
#[test]
fn silence_shows_within_drain_bound() {
    for depth in 1..=2 {
        assert!(timing().max_source_age(depth) < DRAIN_BOUND);
        let sample = FeedSample {
            age: DRAIN_BOUND,
            ..FRESH
        };
        assert!(!sample.is_usable(timing(), depth));
    }
}

/// Guards against a whole failure domain that turns to the store at once when its reader falls
/// silent: the nodes next to it notice first.
#[test]
fn upper_levels_notice_first() {
    assert!(timing().max_source_age(1) < timing().max_source_age(2));
    assert!(timing().max_source_age(2) < timing().max_source_age(3));
}
