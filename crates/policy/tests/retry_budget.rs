//! Retry decisions within the budget.

use std::time::Duration;

use policy::retry::{FailedAttempt, GiveUpReason, RetryBudget, RetryDecision, RetrySettings};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn attempt(number: u32) -> FailedAttempt {
    FailedAttempt::builder()
        .number(number)
        .idempotent(true)
        .possibly_sent(true)
        .deadline(Duration::from_hours(1))
        .build()
}

/// Every target fails for a minute while clients send 100 requests per second. Without the budget
/// each request would be sent four times, and the targets would get 400 requests per second while
/// they are struggling.
#[test]
fn retries_are_bounded_when_everything_fails() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetrySettings::default());
    let mut retries = 0;
    for call in 0..6_000_u64 {
        let now = Duration::from_millis(call * 10);
        for number in 1..=4 {
            let RetryDecision::Retry { .. } = budget.decide(now, &attempt(number), &mut rng) else {
                break;
            };
            retries += 1;
        }
    }
    assert!(
        (30..=45).contains(&retries),
        "{retries} retries for 6000 calls"
    );
}

/// One call in twenty fails. Each one is retried, because the successes have added enough to the
/// budget.
#[test]
fn rare_failures_are_always_retried() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetrySettings::default());
    for call in 0..2_000_u64 {
        let now = Duration::from_millis(call);
        if call % 20 != 0 {
            budget.record_success();
            continue;
        }
        let decision = budget.decide(now, &attempt(1), &mut rng);
        assert!(
            matches!(decision, RetryDecision::Retry { .. }),
            "{decision:?}"
        );
    }
}

/// A payment was sent and no response arrived. Sending it again could charge the user twice, so it
/// is not retried regardless of the budget.
#[test]
fn possibly_sent_payment_is_not_retried() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetrySettings::default());
    let payment = FailedAttempt {
        idempotent: false,
        ..attempt(1)
    };
    let decision = budget.decide(Duration::ZERO, &payment, &mut rng);
    assert_eq!(decision, RetryDecision::GiveUp(GiveUpReason::MayHaveRun));
    let unsent = FailedAttempt {
        possibly_sent: false,
        ..payment
    };
    let decision = budget.decide(Duration::ZERO, &unsent, &mut rng);
    assert!(matches!(decision, RetryDecision::Retry { .. }));
}

/// No attempt starts after the deadline or beyond the limit, and the delays differ.
#[test]
fn attempts_respect_deadline_and_limit() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetrySettings::default());
    let expired = FailedAttempt {
        deadline: Duration::from_secs(1),
        ..attempt(1)
    };
    let decision = budget.decide(Duration::from_secs(1), &expired, &mut rng);
    assert_eq!(
        decision,
        RetryDecision::GiveUp(GiveUpReason::DeadlineExceeded)
    );
    let decision = budget.decide(Duration::from_secs(1), &attempt(4), &mut rng);
    assert_eq!(
        decision,
        RetryDecision::GiveUp(GiveUpReason::AttemptsExhausted)
    );
    let mut delays = Vec::new();
    for _ in 0..5 {
        if let RetryDecision::Retry { wait } =
            budget.decide(Duration::from_secs(1), &attempt(2), &mut rng)
        {
            delays.push(wait);
        }
    }
    delays.sort();
    delays.dedup();
    assert_eq!(delays.len(), 5);
}
