//! The waits on the way of a change end within its bound, also two failed ones in a row.

use std::time::Duration;

use quickcheck::quickcheck;
use serving::feed::{FeedTiming, MAX_JITTER};

/// Delay after a call that returned changes, at most, of a node that reads the store itself in a small
/// deployment.
const BATCH_DELAY: Duration = Duration::from_millis(80);

/// The same of a node that others follow.
const ROOT_BATCH_DELAY: Duration = Duration::from_millis(150);

/// Levels below the root in the largest deployment.
const LEVELS: u32 = 4;

/// Shortest bound that platforms set; see the sheets of the deployments.
const SHORTEST_BOUND_MS: u64 = 2000;

/// Longest bound that is tried.
const LONGEST_BOUND_MS: u64 = 20_000;

fn bound(millis: u64) -> Duration {
    let span = LONGEST_BOUND_MS - SHORTEST_BOUND_MS;
    Duration::from_millis(SHORTEST_BOUND_MS + millis % span)
}

/// Time in which a node that reads the store knows a change although its poll, and the call after it,
/// are not answered.
fn two_failed_calls(timing: FeedTiming, wait: Duration, depth: u32) -> Duration {
    let failed_poll = wait + timing.poll_slack();
    let first_delay = timing.retry_delay(1, depth).mul_f64(MAX_JITTER);
    let failed_call = timing.poll_slack();
    let second_delay = timing.retry_delay(2, depth).mul_f64(MAX_JITTER);
    failed_poll + first_delay + failed_call + second_delay
}

quickcheck! {
    /// Guards against a node that learns of a change only after the bound because a poll went silent and
    /// the next call did so, too.
    fn reader_survives_two_failures(millis: u64) -> bool {
        let bound = bound(millis);
        let timing = FeedTiming::new(bound);
        BATCH_DELAY + two_failed_calls(timing, timing.poll_wait(), 0) < bound
    }

    /// Guards against the same at a node of a tree that has no source for the moment.
    fn lone_follower_survives_two_failures(millis: u64) -> bool {
        let bound = bound(millis);
        let timing = FeedTiming::new(bound);
        let delay = timing.max_batch_delay();
        (1..=LEVELS).all(|depth| {
            delay + two_failed_calls(timing, timing.root_poll_wait(), depth) < bound
        })
    }

    /// Guards against a node whose history the store has dropped, and that fails twice to read the table.
    fn reread_survives_two_failures(millis: u64) -> bool {
        let bound = bound(millis);
        let timing = FeedTiming::new(bound);
        let delays = timing.retry_delay(1, 1) + timing.retry_delay(2, 1);
        2 * timing.read_timeout() + delays.mul_f64(MAX_JITTER) < bound
    }

    /// Guards against the same at a node that others follow: what is left is for them.
    fn root_survives_two_failures(millis: u64) -> bool {
        let bound = bound(millis);
        let timing = FeedTiming::new(bound);
        let root = ROOT_BATCH_DELAY + two_failed_calls(timing, timing.root_poll_wait(), 0);
        root + timing.follow_slack() < bound
    }

    /// Guards against a follower that relies on a silent source until the bound has passed: it notices by
    /// the age of the data, asks one more source that does not respond either, and then the store.
    fn follower_leaves_in_time(millis: u64) -> bool {
        let bound = bound(millis);
        let timing = FeedTiming::new(bound);
        (1..=LEVELS).all(|depth| {
            let notices = timing.max_source_age(depth);
            let other_source = 2 * timing.follow_slack();
            notices + other_source + timing.poll_slack() / 2 < bound
        })
    }

    /// Guards against a follower whose source is suspended, and the next one as well.
    fn follower_survives_two_sources(millis: u64) -> bool {
        let bound = bound(millis);
        let timing = FeedTiming::new(bound);
        let suspended = timing.follow_wait() + timing.follow_slack();
        let next_source = 2 * timing.follow_slack();
        suspended + next_source + timing.poll_slack() < bound
    }

    /// Guards against calm nodes without a recent proof, which would answer each unknown route with 503.
    fn calm_proof_is_recent(millis: u64) -> bool {
        let bound = bound(millis);
        let timing = FeedTiming::new(bound);
        let polls = 2 * timing.poll_slack() + timing.poll_wait();
        polls + BATCH_DELAY + timing.follow_wait() / 2 < bound
    }

    /// Guards against sources that count as too old in calm times, so that all nodes read the store.
    fn calm_root_is_recent(millis: u64) -> bool {
        let timing = FeedTiming::new(bound(millis));
        let oldest = timing.root_poll_wait() + ROOT_BATCH_DELAY + timing.follow_slack();
        oldest < timing.max_source_age(1)
    }

    /// Guards against nodes that learn of the end of an outage only after the bound: neither the calls to
    /// the store nor those to a source pause for so long.
    fn outage_end_is_noticed(millis: u64) -> bool {
        let bound = bound(millis);
        let timing = FeedTiming::new(bound);
        let by_store = |depth| timing.max_retry_delay(depth).mul_f64(MAX_JITTER) + timing.poll_slack();
        (0..=LEVELS).all(|depth| by_store(depth) < bound) && timing.max_avoid_stale() < bound
    }
}
