//! Health of targets and their ejection.

use std::time::Duration;

use bon::Builder;

/// Settings of outlier ejection.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct HealthSettings {
    /// Number of consecutive failures after which a target is ejected. One or two failures may be
    /// due to the client or to a lost connection.
    #[builder(default = 3)]
    pub consecutive_failures: u32,
    /// Factor above the median slowness from which a target counts as a straggler.
    ///
    /// Below 2, the normal variation between long and short responses would eject healthy targets.
    #[builder(default = 2.5)]
    pub straggler_ratio: f64,
    /// Minimum number of observations before a target can count as a straggler.
    #[builder(default = 4)]
    pub min_samples: u32,
    /// Duration of the first ejection; doubled each time, up to `max_ejection_time`.
    #[builder(default = Duration::from_secs(2))]
    pub base_ejection_time: Duration,
    /// Maximum duration of an ejection. A recovered target must not stay idle for long.
    #[builder(default = Duration::from_secs(30))]
    pub max_ejection_time: Duration,
    /// Maximum fraction of a model's targets that may be ejected at the same time.
    ///
    /// If more seem unhealthy, the cause is usually the network or the entry itself, and sending
    /// all requests to the remaining targets would overload these too.
    #[builder(default = 0.3)]
    pub max_ejected_fraction: f64,
}

/// Half-life of a target's measured slowness without new observations.
///
/// A straggler gets hardly any requests, so without decay it would remain a straggler forever.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(20);

/// Weight of a new observation in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;

/// Bounds of a single observation, to limit the effect of outliers.
const SLOWNESS_BOUNDS: (f64, f64) = (0.2, 20.0);

/// Recent failures, ejections and slowness of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
    probing: bool,
    slowness: f64,
    samples: u32,
    slowness_updated_at: Duration,
}

/// Whether requests may be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthStatus {
    /// Not ejected; requests are sent without restriction.
    Healthy,
    /// The ejection has ended; a single request is sent to test whether the target has recovered.
    ProbeDue,
    /// Ejected, or a probe is in progress; no requests are sent unless no other target is usable.
    Ejected,
}

impl TargetHealth {
    /// Returns the moving average of the ratio of the observed to the predicted time to first
    /// token. It is 1 before the first observation and returns to 1 without new ones.
    #[must_use]
    pub fn slowness(&self, now: Duration) -> f64 {
        if self.samples == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.slowness_updated_at);
        let kept = 0.5_f64.powf(age.as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64());
        (self.slowness.ln() * kept).exp()
    }

    /// Returns whether requests may be sent to the target. An ejection ends by itself, but only a
    /// successful probe makes the target healthy again.
    #[must_use]
    pub fn status(&self, now: Duration) -> HealthStatus {
        match self.ejected_until {
            Some(until) if now < until => HealthStatus::Ejected,
            Some(_) => HealthStatus::ProbeDue,
            None => HealthStatus::Healthy,
        }
    }

    /// Records that a probe was sent. No other one is sent until it has ended, or for
    /// `max_ejection_time` if its end is never recorded.
    pub(super) fn start_probe(&mut self, now: Duration, settings: &HealthSettings) {
        self.probing = true;
        self.ejected_until = Some(now + settings.max_ejection_time);
    }

    /// Records a first token that arrived after `ratio` times the predicted time.
    pub(super) fn record_ratio(&mut self, now: Duration, ratio: f64, settings: &HealthSettings) {
        let ratio = ratio.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        let current = self.slowness(now);
        let weight = if self.samples == 0 || self.probing {
            1.0
        } else {
            SLOWNESS_WEIGHT
        };
        self.slowness = current * (ratio / current).powf(weight);
        self.slowness_updated_at = now;
        self.samples = self.samples.saturating_add(1);
        self.failures = 0;
        if !self.probing {
            return;
        }
        self.probing = false;
        if ratio > settings.straggler_ratio {
            self.eject(now, settings);
            return;
        }
        self.ejected_until = None;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Records a failed attempt; returns true if the target must be ejected right away, because it
    /// failed a probe or was already ejected.
    pub(super) fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        std::mem::take(&mut self.probing) || self.ejected_until.is_some()
    }

    /// Returns whether the failures since the last first token have reached the limit.
    #[must_use]
    pub fn has_failed_repeatedly(&self, settings: &HealthSettings) -> bool {
        self.failures >= settings.consecutive_failures
    }

    /// Returns whether the target's slowness exceeds `straggler_ratio` times the median, which
    /// counts as at least 0.5. It needs `min_samples` observations.
    #[must_use]
    pub fn is_straggler(&self, now: Duration, median: f64, settings: &HealthSettings) -> bool {
        self.samples >= settings.min_samples
            && self.slowness(now) > settings.straggler_ratio * median.max(0.5)
    }

    /// Ejects the target for twice as long as the previous time, up to `max_ejection_time`.
    pub(super) fn eject(&mut self, now: Duration, settings: &HealthSettings) {
        let ejection_time =
            settings.base_ejection_time * 2_u32.saturating_pow(self.ejections.min(10));
        self.ejected_until = Some(now + ejection_time.min(settings.max_ejection_time));
        self.ejections = self.ejections.saturating_add(1);
        self.probing = false;
    }
}
