//! Failure domains that operators evacuate.
//!
//! An evacuation is a row of the store that every node watches with the configuration. From the moment a
//! node learns of it until it learns of its removal, the node sends no request to a replica with a host in
//! the failure domain. Requests that run there end where they are.

use std::time::Duration;

use domain::{DomainId, FastMap};

use crate::target_statements::SendBarrier;

/// What a changed row means for a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The failure domain is evacuated from now on.
    Begun,
    /// The failure domain takes requests again.
    Ended,
}

/// An evacuation as one node has learned of it. Times are since the start of the process.
#[derive(Debug, Clone, Copy)]
struct EvacuationPeriod {
    begun_at: Duration,
    /// When the node learned of its end; `None` while it lasts.
    ended_at: Option<Duration>,
    /// Whether the last request of the node there has ended.
    is_drained: bool,
}

/// The evacuations that one node knows of.
#[derive(Debug, Default)]
pub struct EvacuationLedger {
    periods: FastMap<DomainId, EvacuationPeriod>,
}

impl EvacuationLedger {
    /// Applies a row: `is_requested` while it exists. Rows must come in the order of their versions.
    /// Returns what changes, if anything does.
    pub fn apply(
        &mut self,
        domain: &DomainId,
        is_requested: bool,
        now: Duration,
    ) -> Option<EvacuationChange> {
        if is_requested == self.is_evacuated(domain) {
            return None;
        }
        if is_requested {
            let period = EvacuationPeriod {
                begun_at: now,
                ended_at: None,
                is_drained: false,
            };
            self.periods.insert(domain.clone(), period);
            return Some(EvacuationChange::Begun);
        }
        self.periods.get_mut(domain)?.ended_at = Some(now);
        Some(EvacuationChange::Ended)
    }

    /// Whether a failure domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &DomainId) -> bool {
        let period = self.periods.get(domain);
        period.is_some_and(|period| period.ended_at.is_none())
    }

    /// Whether no failure domain is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.active().next().is_none()
    }

    /// Failure domains that are evacuated, with the time since when this node has known of it.
    pub fn active(&self) -> impl Iterator<Item = (&DomainId, Duration)> {
        let active = self.periods.iter();
        let active = active.filter(|(_, period)| period.ended_at.is_none());
        active.map(|(domain, period)| (domain, period.begun_at))
    }

    /// Evacuated failure domains in which requests of the node may still run, with the time since when it has
    /// known of the evacuation.
    pub fn undrained(&self) -> impl Iterator<Item = (&DomainId, Duration)> {
        let active = self.periods.iter();
        let active = active.filter(|(_, period)| period.ended_at.is_none() && !period.is_drained);
        active.map(|(domain, period)| (domain, period.begun_at))
    }

    /// Records that the last request of the node in a failure domain has ended, until it is evacuated anew.
    pub fn record_drained(&mut self, domain: &DomainId) {
        if let Some(period) = self.periods.get_mut(domain) {
            period.is_drained = true;
        }
    }

    /// Whether a request may be sent to a target whose replica has hosts in these failure domains.
    ///
    /// # Errors
    ///
    /// [`SendBarrier::Evacuated`] if not.
    pub fn check<'a>(
        &self,
        domains: impl IntoIterator<Item = &'a DomainId>,
    ) -> Result<(), SendBarrier> {
        for domain in domains {
            if self.is_evacuated(domain) {
                return Err(SendBarrier::Evacuated);
            }
        }
        Ok(())
    }
}
