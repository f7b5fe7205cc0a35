//! Tests of the rate limit and the circuit breaker.

use std::time::{Duration, Instant};

use platform::BudgetSettings;
use platform::StoreError;
use platform::budget::{CallPriority, TokenBucket};
use platform::circuit::{CircuitBreaker, CircuitState};
use quickcheck::{Gen, QuickCheck};

fn settings() -> BudgetSettings {
    BudgetSettings::builder()
        .writes_a_second(50)
        .burst_ms(1_000)
        .reserve_percent(50)
        .open_after(3)
        .first_open_ms(100)
        .longest_open_ms(1_000)
        .build()
}

fn unavailable() -> StoreError {
    StoreError::Unavailable("down".to_owned())
}

/// Whatever the pattern of calls, at most one burst plus the rate is admitted. Otherwise a node
/// that polls heavily could use up the capacity that other nodes need for payments.
#[test]
fn rate_never_exceeded() {
    fn property(calls: Vec<(u8, bool)>) -> bool {
        let start = Instant::now();
        let mut now = start;
        let mut bucket = TokenBucket::new(50, settings(), now);
        let mut admitted = 0.0;
        for (wait, high) in calls {
            now += Duration::from_millis(u64::from(wait));
            let priority = if high {
                CallPriority::High
            } else {
                CallPriority::Normal
            };
            if bucket.take(priority, now).is_ok() {
                admitted += 1.0;
            }
            let allowed = 50.0 + (now - start).as_secs_f64() * 50.0;
            if admitted > allowed + 1e-6 {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(300, 9))
        .quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

/// Constant polling with normal priority must not delay claims, which draw on the reserve.
#[test]
fn reserve_for_high_priority() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(50, settings(), now);
    let mut normal = 0;
    while bucket.take(CallPriority::Normal, now).is_ok() {
        normal += 1;
    }
    assert_eq!(normal, 25);
    for _ in 0..25 {
        assert!(bucket.take(CallPriority::High, now).is_ok());
    }
    let wait = bucket
        .take(CallPriority::High, now)
        .expect_err("the bucket is empty");
    assert!(bucket.take(CallPriority::High, now + wait * 2).is_ok());
}

/// While the store is down, calls are refused at once after a few failures. One call at a time
/// checks the store, and the first response closes the circuit.
#[test]
fn circuit_opens_and_closes() {
    let mut now = Instant::now();
    let mut circuit = CircuitBreaker::new(settings());
    for _ in 0..3 {
        assert!(circuit.admit(now).is_ok());
        circuit.record_failure(&unavailable(), now, 0.5);
    }
    assert_eq!(circuit.state(now), CircuitState::Open);
    assert!(circuit.admit(now).is_err());
    now += Duration::from_millis(110);
    assert!(circuit.admit(now).is_ok());
    assert!(
        circuit.admit(now).is_err(),
        "half-open admits only one call"
    );
    circuit.record_failure(&unavailable(), now, 0.0);
    now += Duration::from_millis(110);
    assert_eq!(
        circuit.state(now),
        CircuitState::Open,
        "the open time doubles"
    );
    now += Duration::from_millis(110);
    assert!(circuit.admit(now).is_ok());
    circuit.record_success();
    assert_eq!(circuit.state(now), CircuitState::Closed);
}

/// When the store recovers from a long outage, 410 nodes must not send their check calls within the
/// same tenth of a second.
#[test]
fn recovery_is_spread() {
    let start = Instant::now();
    let mut slots = [0_u32; 20];
    for node in 0_u32..410 {
        let mut circuit = CircuitBreaker::new(settings());
        let mut now = start;
        let mut seed = u64::from(node) * 0x9e37_79b9 + 1;
        while now < start + Duration::from_mins(1) {
            if circuit.admit(now).is_ok() {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let jitter =
                    f64::from(u32::try_from(seed >> 33).expect("31 bits")) / f64::from(1_u32 << 31);
                circuit.record_failure(&unavailable(), now, jitter);
            }
            now += Duration::from_millis(10);
        }
        let recovered = now;
        while circuit.admit(now).is_err() {
            now += Duration::from_millis(10);
        }
        let slot = usize::try_from((now - recovered).as_millis() / 100).expect("a small number");
        slots[slot.min(19)] += 1;
    }
    let busiest = slots.iter().max().copied().unwrap_or(0);
    assert!(busiest < 410 / 4, "{slots:?}");
}

/// A refusal for the rate limit shows that the store works, so it must not open the circuit.
#[test]
fn throttling_keeps_circuit_closed() {
    let now = Instant::now();
    let mut circuit = CircuitBreaker::new(settings());
    for _ in 0..20 {
        let throttled = StoreError::Throttled {
            retry_after: Duration::from_secs(1),
        };
        circuit.record_failure(&throttled, now, 0.5);
    }
    assert_eq!(circuit.state(now), CircuitState::Closed);
}
