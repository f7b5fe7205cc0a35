//! State of a target that states a limit on the requests of all nodes together.

use std::time::Duration;

use serving::lease::LeaseLedger;
use serving::target_limit::TargetLimit;

/// A target that states a limit.
#[derive(Debug)]
pub struct LimitedTarget {
    pub(crate) limit: TargetLimit,
    /// The turn to send to it, the only slot.
    pub(crate) turn: LeaseLedger,
    /// When the other nodes were last told, by this node or another.
    pub(crate) told_at: Duration,
    /// Requests sent since the turn was last claimed or renewed.
    pub(crate) sent: u64,
}
