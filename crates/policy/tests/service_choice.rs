//! Selection of an instance of a plain service.

use std::time::Duration;

use policy::service::{CallOutcome, InstanceStats, choose_instance};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn instances() -> Vec<InstanceStats> {
    vec![InstanceStats::default(); 3]
}

/// Sends a call every 10 ms; `respond` returns an instance's latency and outcome.
fn send_calls(
    instances: &mut [InstanceStats],
    calls: u64,
    respond: impl Fn(usize) -> (Duration, CallOutcome),
) -> [usize; 3] {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = [0; 3];
    let mut in_progress: Vec<(Duration, usize, Duration, CallOutcome)> = Vec::new();
    for call in 0..calls {
        let now = Duration::from_millis(call * 10);
        in_progress.retain(|(end, index, elapsed, outcome)| {
            if *end <= now {
                instances[*index].record_ended(*end, *elapsed, *outcome);
            }
            *end > now
        });
        let index = choose_instance(instances, now, |_| true, &mut rng).expect("there are three");
        instances[index].record_sent();
        counts[index] += 1;
        let (elapsed, outcome) = respond(index);
        in_progress.push((now + elapsed, index, elapsed, outcome));
    }
    counts
}

/// Equal instances get about the same number of calls.
#[test]
fn equal_instances_share_the_calls() {
    let fast = |_| (Duration::from_millis(20), CallOutcome::Responded);
    let counts = send_calls(&mut instances(), 3_000, fast);
    assert!(counts.iter().all(|count| *count > 700), "{counts:?}");
}

/// One instance is ten times slower. If it still got its share of the calls, users would notice.
#[test]
fn slow_instance_gets_few_calls() {
    let counts = send_calls(&mut instances(), 3_000, |index| {
        let factor = if index == 0 { 10 } else { 1 };
        (Duration::from_millis(20 * factor), CallOutcome::Responded)
    });
    assert!(counts[0] < 450, "{counts:?}");
}

/// Calls to a failing instance are given up before they are sent. They say nothing about it, so it
/// must stay ejected; otherwise the next calls would run into its failures.
#[test]
fn unsent_call_clears_no_failure() {
    let mut instances = instances();
    let now = Duration::from_secs(1);
    for _ in 0..5 {
        instances[0].record_sent();
        instances[0].record_ended(now, Duration::from_millis(1), CallOutcome::Failed);
    }
    for _ in 0..3 {
        instances[0].record_sent();
        instances[0].record_unsent();
    }
    let counts = send_calls(&mut instances, 10, |_| {
        (Duration::from_millis(20), CallOutcome::Responded)
    });
    assert_eq!(counts[0], 0, "{counts:?}");
}

/// One instance refuses every connection immediately and therefore looks idle.
#[test]
fn failing_instance_gets_hardly_any_calls() {
    let counts = send_calls(&mut instances(), 3_000, |index| match index {
        0 => (Duration::from_millis(1), CallOutcome::Failed),
        _ => (Duration::from_millis(20), CallOutcome::Responded),
    });
    assert!((2..=40).contains(&counts[0]), "{counts:?}");
}

/// All instances have failed. One is still chosen, because only a call detects recovery; an
/// instance that the caller excludes is never chosen.
#[test]
fn ejected_instance_is_used_as_last_resort() {
    let mut instances = instances();
    for instance in &mut instances {
        for _ in 0..4 {
            instance.record_sent();
            instance.record_ended(Duration::ZERO, Duration::ZERO, CallOutcome::Failed);
        }
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let chosen = choose_instance(&instances, Duration::ZERO, |index| index == 2, &mut rng);
    assert_eq!(chosen, Some(2));
    let none = choose_instance(&instances, Duration::ZERO, |_| false, &mut rng);
    assert_eq!(none, None);
}
