//! Membership that a host confirmed itself, by accepting an order or in a report.
//!
//! It may be newer than the registry: entries pass through the store, which may be unavailable, and
//! a report shows the state of some hundred milliseconds before.

use std::time::Duration;

use domain::BootNumber;

use crate::target::{MembershipKey, TargetEntry};

/// Maximum age of the state in a report.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(600);

/// Membership that a host confirmed itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfirmedMembership {
    boot: BootNumber,
    membership: Option<MembershipKey>,
    /// Highest epoch known of this life of the host, which refuses to join in a lower one.
    epoch: u64,
    /// The last order of this node that the host accepted.
    order: Option<AcceptedOrder>,
    /// Whether the registry has shown this membership, so that every further entry is newer.
    is_listed: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct AcceptedOrder {
    at: Duration,
    /// Membership that the order left.
    membership: Option<MembershipKey>,
}

impl ConfirmedMembership {
    /// Creates a membership known from the registry only.
    #[must_use]
    pub fn listed(entry: &TargetEntry) -> Self {
        Self {
            boot: entry.boot,
            membership: entry.membership_key(),
            epoch: epoch(entry).unwrap_or(0),
            order: None,
            is_listed: true,
        }
    }

    /// Updates the membership after an accepted order that left the host in the state of `entry`.
    pub fn confirm_order(&mut self, entry: &TargetEntry, now: Duration) {
        self.update(entry);
        self.order = Some(AcceptedOrder {
            at: now,
            membership: self.membership.clone(),
        });
    }

    /// Updates the membership from a report.
    pub fn confirm_report(&mut self, entry: &TargetEntry) {
        self.update(entry);
    }

    /// Records that the registry shows a state at least as new.
    pub fn confirm_listed(&mut self, entry: &TargetEntry) {
        self.update(entry);
        // Names of replicas are never reused, but a host may be in no replica several times.
        self.is_listed = self.membership.is_some();
    }

    /// Returns whether a registry entry may be older than what the host confirmed. Only the host
    /// can tell then.
    #[must_use]
    pub fn may_be_newer_than_entry(&self, entry: &TargetEntry) -> bool {
        !self.is_listed && !self.is_as_new(entry, self.membership.as_ref())
    }

    /// Returns whether the report of the state in `entry` may be older than what is known: it is of
    /// an earlier replica, or was requested soon after an order that the host accepted.
    #[must_use]
    pub fn may_be_newer_than_report(&self, entry: &TargetEntry, requested_at: Duration) -> bool {
        // Epochs only grow within a life, so this is the state before another node's order.
        let is_earlier =
            entry.boot == self.boot && epoch(entry).is_some_and(|epoch| epoch < self.epoch);
        if is_earlier {
            return true;
        }
        let Some(order) = &self.order else {
            return false;
        };
        requested_at < order.at + MAX_REPORT_AGE
            && !self.is_as_new(entry, order.membership.as_ref())
    }

    /// Returns whether an entry is at least as new as the state with this membership.
    fn is_as_new(&self, entry: &TargetEntry, membership: Option<&MembershipKey>) -> bool {
        if entry.boot != self.boot {
            return entry.boot > self.boot;
        }
        entry.membership_key().as_ref() == membership
            || epoch(entry).is_some_and(|epoch| epoch > self.epoch)
    }

    fn update(&mut self, entry: &TargetEntry) {
        let membership = entry.membership_key();
        if self.boot != entry.boot {
            self.epoch = 0;
            self.order = None;
        }
        if self.boot != entry.boot || self.membership != membership {
            self.is_listed = false;
        }
        self.boot = entry.boot;
        self.membership = membership;
        self.epoch = self.epoch.max(epoch(entry).unwrap_or(0));
    }
}

fn epoch(entry: &TargetEntry) -> Option<u64> {
    entry.membership.as_ref().map(|membership| membership.epoch)
}
