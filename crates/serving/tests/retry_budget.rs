//! The retry budget of one service on one node.

use std::time::Duration;

use cases::properties;
use serving::RetryBudget;
use serving::retry_budget::{RetryLimits, RetryPurpose};

const LIMITS: RetryLimits = RetryLimits {
    window: Duration::from_secs(10),
    ratio: 0.2,
    extra: 130.0,
};

/// Extra retries that one of six nodes leases.
const LEASED: u32 = 18;

fn is_taken(budget: &mut RetryBudget, now: Duration, leased: u32) -> bool {
    budget.take(now, leased, RetryPurpose::Resume).is_some()
}

/// If all responses of a service are lost for a while, retrying each request would double its load.
/// The retries must stay within the ratio.
#[test]
fn retry_storm_limited() {
    let mut budget = RetryBudget::new(LIMITS);
    let mut taken = 0;
    for step in 0..1000_u64 {
        let now = Duration::from_millis(step * 10);
        budget.record_request(now);
        if is_taken(&mut budget, now, LEASED) {
            taken += 1;
        }
    }
    assert!((100..=221).contains(&taken), "{taken}");
}

/// The full budget is available again one window after it was used up.
#[test]
fn window_slides() {
    let mut budget = RetryBudget::new(LIMITS);
    while is_taken(&mut budget, Duration::ZERO, LEASED) {}
    assert!(!is_taken(&mut budget, Duration::from_secs(9), LEASED));
    assert!(is_taken(&mut budget, Duration::from_secs(12), LEASED));
}

/// Guards against retries that a node goes on to make after its leases have ended.
#[test]
fn ended_leases_count_at_once() {
    let mut budget = RetryBudget::new(LIMITS);
    assert!(is_taken(&mut budget, Duration::ZERO, LEASED));
    assert!(!is_taken(&mut budget, Duration::ZERO, 0));
}

/// Guards against streams that end half delivered because rejected requests took all retries.
#[test]
fn streams_keep_a_reserve() {
    let mut budget = RetryBudget::new(LIMITS);
    let now = Duration::ZERO;
    while budget.take(now, LEASED, RetryPurpose::Start).is_some() {}
    assert!(budget.take(now, LEASED, RetryPurpose::Resume).is_some());
}

/// Guards against retries that are used up by connections that failed before anything was sent.
#[test]
fn unsent_retry_returned() {
    let mut budget = RetryBudget::new(LIMITS);
    let now = Duration::ZERO;
    for _ in 0..10 * LEASED {
        let ticket = budget.take(now, LEASED, RetryPurpose::Start);
        budget.give_back(ticket.expect("all were returned"));
    }
}

properties! {
    /// In any window the retries of all nodes together stay within the shared limit.
    fn total_within_limit(gaps: Vec<(u8, u8, bool)>) -> bool {
        let nodes = 4;
        let leased = u32::try_from(LIMITS.slot_count() / nodes).unwrap()
            * serving::retry_budget::RETRIES_PER_SLOT;
        let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::new(LIMITS)).collect();
        let mut now = Duration::ZERO;
        let mut requests: Vec<Duration> = Vec::new();
        let mut retries: Vec<Duration> = Vec::new();
        for (gap, node, is_retry) in gaps {
            now += Duration::from_millis(u64::from(gap) * 3);
            let budget = &mut budgets[usize::from(node) % nodes];
            if is_retry {
                for _ in 0..20 {
                    if is_taken(budget, now, leased) {
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
