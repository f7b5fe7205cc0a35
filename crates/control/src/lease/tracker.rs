//! What to do about a lease next, apart from input and output.

use std::time::{Duration, Instant};

use domain::{LeaseEpoch, LeaseName, LeaseRecord, NodeId, RowVersion};
use serde::{Deserialize, Serialize};

use super::{LeaseGrant, LeasePlace, LeaseSettings};

/// Share of the time to live that a holder leaves unused.
///
/// The observer's clock may run a little faster than the holder's. Without a margin both would act
/// for a moment; a tenth is far above what any clock drifts.
const DRIFT_DIVISOR: u32 = 10;

/// Added to the time until a lease may be taken, so that the look does not come just before it.
const LOOK_MARGIN: Duration = Duration::from_millis(20);

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
    /// Write this term over the row's version, whatever its age.
    Renew(LeaseRecord),
    /// Write this term and a new epoch row.
    Take(LeaseRecord),
    /// Give the lease up with this term.
    Release(LeaseRecord),
}

#[derive(Debug, Clone)]
struct SeenTerm {
    term: LeaseRecord,
    version: Option<RowVersion>,
    since: Instant,
}

#[derive(Debug, Clone)]
struct HeldTerm {
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
    seen: Option<SeenTerm>,
    held: Option<HeldTerm>,
}

impl LeaseTracker {
    /// A tracker. `holder` must be unique to this process: a restarted process that took its
    /// predecessor's term for its own would act beside it.
    #[must_use]
    pub fn new(name: LeaseName, holder: NodeId, settings: LeaseSettings) -> Self {
        Self {
            name,
            holder,
            settings,
            seen: None,
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

    /// Version of the row as last seen; none for an absent row or before the first look.
    #[must_use]
    pub fn version(&self) -> Option<RowVersion> {
        self.seen.as_ref().and_then(|seen| seen.version)
    }

    /// Takes in the row as it was read; `now` is a moment after the read.
    ///
    /// The time since which a term stands counts from the end of the read that first saw it, so
    /// that an observer's slow read never shortens the holder's time.
    pub fn observe(&mut self, term: LeaseRecord, version: Option<RowVersion>, now: Instant) {
        let mine = term.holder.as_ref() == Some(&self.holder);
        let other_epoch = self
            .held
            .as_ref()
            .is_some_and(|held| held.epoch != term.epoch);
        if !mine || other_epoch {
            self.held = None;
        }
        let same = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == version);
        if same {
            return;
        }
        // A take-over whose answer was lost shows here. The holder's name is unique to this process
        // and both rows were written together, so it is this process's own; it may act only after
        // a renewal, because nobody knows when the take-over took effect.
        if let Some(version) = version
            && mine
            && self.held.is_none()
            && term.renewals == 0
        {
            self.held = Some(HeldTerm {
                epoch: term.epoch,
                epoch_version: version,
                valid_until: now,
            });
        }
        self.seen = Some(SeenTerm {
            term,
            version,
            since: now,
        });
    }

    /// The next step for a node at `place`; none lets go of the lease.
    #[must_use]
    pub fn next_step(&self, place: Option<LeasePlace>, now: Instant) -> LeaseStep {
        let Some(seen) = &self.seen else {
            return LeaseStep::Wait;
        };
        if self.held.is_some() {
            let step = if place.is_some() {
                seen.term.renewed(&self.holder).map(LeaseStep::Renew)
            } else {
                seen.term.released(&self.holder).map(LeaseStep::Release)
            };
            return step.unwrap_or(LeaseStep::Wait);
        }
        let Some(LeasePlace(place)) = place else {
            return LeaseStep::Wait;
        };
        let unchanged = now.saturating_duration_since(seen.since);
        let waited = unchanged.saturating_sub(self.settings.stagger() * place);
        let released_lately = seen.term.holder.is_none() && place > 0 && waited.is_zero();
        if released_lately {
            return LeaseStep::Wait;
        }
        seen.term
            .acquired(&self.holder, waited, self.settings.ttl())
            .map_or(LeaseStep::Wait, LeaseStep::Take)
    }

    /// Time until the next look at the row: a beat, or less when the lease may be taken before.
    #[must_use]
    pub fn next_look(&self, place: Option<LeasePlace>, now: Instant) -> Duration {
        let beat = self.settings.beat();
        let (Some(seen), Some(LeasePlace(place)), None) = (&self.seen, place, &self.held) else {
            return beat;
        };
        let held_for = match seen.term.holder {
            Some(_) => seen.term.ttl(),
            None => Duration::ZERO,
        };
        let unchanged = now.saturating_duration_since(seen.since);
        let due = held_for + self.settings.stagger() * place;
        let left = due.saturating_sub(unchanged) + LOOK_MARGIN;
        left.min(beat)
    }

    /// The step that lets go of the lease now.
    #[must_use]
    pub fn release_step(&self) -> LeaseStep {
        if self.held.is_none() {
            return LeaseStep::Wait;
        }
        self.seen
            .as_ref()
            .and_then(|seen| seen.term.released(&self.holder))
            .map_or(LeaseStep::Wait, LeaseStep::Release)
    }

    /// Notes a take-over that took effect; `started` is the moment before it was sent.
    pub fn note_taken(&mut self, term: LeaseRecord, version: RowVersion, started: Instant) {
        self.held = Some(HeldTerm {
            epoch: term.epoch,
            epoch_version: version,
            valid_until: started + self.usable(&term),
        });
        self.note_row(term, version, started);
    }

    /// Notes a renewal that took effect; `started` is the moment before it was sent, because the
    /// store may have written it at once and answered late.
    pub fn note_renewed(&mut self, term: LeaseRecord, version: RowVersion, started: Instant) {
        let until = started + self.usable(&term);
        if let Some(held) = &mut self.held {
            held.valid_until = held.valid_until.max(until);
        }
        self.note_row(term, version, started);
    }

    /// Notes that the lease is given up or another node's.
    pub fn note_lost(&mut self) {
        self.held = None;
    }

    fn note_row(&mut self, term: LeaseRecord, version: RowVersion, now: Instant) {
        self.seen = Some(SeenTerm {
            term,
            version: Some(version),
            since: now,
        });
    }

    fn usable(&self, term: &LeaseRecord) -> Duration {
        let ttl = term.ttl().min(self.settings.ttl());
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
