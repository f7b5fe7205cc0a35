//! State machine of one lease, without input or output.

use std::time::{Duration, Instant};

use domain::{LeaseEpoch, LeaseName, LeaseRecord, NodeId, RowVersion};
use serde::{Deserialize, Serialize};

use super::{CandidateRank, LeaseGrant, LeaseSettings};

/// A holder leaves this part of the TTL (a tenth) unused.
///
/// The observer's clock may run a little faster than the holder's; without a margin both could act
/// at the same time. A tenth is far above any clock drift.
const DRIFT_DIVISOR: u32 = 10;

/// Added to the time until a lease may be acquired, so that the read does not come just before it.
const POLL_MARGIN: Duration = Duration::from_millis(20);

/// The row that changes only with the holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRow {
    /// Epoch of the current acquisition.
    pub epoch: LeaseEpoch,
    /// The process that acquired the lease in this epoch.
    pub holder: NodeId,
}

/// What to write next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing to write.
    Wait,
    /// Write this record over the observed version.
    Renew(LeaseRecord),
    /// Write this record and a new epoch row.
    Acquire(LeaseRecord),
    /// Write this record, which has no holder.
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

/// What one process knows about one lease.
#[derive(Debug, Clone)]
pub struct LeaseTracker {
    name: LeaseName,
    holder: NodeId,
    settings: LeaseSettings,
    observed: Option<ObservedRecord>,
    held: Option<HeldLease>,
}

impl LeaseTracker {
    /// A tracker that has not read the lease yet. `holder` must be unique to this process: a
    /// restarted process that took its predecessor's record for its own would act alongside it.
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

    /// Name of the tracked lease.
    #[must_use]
    pub fn name(&self) -> &LeaseName {
        &self.name
    }

    /// Id under which this process holds the lease.
    #[must_use]
    pub fn holder(&self) -> &NodeId {
        &self.holder
    }

    /// Whether this process holds the lease or may still renew it.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Version of the row as last observed; none for an absent row or before the first read.
    #[must_use]
    pub fn version(&self) -> Option<RowVersion> {
        self.observed.as_ref().and_then(|observed| observed.version)
    }

    /// Updates the state from a read of the row; `now` must be after the read.
    ///
    /// The time for which a record has been unchanged counts from the end of the read that first
    /// saw it, so that a slow read of an observer never shortens the holder's time.
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
        // An acquisition whose response was lost shows up here. The holder id is unique to this
        // process and both rows were written together, so it is this process's own. It may act only
        // after a renewal, because the time at which the acquisition took effect is unknown.
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

    /// The next step for a node of this candidate rank; without a rank the lease is released.
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

    /// Time until the next read: the renewal interval, or less when the lease may be acquired
    /// earlier.
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

    /// The step that releases the lease, if it is held.
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

    /// Records an acquisition that took effect; `started` is the time before it was sent.
    pub fn record_acquired(&mut self, record: LeaseRecord, version: RowVersion, started: Instant) {
        self.held = Some(HeldLease {
            epoch: record.epoch,
            epoch_version: version,
            valid_until: started + self.usable_ttl(&record),
        });
        self.set_observed(record, version, started);
    }

    /// Records a renewal that took effect; `started` is the time before it was sent, because the
    /// store may have applied it at once and responded late.
    pub fn record_renewed(&mut self, record: LeaseRecord, version: RowVersion, started: Instant) {
        let until = started + self.usable_ttl(&record);
        if let Some(held) = &mut self.held {
            held.valid_until = held.valid_until.max(until);
        }
        self.set_observed(record, version, started);
    }

    /// Records that the lease is released or held by another node.
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

    /// The current grant; none when the lease is not held or has expired.
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
