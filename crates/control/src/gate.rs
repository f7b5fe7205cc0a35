//! The deadline until which a node may serve requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Tells the request path whether the node may serve now. Clones share the deadline.
///
/// It stores a deadline instead of a flag: a process that resumes after a suspension takes requests
/// before any of its tasks could clear a flag, and would serve them with an outdated
/// configuration. The default gate is always open.
#[derive(Debug, Clone, Default)]
pub struct ServiceGate {
    shared: Option<Arc<GateDeadline>>,
}

#[derive(Debug)]
struct GateDeadline {
    base: Instant,
    until_ms: AtomicU64,
}

impl ServiceGate {
    /// A gate that is closed until [`Self::open_until`] is called.
    #[must_use]
    pub fn closed() -> Self {
        let deadline = GateDeadline {
            base: Instant::now(),
            until_ms: AtomicU64::new(0),
        };
        Self {
            shared: Some(Arc::new(deadline)),
        }
    }

    /// Sets the deadline; one in the past closes the gate.
    pub fn open_until(&self, until: Instant) {
        let Some(deadline) = &self.shared else { return };
        let open = until.saturating_duration_since(deadline.base);
        let until_ms = u64::try_from(open.as_millis()).unwrap_or(u64::MAX);
        deadline.until_ms.store(until_ms, Ordering::Release);
    }

    /// Whether the gate is open at `now`.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        let Some(deadline) = &self.shared else {
            return true;
        };
        let until = Duration::from_millis(deadline.until_ms.load(Ordering::Acquire));
        now.saturating_duration_since(deadline.base) < until
    }
}
