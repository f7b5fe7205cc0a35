//! What a stopping node takes and when it ends.

use std::time::Duration;

use cases::properties;
use serving::ShutdownPlan;

const GRACE: Duration = Duration::from_secs(8);

fn plan() -> ShutdownPlan {
    ShutdownPlan::new(Duration::from_secs(100), GRACE)
}

/// Nodes of one failure domain are stopped one after the other, so the balancer goes on sending
/// to those that stop. A stream that may last eight seconds and is taken six seconds after the
/// signal would be cut off in the middle; its caller is sent elsewhere while it still has time.
#[test]
fn late_stream_refused() {
    let now = Duration::from_secs(106);
    assert!(!plan().accepts(now, now + Duration::from_secs(8)));
    // A call of a plain service that is over in time is still served.
    assert!(plan().accepts(now, now + Duration::from_millis(800)));
}

/// The balancer sends callers for two seconds after the signal. They are served as before.
#[test]
fn early_stream_served() {
    let now = Duration::from_secs(102);
    assert!(plan().accepts(now, now + Duration::from_secs(8)));
    assert!(!plan().closes_connections(now));
}

#[test]
fn idle_process_ends() {
    assert!(!plan().is_over(Duration::from_secs(102), true));
    assert!(plan().is_over(Duration::from_secs(104), true));
    assert!(!plan().is_over(Duration::from_secs(104), false));
    assert!(plan().is_over(Duration::from_secs(108), false));
}

properties! {
    /// Whatever is taken after the balancer's time is over before the process ends.
    fn nothing_late_cut(after_ms: u16, limit_ms: u16, grace_s: u8) -> bool {
        let began = Duration::from_secs(5);
        let plan = ShutdownPlan::new(began, Duration::from_secs(u64::from(grace_s)));
        let now = began + Duration::from_millis(u64::from(after_ms));
        let deadline = now + Duration::from_millis(u64::from(limit_ms));
        !plan.closes_connections(now) || !plan.accepts(now, deadline) || deadline <= plan.end()
    }
}
