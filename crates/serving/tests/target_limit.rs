//! What the holder of a limited target's turn sends.

use std::time::Duration;

use cases::properties;
use domain::BootNumber;
use serving::target_limit::TargetLimit;

/// Window of the limit, and what it allows beside its rate.
const WINDOW: Duration = Duration::from_secs(4);
const SLACK: f64 = 5.0;

/// Requests at least in a minute, however low the limit.
const CHECKS: usize = 10;

/// Moments at which a holder sends that always has a request; the turn passes to another node at each
/// handover, which begins anew.
fn sent_times(rate: f64, handovers: &[Duration]) -> Vec<Duration> {
    let mut limit = TargetLimit::new(rate, BootNumber(1), Duration::ZERO);
    let mut sent = Vec::new();
    for step in 0..6000_u32 {
        let now = Duration::from_millis(10) * step;
        if handovers.contains(&now) {
            limit = TargetLimit::new(rate, BootNumber(1), Duration::ZERO);
        }
        if limit.admits(now) {
            limit.record_sent(now);
            sent.push(now);
        }
    }
    sent
}

properties! {
    /// Guards against a holder that sends more than the limit allows, also where the turn changes hands.
    fn rate_is_held(tenths: u8, handover: u16) -> bool {
        let rate = f64::from(tenths) / 10.0;
        let handover = Duration::from_millis(u64::from(handover % 6000) * 10);
        let sent = sent_times(rate, &[handover]);
        let allowed = rate * WINDOW.as_secs_f64() * 1.5 + SLACK;
        sent.iter().all(|from| {
            let within = sent.iter().filter(|at| **at >= *from && **at <= *from + WINDOW);
            f64::from(u32::try_from(within.count()).unwrap()) <= allowed
        })
    }
}

/// Guards against a target that is left alone for good: a limit of zero ends only in an answer.
#[test]
fn lowest_limit_is_checked() {
    assert!(sent_times(0.0, &[]).len() >= CHECKS);
}
