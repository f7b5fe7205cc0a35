//! The share of the table's limits, and the circuit.

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

fn down() -> StoreError {
    StoreError::Unavailable("down".to_owned())
}

/// Whatever the pattern of calls, no more pass than the rate allows beyond one burst: a node that
/// polls hard can't take what the others' payments need.
#[test]
fn rate_kept() {
    fn holds(calls: Vec<(u8, bool)>) -> bool {
        let start = Instant::now();
        let mut now = start;
        let mut bucket = TokenBucket::new(50, settings(), now);
        let mut passed = 0.0;
        for (wait, urgent) in calls {
            now += Duration::from_millis(u64::from(wait));
            let priority = if urgent {
                CallPriority::High
            } else {
                CallPriority::Normal
            };
            if bucket.take(priority, now).is_ok() {
                passed += 1.0;
            }
            let allowed = 50.0 + (now - start).as_secs_f64() * 50.0;
            if passed > allowed + 1e-6 {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(300, 9))
        .quickcheck(holds as fn(Vec<(u8, bool)>) -> bool);
}

/// Housekeeping polls without end. A trader's claim still passes at once.
#[test]
fn urgent_first() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(50, settings(), now);
    let mut routine = 0;
    while bucket.take(CallPriority::Normal, now).is_ok() {
        routine += 1;
    }
    assert_eq!(routine, 25);
    for _ in 0..25 {
        assert!(bucket.take(CallPriority::High, now).is_ok());
    }
    let wait = bucket.take(CallPriority::High, now).expect_err("empty");
    assert!(bucket.take(CallPriority::High, now + wait * 2).is_ok());
}

/// The store is down. After a few failures calls are refused without waiting for it; now and then
/// one finds out, and the first answer lets all pass again.
#[test]
fn circuit_opens() {
    let mut now = Instant::now();
    let mut circuit = CircuitBreaker::new(settings());
    for _ in 0..3 {
        assert!(circuit.admit(now).is_ok());
        circuit.record_failure(&down(), now, 0.5);
    }
    assert_eq!(circuit.state(now), CircuitState::Open);
    assert!(circuit.admit(now).is_err());
    now += Duration::from_millis(110);
    assert!(circuit.admit(now).is_ok());
    assert!(circuit.admit(now).is_err(), "one finds out, not all");
    circuit.record_failure(&down(), now, 0.0);
    now += Duration::from_millis(110);
    assert_eq!(circuit.state(now), CircuitState::Open, "twice as long");
    now += Duration::from_millis(110);
    assert!(circuit.admit(now).is_ok());
    circuit.record_success();
    assert_eq!(circuit.state(now), CircuitState::Closed);
}

/// The store comes back after an hour. 410 nodes find out at moments of their own, and not all in
/// the same tenth of a second.
#[test]
fn no_stampede() {
    let start = Instant::now();
    let mut slots = [0_u32; 20];
    for node in 0_u32..410 {
        let mut circuit = CircuitBreaker::new(settings());
        let mut now = start;
        let mut seed = u64::from(node) * 0x9e37_79b9 + 1;
        while now < start + Duration::from_mins(1) {
            if circuit.admit(now).is_ok() {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let chance =
                    f64::from(u32::try_from(seed >> 33).expect("31 bits")) / f64::from(1_u32 << 31);
                circuit.record_failure(&down(), now, chance);
            }
            now += Duration::from_millis(10);
        }
        let back = now;
        while circuit.admit(now).is_err() {
            now += Duration::from_millis(10);
        }
        let slot = usize::try_from((now - back).as_millis() / 100).expect("small");
        slots[slot.min(19)] += 1;
    }
    let most = slots.iter().max().copied().unwrap_or(0);
    assert!(most < 410 / 4, "{slots:?}");
}

/// A refusal for the limit means that the store lives; it must not cut all calls off.
#[test]
fn limit_no_outage() {
    let now = Instant::now();
    let mut circuit = CircuitBreaker::new(settings());
    for _ in 0..20 {
        let limit = StoreError::Throttled {
            retry_after: Duration::from_secs(1),
        };
        circuit.record_failure(&limit, now, 0.5);
    }
    assert_eq!(circuit.state(now), CircuitState::Closed);
}
