//! The retry budget that nodes share without exchanging messages.

use std::time::Duration;

use cases::properties;
use serving::RetryBudget;
use serving::retry_budget::RetryLimits;

const LIMITS: RetryLimits = RetryLimits {
    window: Duration::from_secs(10),
    ratio: 0.2,
    extra: 130.0,
};

/// If all responses of a service are lost for a while, retrying each request would double its load.
/// The retries must stay within the ratio.
#[test]
fn retry_storm_limited() {
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

/// The full budget is available again one window after it was used up.
#[test]
fn window_slides() {
    let mut budget = RetryBudget::new(LIMITS);
    while budget.take(Duration::ZERO, 6) {}
    assert!(!budget.take(Duration::from_secs(9), 6));
    assert!(budget.take(Duration::from_secs(12), 6));
}

properties! {
    /// In any window the retries of all nodes together stay within the shared limit.
    fn total_within_limit(gaps: Vec<(u8, u8, bool)>) -> bool {
        let nodes = 4;
        let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::new(LIMITS)).collect();
        let mut now = Duration::ZERO;
        let mut requests: Vec<Duration> = Vec::new();
        let mut retries: Vec<Duration> = Vec::new();
        for (gap, node, is_retry) in gaps {
            now += Duration::from_millis(u64::from(gap) * 3);
            let budget = &mut budgets[usize::from(node) % nodes];
            if is_retry {
                for _ in 0..20 {
                    if budget.take(now, nodes) {
                        retries.push(now);
                    }
                }
            } else {
                budget.record_request(now);
                requests.push(now);
            }
            let start = now.saturating_sub(LIMITS.window);
            let within = |times: &[Duration]| times.iter().filter(|at| **at >= start).count();
            let allowed = 0.2 * f64::from(u32::try_from(within(&requests)).unwrap()) + 130.0;
            if f64::from(u32::try_from(within(&retries)).unwrap()) > allowed {
                return false;
            }
        }
        true
    }
}
