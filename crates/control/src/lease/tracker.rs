//! What to do about a lease next, apart from input and output.

use std::time::{Duration, Instant};

use domain::{LeaseEpoch, LeaseName, LeaseRecord, NodeId, RowVersion};
use serde::{Deserialize, Serialize};

use super::{CandidateRank, LeaseGrant, LeaseSettings};

/// Share of the time to live that a holder leaves unused.
///
/// The observer's clock may run a little faster than the holder's. Without a margin both would act
/// for a moment; a tenth is far above what any clock drifts.
const DRIFT_DIVISOR: u32 = 10;

/// Added to the time until a lease may be taken, so that the look does not come just before it.
const POLL_MARGIN: Duration = Duration::from_millis(20);

/// The row that changes only with the holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRow {
    /// The epoch.
    pub epoch: LeaseEpoch,
    /// The holder that began it.
    pub holder: NodeId,
}

/// The next step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing to write.
    Wait,
    /// Write this record over the row's version, whatever its age.
    Renew(LeaseRecord),
    /// Write this record and a new epoch row.
    Acquire(LeaseRecord),
    /// Give the lease up with this record.
    Release(LeaseRecord),
}

#[derive(Debug, Clone)]
struct ObservedRecord {
    record: LeaseRecord,
    version: Option<RowVersion>,
    since: Instant,
}

#[derive(Debug, Clone)]
struct HeldLease {
    epoch: LeaseEpoch,
    epoch_version: RowVersion,
    valid_until: Instant,
}

/// What one process knows of one lease.
#[derive(Debug, Clone)]
pub struct LeaseTracker {
    name: LeaseName,
    holder: NodeId,
    settings: LeaseSettings,
    observed: Option<ObservedRecord>,
    held: Option<HeldLease>,
}

impl LeaseTracker {
    /// A tracker. `holder` must be unique to this process: a restarted process that took its
    /// predecessor's record for its own would act beside it.
    #[must_use]
    pub fn new(name: LeaseName, holder: NodeId, settings: LeaseSettings) -> Self {
        Self {
            name,
            holder,
            settings,
            observed: None,
            held: None,
        }
    }

    /// The lease.
    #[must_use]
    pub fn name(&self) -> &LeaseName {
        &self.name
    }

    /// The holder that this process is.
    #[must_use]
    pub fn holder(&self) -> &NodeId {
        &self.holder
    }

    /// Whether this process holds the lease or may still renew it.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Version of the row as last observed; none for an absent row or before the first look.
    #[must_use]
    pub fn version(&self) -> Option<RowVersion> {
        self.observed.as_ref().and_then(|observed| observed.version)
    }

    /// Takes in the row as it was read; `now` is a moment after the read.
    ///
    /// The time since which a record stands counts from the end of the read that first saw it, so
    /// that an observer's slow read never shortens the holder's time.
    pub fn observe(&mut self, record: LeaseRecord, version: Option<RowVersion>, now: Instant) {
        let own = record.holder.as_ref() == Some(&self.holder);
        let other_epoch = self
            .held
            .as_ref()
            .is_some_and(|held| held.epoch != record.epoch);
        if !own || other_epoch {
            self.held = None;
        }
        let same = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.version == version);
        if same {
            return;
        }
        // A take-over whose answer was lost shows here. The holder's name is unique to this process
        // and both rows were written together, so it is this process's own; it may act only after
        // a renewal, because nobody knows when the take-over took effect.
        if let Some(version) = version
            && own
            && self.held.is_none()
            && record.renewals == 0
        {
            self.held = Some(HeldLease {
                epoch: record.epoch,
                epoch_version: version,
                valid_until: now,
            });
        }
        self.observed = Some(ObservedRecord {
            record,
            version,
            since: now,
        });
    }

    /// The next step for a node at `rank`; none lets go of the lease.
    #[must_use]
    pub fn next_step(&self, rank: Option<CandidateRank>, now: Instant) -> LeaseStep {
        let Some(observed) = &self.observed else {
            return LeaseStep::Wait;
        };
        if self.held.is_some() {
            let step = if rank.is_some() {
                observed.record.renewed(&self.holder).map(LeaseStep::Renew)
            } else {
                observed
                    .record
                    .released(&self.holder)
                    .map(LeaseStep::Release)
            };
            return step.unwrap_or(LeaseStep::Wait);
        }
        let Some(CandidateRank(rank)) = rank else {
            return LeaseStep::Wait;
        };
        let unchanged = now.saturating_duration_since(observed.since);
        let waited = unchanged.saturating_sub(self.settings.stagger() * rank);
        let recently_released = observed.record.holder.is_none() && rank > 0 && waited.is_zero();
        if recently_released {
            return LeaseStep::Wait;
        }
        observed
            .record
            .acquired(&self.holder, waited, self.settings.ttl())
            .map_or(LeaseStep::Wait, LeaseStep::Acquire)
    }

    /// Time until the next look at the row: a beat, or less when the lease may be taken before.
    #[must_use]
    pub fn next_poll(&self, rank: Option<CandidateRank>, now: Instant) -> Duration {
        let interval = self.settings.renew_interval();
        let (Some(observed), Some(CandidateRank(rank)), None) = (&self.observed, rank, &self.held)
        else {
            return interval;
        };
        let held_for = match observed.record.holder {
            Some(_) => observed.record.ttl(),
            None => Duration::ZERO,
        };
        let unchanged = now.saturating_duration_since(observed.since);
        let due = held_for + self.settings.stagger() * rank;
        let left = due.saturating_sub(unchanged) + POLL_MARGIN;
        left.min(interval)
    }

    /// The step that lets go of the lease now.
    #[must_use]
    pub fn release_step(&self) -> LeaseStep {
        if self.held.is_none() {
            return LeaseStep::Wait;
        }
        self.observed
            .as_ref()
            .and_then(|observed| observed.record.released(&self.holder))
            .map_or(LeaseStep::Wait, LeaseStep::Release)
    }

    /// Notes a take-over that took effect; `started` is the moment before it was sent.
    pub fn record_acquired(&mut self, record: LeaseRecord, version: RowVersion, started: Instant) {
        self.held = Some(HeldLease {
            epoch: record.epoch,
            epoch_version: version,
            valid_until: started + self.usable_ttl(&record),
        });
        self.set_observed(record, version, started);
    }

    /// Notes a renewal that took effect; `started` is the moment before it was sent, because the
    /// store may have written it at once and answered late.
    pub fn record_renewed(&mut self, record: LeaseRecord, version: RowVersion, started: Instant) {
        let until = started + self.usable_ttl(&record);
        if let Some(held) = &mut self.held {
            held.valid_until = held.valid_until.max(until);
        }
        self.set_observed(record, version, started);
    }

    /// Notes that the lease is given up or another node's.
    pub fn record_lost(&mut self) {
        self.held = None;
    }

    fn set_observed(&mut self, record: LeaseRecord, version: RowVersion, now: Instant) {
        self.observed = Some(ObservedRecord {
            record,
            version: Some(version),
            since: now,
        });
    }

    fn usable_ttl(&self, record: &LeaseRecord) -> Duration {
        let ttl = record.ttl().min(self.settings.ttl());
        ttl.saturating_sub(ttl / DRIFT_DIVISOR)
    }

    /// Leave to act; none when the lease is not held or ran out.
    #[must_use]
    pub fn grant(&self, now: Instant) -> Option<LeaseGrant> {
        let held = self.held.as_ref()?;
        if held.valid_until <= now {
            return None;
        }
        Some(LeaseGrant {
            name: self.name.clone(),
            epoch: held.epoch,
            epoch_version: held.epoch_version,
            valid_until: held.valid_until,
        })
    }
}
