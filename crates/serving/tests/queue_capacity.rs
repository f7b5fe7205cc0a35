//! How much may wait at a full replica.

use std::time::Duration;

use cases::properties;
use serving::ReplicaTiming;

/// A replica of 26 places: 7 ms a step, seven steps a pass, prompts of 1,115 tokens.
fn pace() -> ReplicaTiming {
    ReplicaTiming {
        completion_interval: Duration::from_millis(70),
        decode_pass: Duration::from_millis(50),
        prefill: Duration::from_millis(22),
        prefill_rate: 50_700.0,
    }
}

/// All replicas are full and callers keep coming. One that is let in behind four others gets its
/// first token after 350 ms of the 300 that it should take, and so does everyone after it: half of
/// the answers are late though as many are refused. Two places end in time.
#[test]
fn queue_ends_in_time() {
    let target = Duration::from_millis(300);
    let places = pace().queue_capacity(target).expect("a step model");
    let waited = pace().completion_interval.mul_f64(places) + pace().decode_pass + pace().prefill;
    assert!(waited <= target, "{places} places take {waited:?}");
    assert!(places >= 2.0, "{places}");
}

/// A target that a pass alone uses up: only free places are taken.
#[test]
fn short_target_never_waits() {
    let places = pace().queue_capacity(Duration::from_millis(60));
    assert_eq!(places, Some(0.0));
}

/// A service that publishes no step model is served by a plain limit instead.
#[test]
fn no_step_model() {
    assert_eq!(
        ReplicaTiming::default().queue_capacity(Duration::from_secs(1)),
        None
    );
}

properties! {
    /// Whatever is let in has its first token due within the target, at any pace.
    fn places_fit(target_ms: u16, factor: u8) -> bool {
        let pace = pace().scaled(f64::from(factor) / 16.0);
        let target = Duration::from_millis(u64::from(target_ms));
        let places = pace.queue_capacity(target).unwrap_or(0.0);
        places == 0.0 || pace.completion_interval.mul_f64(places) + pace.decode_pass + pace.prefill <= target
    }
}
