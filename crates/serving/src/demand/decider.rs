//! When the shares in force change.

use std::time::Duration;

/// Change of a share for which hosts are moved. Less is a replica or two, and waves of the traffic.
const MIN_SHIFT: f64 = 0.06;

/// Time for which that change must be wanted.
const SHIFT_PERSISTENCE: Duration = Duration::from_secs(2);

/// Time between two changes, in which hosts follow the first and clients notice.
const SHIFT_INTERVAL: Duration = Duration::from_secs(15);

/// Decides when the shares in force change. Moving hosts costs time in which they serve nobody, so
/// shares follow neither a burst nor a wave of the traffic.
#[derive(Debug, Clone, Default)]
pub struct ShareDecider {
    wanted_since: Option<Duration>,
    decided_at: Option<Duration>,
}

impl ShareDecider {
    /// Whether `wanted` should replace the shares `in_force` now.
    pub fn decide(&mut self, in_force: &[f64], wanted: &[f64], now: Duration) -> bool {
        let pairs = in_force.iter().zip(wanted);
        let shift = pairs
            .map(|(left, right)| (left - right).abs())
            .fold(0.0, f64::max);
        if shift < MIN_SHIFT {
            self.wanted_since = None;
            return false;
        }
        let since = *self.wanted_since.get_or_insert(now);
        let is_lasting = now.saturating_sub(since) >= SHIFT_PERSISTENCE;
        let is_settled = self
            .decided_at
            .is_none_or(|at| now.saturating_sub(at) >= SHIFT_INTERVAL);
        if !is_lasting || !is_settled {
            return false;
        }
        self.wanted_since = None;
        self.decided_at = Some(now);
        true
    }
}
