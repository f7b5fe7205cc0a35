//! This entry's part of the slots of a model's replicas.

use std::collections::VecDeque;
use std::time::Duration;

use bon::Builder;

/// Snapshots of the own use that are kept to compare with lagged reports.
///
/// One each 50 ms covers reports that lag by 6 s; older reports are compared with the oldest.
const MAX_SNAPSHOTS: usize = 128;

/// Least distance of two snapshots.
const SNAPSHOT_PERIOD: Duration = Duration::from_millis(50);

/// Time over which the own demand is averaged.
const DEMAND_MEMORY: Duration = Duration::from_secs(10);

/// Most that the window grows or shrinks in one round.
///
/// A single wrong report (an engine that has just restarted and reports no work) must not make
/// every entry send its whole demand at once.
const MAX_GROWTH: f64 = 2.0;
const MAX_SHRINK: f64 = 0.7;

/// What the window keeps when a target says that it is full.
const FULL_SHRINK: f64 = 0.95;

/// Least distance of two such cuts: one wave of refusals tells one thing, not fifty.
const FULL_PERIOD: Duration = Duration::from_millis(250);

/// Settings of a [`CapacityShare`].
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct ShareSettings {
    /// Entries in service, by the last membership that is known.
    pub entries: u32,
    /// Part of the own unmet demand that is claimed each round while targets are full.
    ///
    /// It sets how fast entries with much demand win slots from those with little: with 0.05 and
    /// a report a second, most of an imbalance is gone after 20 s.
    #[builder(default = 0.05)]
    pub claim: f64,
    /// Streams that may wait at the targets, as a part of their slots.
    ///
    /// Requests that wait there can't be reordered or refused, and with several entries the
    /// targets have short queues by chance anyway, so none are planned.
    #[builder(default = 0.0)]
    pub allowance: f64,
}

/// Load of all usable replicas of a model together, from their newest reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolReport {
    /// Streams that they can run at once.
    pub slots: u32,
    /// Streams in their batches, of all entries.
    pub running: u32,
    /// Streams that wait at them.
    pub waiting: u32,
    /// Mean age of the reports.
    pub age: Duration,
}

/// How many streams of one model this entry may have at the targets.
///
/// Made for 3 to 410 entries, each of which sees only its part of the demand and old reports of
/// the load. If each took all free slots that a report shows, the targets would be sent as many
/// times too much as there are entries; seen as long queues at engines and first tokens late for
/// all. If each kept to an equal part, the slots of entries that the balancer passes over would
/// idle; seen as refusals at one entry beside idle accelerators.
///
/// So each entry scales what it had at the targets when the report was made by the same ratio of
/// slots to occupied slots. The parts then add up to the slots whatever the balancer does, and no
/// entry needs to know the others. While targets are full, each claims a little for its unmet
/// demand and all give back in proportion to their use, so the parts move towards the demand.
#[derive(Debug)]
pub struct CapacityShare {
    settings: ShareSettings,
    window: f64,
    in_use: u32,
    snapshots: VecDeque<UseSnapshot>,
    demand: DemandMeter,
    cut_at: Option<Duration>,
    phase: f64,
}

#[derive(Debug, Clone, Copy)]
struct UseSnapshot {
    at: Duration,
    in_use: u32,
}

/// Streams that the offered requests would need at once: arrivals a second times time of stay.
#[derive(Debug, Default)]
struct DemandMeter {
    arrivals: f64,
    time: f64,
    at: Duration,
    stay: f64,
}

impl DemandMeter {
    fn pass(&mut self, now: Duration) {
        let seconds = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-seconds / DEMAND_MEMORY.as_secs_f64()).exp();
        self.arrivals *= kept;
        self.time = self.time * kept + seconds;
        self.at = now;
    }

    fn streams(&self) -> f64 {
        if self.time < 1.0 {
            return 0.0;
        }
        self.arrivals / self.time * self.stay
    }
}

impl CapacityShare {
    /// A share that starts with one stream, until the first report.
    ///
    /// `seed` differs between entries: it decides which of them round a broken window up first.
    #[must_use]
    pub fn new(settings: ShareSettings, seed: u64) -> Self {
        let phase = f64::from(u16::try_from(seed % 1_000).unwrap_or(0)) / 1_000.0;
        Self {
            settings,
            window: 1.0,
            in_use: 0,
            snapshots: VecDeque::new(),
            demand: DemandMeter::default(),
            cut_at: None,
            phase,
        }
    }

    /// Tells how many entries are in service now.
    pub fn set_entries(&mut self, entries: u32) {
        self.settings.entries = entries;
    }

    /// Streams that this entry has at the targets.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Streams that this entry may have at the targets.
    #[must_use]
    pub fn window(&self) -> f64 {
        self.window
    }

    /// How many more streams may be sent now.
    ///
    /// With more entries than slots a window is below one. It is then open for that part of the
    /// rounds, at another time for each entry, instead of always or never.
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

    /// A request was offered, admitted or not.
    pub fn record_offered(&mut self, now: Duration) {
        self.demand.pass(now);
        self.demand.arrivals += 1.0;
    }

    /// A stream was sent to a target.
    pub fn record_sent(&mut self, now: Duration) {
        self.in_use += 1;
        self.snapshot(now);
    }

    /// A stream ended after `stay` at the target.
    pub fn record_finished(&mut self, now: Duration, stay: Duration) {
        self.in_use = self.in_use.saturating_sub(1);
        let stay = stay.as_secs_f64();
        let weight = if self.demand.stay == 0.0 { 1.0 } else { 0.1 };
        self.demand.stay += (stay - self.demand.stay) * weight;
        self.snapshot(now);
    }

    /// A target answered that it is full.
    ///
    /// Made for a partition of the reports: the window is then old, and only answers tell that
    /// others have taken the slots.
    pub fn record_full(&mut self, now: Duration) {
        let recent = self.cut_at.is_some_and(|at| now < at + FULL_PERIOD);
        if recent {
            return;
        }
        self.cut_at = Some(now);
        self.window = (self.window * FULL_SHRINK).max(self.least_window());
    }

    /// New reports came in; call it once a round.
    pub fn record_report(&mut self, now: Duration, report: PoolReport) {
        self.demand.pass(now);
        self.phase = (self.phase + 0.618_034).fract();
        if report.slots == 0 {
            self.window = 0.0;
            return;
        }
        let slots = f64::from(report.slots);
        let aim = slots * (1.0 + self.settings.allowance);
        let occupied = f64::from(report.running) + f64::from(report.waiting);
        let used = f64::from(self.used_at(now.saturating_sub(report.age)));
        // What all give back for claims is taken off first, so that the claims fill it again
        // instead of piling up at the targets.
        let kept = aim * (1.0 - self.settings.claim);
        let ratio = (kept / occupied.max(1.0)).clamp(MAX_SHRINK, MAX_GROWTH);
        let idle = (aim - occupied).max(0.0);
        let even_part = idle / f64::from(self.settings.entries.max(1));
        let unmet = (self.demand.streams() - used).max(0.0);
        let claim = unmet.min(used.max(1.0)) * self.settings.claim;
        let window = used * ratio + even_part.max(claim);
        self.window = window.clamp(self.least_window(), aim);
    }

    /// Below this no entry falls, so that each can find out that there is room again.
    fn least_window(&self) -> f64 {
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
        self.snapshots.push_back(UseSnapshot { at: now, in_use });
    }

    fn used_at(&self, at: Duration) -> u32 {
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
