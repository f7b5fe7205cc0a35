//! Limits how many of a model's replica slots this entry uses.

use std::collections::VecDeque;
use std::time::Duration;

use bon::Builder;

/// Number of snapshots of this entry's own usage, kept for comparison with delayed reports.
///
/// At one snapshot per 50 ms they cover reports that are up to 6 s late; older reports are compared
/// with the oldest snapshot.
const MAX_SNAPSHOTS: usize = 128;

/// Minimum interval between two snapshots; later changes within it update the last snapshot.
const SNAPSHOT_PERIOD: Duration = Duration::from_millis(50);

/// Time constant of the exponential decay of the arrival rate.
const DEMAND_DECAY: Duration = Duration::from_secs(10);

/// Largest and smallest factor applied to the window per round of reports.
///
/// The limits keep a single wrong report, such as an engine that has just restarted and reports no
/// work, from making every entry send its whole demand at once.
const MAX_WINDOW_RATIO: f64 = 2.0;
const MIN_WINDOW_RATIO: f64 = 0.7;

/// Factor applied to the window when a target responds that it is full.
const FULL_DECREASE: f64 = 0.95;

/// Minimum interval between two such decreases. A burst of refusals is one congestion signal and
/// must not be counted once per refused request.
const DECREASE_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a report after which responses of the targets set the window. Only entries that
/// probe a replica get its reports, about one a second; the others hear of it from peers.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Window before the first report, in streams. With one, the second client of an entry that has just
/// started waits for the whole response of the first.
const INITIAL_WINDOW: f64 = 4.0;

/// Settings of a [`CapacityShare`].
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct ShareSettings {
    /// Number of entries in service according to the latest known membership.
    pub entries: u32,
    /// Fraction of this entry's unmet demand that it claims each round while targets are full.
    ///
    /// It sets how fast entries with high demand gain slots from those with low demand: at 0.05 and
    /// one report per second, most of an imbalance is gone after 20 s.
    #[builder(default = 0.05)]
    pub claim_fraction: f64,
    /// Number of streams allowed to queue at the targets, as a fraction of their slots.
    ///
    /// The default is 0: requests queued at a target can't be reordered or refused, and with
    /// several entries short queues build up at targets by chance anyway.
    #[builder(default = 0.0)]
    pub queue_fraction: f64,
}

/// Aggregate load of all usable replicas of a model, from their latest reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolReport {
    /// Number of streams that the replicas can run concurrently; 0 closes the window.
    pub slots: u32,
    /// Number of streams in the replicas' batches, from all entries.
    pub running: u32,
    /// Number of streams queued at the replicas, from all entries.
    pub waiting: u32,
    /// Age of the figures. Usage is compared with what this entry had in use that long ago.
    pub age: Duration,
}

/// Limits how many streams of one model this entry may have at the targets.
///
/// Designed for 3 to 410 entries, each of which sees only its part of the demand and delayed load
/// reports. If each entry took all free slots in a report, the targets would be oversubscribed by a
/// factor of the number of entries, which causes long queues at the engines and late first tokens
/// for all clients. If each kept to an equal share, the slots of entries that the load balancer
/// favors less would stay idle, which causes refusals at one entry while accelerators are idle.
///
/// Each entry therefore scales what it had in use at the time of the report by the same ratio of
/// slots to occupied slots. The windows then add up to the number of slots regardless of how the
/// load balancer distributes requests, and entries need no knowledge of each other. While targets
/// are full, each entry claims a little for its unmet demand and all entries give back in
/// proportion to their usage, so the windows converge towards the demand.
///
/// An entry whose peers probe the replicas gets no reports. Its window grows while streams end and
/// shrinks while targets are full. Kept as it was, it could be a single stream beside idle targets,
/// and its clients would wait for seconds.
#[derive(Debug)]
pub struct CapacityShare {
    settings: ShareSettings,
    window: f64,
    in_use: u32,
    snapshots: VecDeque<UsageSnapshot>,
    demand: DemandEstimator,
    decreased_at: Option<Duration>,
    reported_at: Option<Duration>,
    phase: f64,
}

#[derive(Debug, Clone, Copy)]
struct UsageSnapshot {
    at: Duration,
    in_use: u32,
}

/// Estimates the concurrency that the offered requests need, as arrival rate times mean duration
/// (Little's law).
#[derive(Debug, Default)]
struct DemandEstimator {
    arrivals: f64,
    seconds: f64,
    at: Duration,
    mean_duration: f64,
}

impl DemandEstimator {
    fn advance(&mut self, now: Duration) {
        let seconds = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-seconds / DEMAND_DECAY.as_secs_f64()).exp();
        self.arrivals *= kept;
        self.seconds = self.seconds * kept + seconds;
        self.at = now;
    }

    fn concurrent_streams(&self) -> f64 {
        if self.seconds < 1.0 {
            return 0.0;
        }
        self.arrivals / self.seconds * self.mean_duration
    }
}

impl CapacityShare {
    /// Creates a share with a window of a few streams, used until the first report.
    ///
    /// `seed` should differ between entries: it sets the phase at which an entry rounds a
    /// fractional window up.
    #[must_use]
    pub fn new(settings: ShareSettings, seed: u64) -> Self {
        let phase = f64::from(u16::try_from(seed % 1_000).unwrap_or(0)) / 1_000.0;
        Self {
            settings,
            window: INITIAL_WINDOW,
            in_use: 0,
            snapshots: VecDeque::new(),
            demand: DemandEstimator::default(),
            decreased_at: None,
            reported_at: None,
            phase,
        }
    }

    /// Sets the number of entries in service. It takes effect on the window with the next report.
    pub fn set_entries(&mut self, entries: u32) {
        self.settings.entries = entries;
    }

    /// Returns the number of streams that this entry has sent and that have not ended.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns the number of streams that this entry may have at the targets, which may be
    /// fractional.
    #[must_use]
    pub fn window(&self) -> f64 {
        self.window
    }

    /// Returns how many more streams may be sent now.
    ///
    /// With more entries than slots the window is below one. It then admits a stream in that
    /// fraction of the rounds, at different times for each entry, instead of always or never.
    #[must_use]
    pub fn free(&self) -> usize {
        let rounded = (self.window + self.phase).floor();
        let free = rounded - f64::from(self.in_use);
        if free <= 0.0 {
            return 0;
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let free = free as usize;
        free
    }

    /// Records an offered request, whether it is admitted or not. The demand is estimated from
    /// these.
    pub fn record_offered(&mut self, now: Duration) {
        self.demand.advance(now);
        self.demand.arrivals += 1.0;
    }

    /// Records that a stream was sent to a target; [`Self::record_finished`] must follow.
    pub fn record_sent(&mut self, now: Duration) {
        self.in_use += 1;
        self.snapshot(now);
    }

    /// Records that a stream ended after it had spent `duration` at the target.
    pub fn record_finished(&mut self, now: Duration, duration: Duration) {
        self.grow(now);
        self.in_use = self.in_use.saturating_sub(1);
        let duration = duration.as_secs_f64();
        let weight = if self.demand.mean_duration == 0.0 {
            1.0
        } else {
            0.1
        };
        self.demand.mean_duration += (duration - self.demand.mean_duration) * weight;
        self.snapshot(now);
    }

    /// Records that a target responded that it is full, and decreases the window.
    ///
    /// This matters when reports don't arrive: the window is then outdated, and such responses are
    /// the only sign that other entries have taken the slots.
    pub fn record_full(&mut self, now: Duration) {
        let recent = self
            .decreased_at
            .is_some_and(|at| now < at + DECREASE_INTERVAL);
        if recent {
            return;
        }
        self.decreased_at = Some(now);
        self.window = (self.window * FULL_DECREASE).max(self.min_window());
    }

    /// Opens the window for one stream once reports are missing; call it before [`Self::free`].
    /// Rounding could otherwise leave a window below one at no stream for good.
    pub fn advance(&mut self, now: Duration) {
        if self.lacks_reports(now) {
            self.window = self.window.max(1.0);
        }
    }

    fn lacks_reports(&self, now: Duration) -> bool {
        self.reported_at
            .is_none_or(|at| now.saturating_sub(at) > REPORT_TIMEOUT)
    }

    /// Grows the window when a stream ends that left no other place free. Doubled per round until a
    /// target is full, then by one per round, as in TCP congestion control.
    fn grow(&mut self, now: Duration) {
        if !self.lacks_reports(now) || self.free() > 0 {
            return;
        }
        let step = if self.decreased_at > self.reported_at {
            1.0 / self.window.max(1.0)
        } else {
            1.0
        };
        self.window += step;
    }

    /// Recomputes the window from new reports; call it once per round of reports.
    pub fn record_report(&mut self, now: Duration, report: PoolReport) {
        self.reported_at = Some(now);
        self.demand.advance(now);
        self.phase = (self.phase + 0.618_034).fract();
        if report.slots == 0 {
            self.window = 0.0;
            return;
        }
        let slots = f64::from(report.slots);
        let goal = slots * (1.0 + self.settings.queue_fraction);
        let occupied = f64::from(report.running) + f64::from(report.waiting);
        let used = f64::from(self.in_use_at(now.saturating_sub(report.age)));
        // The fraction that all entries give back for claims is subtracted first, so that the
        // claims refill it instead of building up queues at the targets.
        let unclaimed = goal * (1.0 - self.settings.claim_fraction);
        let ratio = (unclaimed / occupied.max(1.0)).clamp(MIN_WINDOW_RATIO, MAX_WINDOW_RATIO);
        let idle = (goal - occupied).max(0.0);
        let even_share = idle / f64::from(self.settings.entries.max(1));
        let unmet_demand = (self.demand.concurrent_streams() - used).max(0.0);
        let claim = unmet_demand.min(used.max(1.0)) * self.settings.claim_fraction;
        let window = used * ratio + even_share.max(claim);
        self.window = window.clamp(self.min_window(), goal);
    }

    /// Lower bound of the window while there are slots, so that each entry keeps sending and
    /// detects free capacity.
    fn min_window(&self) -> f64 {
        (1.0 / f64::from(self.settings.entries.max(1))).max(0.05)
    }

    fn snapshot(&mut self, now: Duration) {
        if let Some(last) = self.snapshots.back_mut()
            && now < last.at + SNAPSHOT_PERIOD
        {
            last.in_use = self.in_use;
            return;
        }
        if self.snapshots.len() == MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        let in_use = self.in_use;
        self.snapshots.push_back(UsageSnapshot { at: now, in_use });
    }

    fn in_use_at(&self, at: Duration) -> u32 {
        for snapshot in self.snapshots.iter().rev() {
            if snapshot.at <= at {
                return snapshot.in_use;
            }
        }
        self.snapshots.front().map_or(0, |snapshot| {
            if snapshot.at > at && self.snapshots.len() < MAX_SNAPSHOTS {
                return 0;
            }
            snapshot.in_use
        })
    }
}
