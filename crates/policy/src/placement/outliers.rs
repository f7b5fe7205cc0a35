//! Detection of stragglers and the limit on ejected targets.

use std::time::Duration;

use super::health::HealthStatus;
use super::pool::TargetPool;

/// Interval at which the median slowness is recomputed and stragglers are ejected.
const OUTLIER_CHECK_PERIOD: Duration = Duration::from_secs(1);

impl TargetPool {
    /// Recomputes the median slowness and ejects stragglers, up to the maximum ejected fraction.
    ///
    /// It runs over all targets once per second, which is negligible next to 13 requests per second
    /// and bounded with 1,500 engines.
    pub(super) fn eject_stragglers(&mut self, now: Duration) {
        let due = self
            .outliers_checked_at
            .is_none_or(|at| now >= at + OUTLIER_CHECK_PERIOD);
        if !due || self.targets.is_empty() {
            return;
        }
        self.outliers_checked_at = Some(now);
        let mut slowness: Vec<f64> = self
            .targets
            .values()
            .map(|state| state.health.slowness(now))
            .collect();
        let middle = slowness.len() / 2;
        let (_, median, _) = slowness.select_nth_unstable_by(middle, f64::total_cmp);
        self.median_slowness = *median;
        let mut allowed = self.allowed_ejections(now);
        let settings = self.settings.health;
        for state in self.targets.values_mut() {
            if allowed == 0 {
                break;
            }
            let healthy = state.health.status(now) == HealthStatus::Healthy;
            if !healthy
                || !state
                    .health
                    .is_straggler(now, self.median_slowness, &settings)
            {
                continue;
            }
            state.health.eject(now, &settings);
            allowed -= 1;
        }
    }

    pub(super) fn allowed_ejections(&self, now: Duration) -> usize {
        let ejected = self
            .targets
            .values()
            .filter(|state| state.health.status(now) == HealthStatus::Ejected)
            .count();
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let limit =
            (self.targets.len() as f64 * self.settings.health.max_ejected_fraction) as usize;
        limit
            .max(usize::from(self.targets.len() > 1))
            .saturating_sub(ejected)
    }
}
