//! Whether a target may be given work, by how it answered lately.

use std::time::Duration;

use bon::Builder;

/// Settings of ejection.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct HealthSettings {
    /// Failures in a row after which a target is left out. One or two may be the caller's doing
    /// or a lost connection.
    #[builder(default = 3)]
    pub failures: u32,
    /// How many times slower than the median target a straggler is.
    ///
    /// Below 2 the usual spread between long and short answers would eject healthy targets.
    #[builder(default = 2.5)]
    pub straggler: f64,
    /// Answers before a target counts as a straggler.
    #[builder(default = 4)]
    pub least_samples: u32,
    /// First time for which a target is left out; doubled each time, up to `longest`.
    #[builder(default = Duration::from_secs(2))]
    pub shortest: Duration,
    /// Longest time for which a target is left out. A recovered target must not idle for long.
    #[builder(default = Duration::from_secs(30))]
    pub longest: Duration,
    /// Largest part of a model's targets that may be left out at once.
    ///
    /// When more seem bad it is mostly the network or the entry itself, and to send everything
    /// to the few others would bring these down too.
    #[builder(default = 0.3)]
    pub max_ejected: f64,
}

/// Time after which a target's slowness is half forgotten without new answers.
///
/// A straggler gets hardly any work, so without forgetting it would stay one for ever.
const FORGET: Duration = Duration::from_secs(20);

/// Weight of a new answer in the slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;

/// Bounds of a single observation, against one absurd answer.
const SLOWNESS_BOUNDS: (f64, f64) = (0.2, 20.0);

/// How one target answered lately.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
    trial: bool,
    slowness: f64,
    samples: u32,
    slowness_at: Duration,
}

/// Whether a target may be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthVerdict {
    /// As usual.
    Open,
    /// One request at a time, to see whether it has recovered.
    Trial,
    /// None.
    Ejected,
}

impl TargetHealth {
    /// Observed time to the first token over the predicted one; 1 for a target as predicted.
    #[must_use]
    pub fn slowness(&self, now: Duration) -> f64 {
        if self.samples == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.slowness_at);
        let kept = 0.5_f64.powf(age.as_secs_f64() / FORGET.as_secs_f64());
        (self.slowness.ln() * kept).exp()
    }

    /// Whether it may be given work.
    #[must_use]
    pub fn verdict(&self, now: Duration) -> HealthVerdict {
        match self.ejected_until {
            Some(until) if now < until => HealthVerdict::Ejected,
            Some(_) => HealthVerdict::Trial,
            None => HealthVerdict::Open,
        }
    }

    /// A trial was sent; until it is answered there is no other.
    pub(super) fn start_trial(&mut self, now: Duration, settings: &HealthSettings) {
        self.trial = true;
        self.ejected_until = Some(now + settings.longest);
    }

    /// A first token came after `ratio` times the predicted time.
    pub(super) fn record_answer(&mut self, now: Duration, ratio: f64, settings: &HealthSettings) {
        let ratio = ratio.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        let current = self.slowness(now);
        let weight = if self.samples == 0 || self.trial {
            1.0
        } else {
            SLOWNESS_WEIGHT
        };
        self.slowness = current * (ratio / current).powf(weight);
        self.slowness_at = now;
        self.samples = self.samples.saturating_add(1);
        self.failures = 0;
        if !self.trial {
            return;
        }
        self.trial = false;
        if ratio > settings.straggler {
            self.eject(now, settings);
            return;
        }
        self.ejected_until = None;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// An attempt failed; true when the target should now be left out.
    pub(super) fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        std::mem::take(&mut self.trial) || self.ejected_until.is_some()
    }

    /// Whether it failed too often in a row.
    #[must_use]
    pub fn is_failing(&self, settings: &HealthSettings) -> bool {
        self.failures >= settings.failures
    }

    /// Whether it is far slower than the median target.
    #[must_use]
    pub fn is_straggler(&self, now: Duration, median: f64, settings: &HealthSettings) -> bool {
        self.samples >= settings.least_samples
            && self.slowness(now) > settings.straggler * median.max(0.5)
    }

    /// Leaves it out, for twice as long as the last time.
    pub(super) fn eject(&mut self, now: Duration, settings: &HealthSettings) {
        let doubled = settings.shortest * 2_u32.saturating_pow(self.ejections.min(10));
        self.ejected_until = Some(now + doubled.min(settings.longest));
        self.ejections = self.ejections.saturating_add(1);
        self.trial = false;
    }
}
