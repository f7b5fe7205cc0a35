//! Which requests a stopping node accepts, and when it exits.

use std::time::Duration;

use cases::properties;
use serving::ShutdownPlan;

const GRACE: Duration = Duration::from_secs(8);

fn plan() -> ShutdownPlan {
    ShutdownPlan::new(Duration::from_secs(100), GRACE)
}

/// While the nodes of a failure domain are stopped one after another, the load balancer keeps
/// sending to them. A stream of up to eight seconds that is accepted six seconds after the signal
/// would be cut off halfway, so it must be refused while its client can still be served elsewhere.
#[test]
fn late_stream_refused() {
    let now = Duration::from_secs(106);
    assert!(!plan().accepts(now, now + Duration::from_secs(8)));
    // A call of a plain service that ends in time is still accepted.
    assert!(plan().accepts(now, now + Duration::from_millis(800)));
}

/// The load balancer still sends requests for two seconds after the signal. They are accepted as
/// before.
#[test]
fn early_stream_accepted() {
    let now = Duration::from_secs(102);
    assert!(plan().accepts(now, now + Duration::from_secs(8)));
    assert!(!plan().closes_connections(now));
}

#[test]
fn idle_process_exits() {
    assert!(!plan().is_over(Duration::from_secs(102), true));
    assert!(plan().is_over(Duration::from_secs(104), true));
    assert!(!plan().is_over(Duration::from_secs(104), false));
    assert!(plan().is_over(Duration::from_secs(108), false));
}

properties! {
    /// Requests accepted after the load balancer has had time to react end before the process
    /// exits.
    fn late_requests_end_in_time(after_ms: u16, limit_ms: u16, grace_s: u8) -> bool {
        let began = Duration::from_secs(5);
        let plan = ShutdownPlan::new(began, Duration::from_secs(u64::from(grace_s)));
        let now = began + Duration::from_millis(u64::from(after_ms));
        let deadline = now + Duration::from_millis(u64::from(limit_ms));
        !plan.closes_connections(now) || !plan.accepts(now, deadline) || deadline <= plan.end()
    }
}
