//! Known targets whose entries are missing from the registry.

use domain::HostId;
use events::{EventCode, LogLine};
use serving::TargetEntry;
use serving::missing_targets::EntryLapse;

use super::GatewayNode;

impl GatewayNode {
    /// Records that the registry lacks the entry of a target that may be alive.
    pub fn record_missing(&self, id: HostId, lapse: EntryLapse) {
        let fabric = self.registry(|registry| registry.get(&id).map(|entry| entry.fabric.clone()));
        let Some(fabric) = fabric else {
            return;
        };
        let in_replica = fabric.is_some();
        let line = LogLine::new(EventCode::EntryMissing)
            .text("host", id.as_str())
            .text("cause", lapse.cause.name());
        self.log(&line);
        let bound = self.settings.bounds.drain_bound();
        let mut missing = self.missing.borrow_mut();
        missing.record(id, self.now(), lapse, bound, in_replica);
    }

    /// Records that the registry has the entry of a target.
    pub fn record_listed(&self, id: &HostId) {
        let missing_since = self.missing.borrow_mut().forget(id);
        if let Some(since) = missing_since {
            let line = LogLine::new(EventCode::EntryBack)
                .text("host", id.as_str())
                .millis("missing_ms", self.now().saturating_sub(since));
            self.log(&line);
            self.notify_change();
        }
    }

    /// Takes the targets whose entries have been missing for so long that a confirmation of the registry ends them.
    pub fn take_missing(&self) -> Vec<HostId> {
        let outage_ended_at = self.feed.outages.borrow().ended_at();
        let mut missing = self.missing.borrow_mut();
        missing.take_unconfirmed(self.now(), outage_ended_at)
    }

    /// Removes the targets whose entries are missing and that end with the requests to them.
    pub fn remove_unsendable(&self) {
        let gone = self.missing.borrow_mut().take_unsendable(self.now());
        for id in gone {
            self.remove_target(&id);
        }
    }

    /// Retains the targets to which requests may be sent by their entries.
    pub fn retain_sendable(&self, entries: &mut Vec<TargetEntry>) {
        let now = self.now();
        let missing = self.missing.borrow();
        entries.retain(|entry| missing.may_send(&entry.id, now));
    }

    /// Counts a request that is about to be sent to a target if the entry of the target is missing.
    pub fn count_missing_send(&self, entry: &TargetEntry) {
        if self.missing.borrow().contains(&entry.id) {
            self.metrics.record_missing_send(entry.service.as_str());
        }
    }
}
