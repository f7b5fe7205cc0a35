//! The budget of repeats that all nodes share without a message.

use std::time::Duration;

use cases::properties;
use serving::RetryBudget;
use serving::retry_budget::RetryLimits;

const LIMITS: RetryLimits = RetryLimits {
    window: Duration::from_secs(10),
    ratio: 0.2,
    extra: 130.0,
};

/// All answers of a service are lost for a while. Repeating each request would double its load;
/// the repeats stay within the agreed part.
#[test]
fn storm_stays_within() {
    let mut budget = RetryBudget::new(LIMITS);
    let mut taken = 0;
    for step in 0..1000_u64 {
        let now = Duration::from_millis(step * 10);
        budget.record_request(now);
        if budget.take(now, 6) {
            taken += 1;
        }
    }
    assert!((100..=221).contains(&taken), "{taken}");
}

/// The budget is back a window after a storm.
#[test]
fn window_slides() {
    let mut budget = RetryBudget::new(LIMITS);
    while budget.take(Duration::ZERO, 6) {}
    assert!(!budget.take(Duration::from_secs(9), 6));
    assert!(budget.take(Duration::from_secs(12), 6));
}

properties! {
    /// In any window the repeats of all nodes together stay within the limit for all of them.
    fn sum_within_limit(gaps: Vec<(u8, u8, bool)>) -> bool {
        let nodes = 4;
        let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::new(LIMITS)).collect();
        let mut now = Duration::ZERO;
        let mut requests: Vec<Duration> = Vec::new();
        let mut repeats: Vec<Duration> = Vec::new();
        for (gap, node, repeat) in gaps {
            now += Duration::from_millis(u64::from(gap) * 3);
            let budget = &mut budgets[usize::from(node) % nodes];
            if repeat {
                for _ in 0..20 {
                    if budget.take(now, nodes) {
                        repeats.push(now);
                    }
                }
            } else {
                budget.record_request(now);
                requests.push(now);
            }
            let start = now.saturating_sub(LIMITS.window);
            let within = |times: &[Duration]| times.iter().filter(|at| **at >= start).count();
            let allowed = 0.2 * f64::from(u32::try_from(within(&requests)).unwrap()) + 130.0;
            if f64::from(u32::try_from(within(&repeats)).unwrap()) > allowed {
                return false;
            }
        }
        true
    }
}
