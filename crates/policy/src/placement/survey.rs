//! Finding stragglers, and the limit on how many targets are left out.

use std::time::Duration;

use super::health::HealthVerdict;
use super::pool::TargetPool;

/// How often the median slowness is worked out anew and stragglers are looked for.
const SURVEY_PERIOD: Duration = Duration::from_secs(1);

impl TargetPool {
    /// Works out the median slowness and ejects stragglers, within the limit on their share.
    ///
    /// Once a second over all targets, which is nothing for each of 13 requests a second and
    /// bounded for one of 1,500 engines.
    pub(super) fn survey(&mut self, now: Duration) {
        let due = self.surveyed_at.is_none_or(|at| now >= at + SURVEY_PERIOD);
        if !due || self.targets.is_empty() {
            return;
        }
        self.surveyed_at = Some(now);
        let mut all: Vec<f64> = self
            .targets
            .values()
            .map(|state| state.health.slowness(now))
            .collect();
        let middle = all.len() / 2;
        let (_, median, _) = all.select_nth_unstable_by(middle, f64::total_cmp);
        self.median_slowness = *median;
        let mut room = self.ejection_room(now);
        let settings = self.settings.health;
        for state in self.targets.values_mut() {
            if room == 0 {
                break;
            }
            let open = state.health.verdict(now) == HealthVerdict::Open;
            if !open
                || !state
                    .health
                    .is_straggler(now, self.median_slowness, &settings)
            {
                continue;
            }
            state.health.eject(now, &settings);
            room -= 1;
        }
    }

    pub(super) fn ejection_room(&self, now: Duration) -> usize {
        let ejected = self
            .targets
            .values()
            .filter(|state| state.health.verdict(now) == HealthVerdict::Ejected)
            .count();
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let limit = (self.targets.len() as f64 * self.settings.health.max_ejected) as usize;
        limit
            .max(usize::from(self.targets.len() > 1))
            .saturating_sub(ejected)
    }
}
