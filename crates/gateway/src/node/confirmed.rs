//! Intake of what is known of hosts: registry entries, reports and the effects of accepted orders.
//!
//! Only this module decides which of them is newer. A host whose older entry passed for new would
//! be ordered out of a replica that it had just joined.

use std::cmp::Ordering;
use std::time::Duration;

use domain::HostId;
use events::{EventCode, LogLine};
use serving::{ConfirmedMembership, MemberState, TargetEntry};

use super::GatewayNode;

/// What became of a registry entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryIntake {
    /// It was applied.
    Applied,
    /// It may be older than what the host confirmed, so the membership known so far holds until
    /// the host is queried.
    MembershipWithheld,
}

impl GatewayNode {
    /// Applies an entry read from the registry; the target counts as listed again.
    pub fn apply_listed_target(&self, entry: &TargetEntry) -> EntryIntake {
        self.unlisted.borrow_mut().remove(&entry.id);
        let mut confirmed = self.confirmed.borrow_mut();
        let mut is_doubtful = false;
        if let Some(membership) = confirmed.get_mut(&entry.id) {
            is_doubtful = membership.may_be_newer_than_entry(entry);
            if !is_doubtful {
                membership.confirm_listed(entry);
            }
        }
        drop(confirmed);
        if is_doubtful {
            self.withhold_membership(entry);
            return EntryIntake::MembershipWithheld;
        }
        self.contradicted.borrow_mut().remove(&entry.id);
        self.apply_target(entry);
        EntryIntake::Applied
    }

    /// Applies the effect of an accepted order before the registry shows it. Otherwise the next
    /// plan would start from the old state and use the same hosts again.
    pub fn apply_order(&self, id: &HostId, change: impl FnOnce(&mut TargetEntry)) {
        let now = self.now();
        let Some((before, entry)) = self.changed_entry(id, change) else {
            return;
        };
        self.with_confirmed(&before, |membership| membership.confirm_order(&entry, now));
        self.apply_target(&entry);
    }

    /// Applies the report of a host ahead of the registry, unless it may be older than an order
    /// that the host accepted since.
    pub fn apply_host_report(
        &self,
        id: &HostId,
        requested_at: Duration,
        change: impl FnOnce(&mut TargetEntry),
    ) {
        let Some((before, entry)) = self.changed_entry(id, change) else {
            return;
        };
        let is_current = self.with_confirmed(&before, |membership| {
            let is_current = !membership.may_be_newer_than_report(&entry, requested_at);
            if is_current {
                membership.confirm_report(&entry);
            }
            is_current
        });
        if !is_current {
            return;
        }
        self.apply_target(&entry);
    }

    /// Hosts whose last registry entry contradicts what they confirmed. They are queried until the
    /// registry has caught up, since it has no news of them.
    #[must_use]
    pub fn contradicted_hosts(&self) -> Vec<HostId> {
        self.contradicted.borrow().iter().cloned().collect()
    }

    pub(super) fn forget_confirmed(&self, id: &HostId) {
        self.confirmed.borrow_mut().remove(id);
        self.contradicted.borrow_mut().remove(id);
    }

    fn changed_entry(
        &self,
        id: &HostId,
        change: impl FnOnce(&mut TargetEntry),
    ) -> Option<(TargetEntry, TargetEntry)> {
        let before = self.registry(|registry| registry.get(id).cloned())?;
        let mut entry = before.clone();
        change(&mut entry);
        Some((before, entry))
    }

    fn with_confirmed<R>(
        &self,
        before: &TargetEntry,
        update: impl FnOnce(&mut ConfirmedMembership) -> R,
    ) -> R {
        let mut confirmed = self.confirmed.borrow_mut();
        let membership = confirmed
            .entry(before.id.clone())
            .or_insert_with(|| ConfirmedMembership::listed(before));
        update(membership)
    }

    /// Whether an entry that a restored store shows is probably from before what is known of the same process: it
    /// lacks the replica, or that the replica is open. Epochs only grow within a life.
    #[must_use]
    pub fn is_behind_known(&self, entry: &TargetEntry) -> bool {
        let known = self.registry(|registry| registry.get(&entry.id).cloned());
        let Some(known) = known.filter(|known| known.boot == entry.boot) else {
            return false;
        };
        let epoch = |entry: &TargetEntry| entry.membership.as_ref().map(|found| found.epoch);
        let is_open = |entry: &TargetEntry| {
            let state = entry.membership.as_ref().map(|found| found.state);
            state == Some(MemberState::Open)
        };
        match epoch(entry).cmp(&epoch(&known)) {
            Ordering::Less => true,
            Ordering::Equal => is_open(&known) && !is_open(entry),
            Ordering::Greater => false,
        }
    }

    /// Applies what an entry says besides the membership and the weights, if it is from the process that is known.
    pub fn apply_besides_membership(&self, entry: &TargetEntry) {
        let known = self.registry(|registry| registry.get(&entry.id).cloned());
        let Some(known) = known.filter(|known| known.boot == entry.boot) else {
            return;
        };
        self.apply_target(&TargetEntry {
            loaded: known.loaded,
            staged: known.staged,
            membership: known.membership,
            ..entry.clone()
        });
    }

    /// Applies what an entry says besides the membership, if it is from the same process.
    fn withhold_membership(&self, entry: &TargetEntry) {
        let known = self.registry(|registry| registry.get(&entry.id).cloned());
        let Some(known) = known else { return };
        self.contradicted.borrow_mut().insert(entry.id.clone());
        let replica = |entry: &TargetEntry| {
            let membership = entry.membership.as_ref();
            membership.map_or("none".to_owned(), |membership| {
                membership.replica.to_string()
            })
        };
        let line = LogLine::new(EventCode::EntryOutdated)
            .text("host", entry.id.as_str())
            .text("listed", &replica(entry))
            .text("confirmed", &replica(&known));
        self.log(&line);
        self.apply_besides_membership(entry);
    }
}
