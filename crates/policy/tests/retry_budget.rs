//! Retries within a budget.

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

/// Every target fails for a minute while 100 callers a second ask. If each request were sent four
/// times, the targets would get 400 a second just when they struggle.
#[test]
fn retries_stay_bounded_when_all_fails() {
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
        "{retries} retries of 6000 calls"
    );
}

/// One call in twenty fails. Each is retried, because the successes pay for it.
#[test]
fn rare_failures_are_all_retried() {
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

/// A fee payment was sent and no answer came. To send it again could charge the trader twice,
/// whatever budget is left.
#[test]
fn begun_payment_is_never_repeated() {
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

/// No attempt starts after its deadline or beyond the limit, and the waits differ.
#[test]
fn attempts_end_in_time() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetrySettings::default());
    let late = FailedAttempt {
        deadline: Duration::from_secs(1),
        ..attempt(1)
    };
    let decision = budget.decide(Duration::from_secs(1), &late, &mut rng);
    assert_eq!(
        decision,
        RetryDecision::GiveUp(GiveUpReason::DeadlineExceeded)
    );
    let decision = budget.decide(Duration::from_secs(1), &attempt(4), &mut rng);
    assert_eq!(
        decision,
        RetryDecision::GiveUp(GiveUpReason::AttemptsExhausted)
    );
    let mut waits = Vec::new();
    for _ in 0..5 {
        if let RetryDecision::Retry { wait } =
            budget.decide(Duration::from_secs(1), &attempt(2), &mut rng)
        {
            waits.push(wait);
        }
    }
    waits.sort();
    waits.dedup();
    assert_eq!(waits.len(), 5);
}
