//! What follows from changed rows of the configuration and the registry.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use adapter::config::{CONFIG_KEY, ConfigError, evacuated_domain};
use adapter::registry::decode_cold_time;
use adapter::{decode_config, decode_target};
use domain::{DomainId, EraVersion, HostId, ServiceName};
use events::{EventCode, LogLine};
use serving::departed::DepartedTargets;
use serving::feed::StoreRow;
use serving::hashing::stable_hash;
use serving::probe_schedule::MAX_ACTIVE_RANK;
use serving::{TargetEntry, TargetProcess, TargetState};
use wire::feed::FeedTable;

use super::not_taken::{count_unreadable, log_not_taken, version_fields};
use crate::node::{ColdSource, EntryIntake, GatewayNode};
use crate::probe::{probe_unlisted, refresh_contradicted};

/// Time after a restore of the store for which what the store has lost holds on, and what it shows again does not
/// count. Writers write their rows again within about two seconds, and the entry of a target that is gone is
/// removed after three heartbeats of silence.
const RESTORE_GRACE: Duration = Duration::from_secs(4);

/// Where a changed row comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RowOrigin {
    /// Somebody has written it.
    Change,
    /// A restored store holds it, or lacks it. It may be older than what was known.
    RestoredStore,
}

/// Puts configurations into force.
pub(super) struct ConfigWatcher {
    node: Rc<GatewayNode>,
    withheld: RefCell<Vec<WithheldEvacuation>>,
}

/// An evacuation that a restored store shows or lacks, against what was known.
struct WithheldEvacuation {
    domain: DomainId,
    /// Whether the store shows it.
    is_requested: bool,
    /// When the store's word counts.
    until: Duration,
}

impl ConfigWatcher {
    pub fn new(node: Rc<GatewayNode>) -> Self {
        Self {
            node,
            withheld: RefCell::default(),
        }
    }

    /// Applies one changed row.
    pub fn apply_row(&self, row: &StoreRow, origin: RowOrigin) {
        match evacuated_domain(&row.key) {
            Some(Ok(domain)) => self.apply_evacuation(row, domain, origin),
            Some(Err(error)) => self.log_unreadable(row, &error),
            None => self.apply_config(row),
        }
    }

    fn apply_evacuation(&self, row: &StoreRow, domain: DomainId, origin: RowOrigin) {
        let mut withheld = self.withheld.borrow_mut();
        withheld.retain(|other| other.domain != domain);
        let is_requested = row.value.is_some();
        let is_news = is_requested != self.node.is_evacuated(&domain);
        if origin == RowOrigin::Change || !is_news {
            self.node.apply_evacuation(&domain, is_requested);
            return;
        }
        let reason = if is_requested {
            "ended_before_restore"
        } else {
            "lost_in_restore"
        };
        log_not_taken(&self.node, FeedTable::Config, row, reason);
        withheld.push(WithheldEvacuation {
            domain,
            is_requested,
            until: self.node.now() + self.evacuation_grace(is_requested),
        });
    }

    /// Time for which an evacuation that a restored store shows, or lacks, does not count. One that it shows may also
    /// be new, so half of its bound is left.
    fn evacuation_grace(&self, is_requested: bool) -> Duration {
        let bound = self.node.settings.bounds.evacuation_bound();
        match bound.filter(|_| is_requested) {
            Some(bound) => RESTORE_GRACE.min(bound / 2),
            None => RESTORE_GRACE,
        }
    }

    /// Records that the table was read whole after the store had come back from a copy: what an earlier copy showed
    /// does not count for the whole time from now.
    pub fn record_restore(&self, now: Duration) {
        for withheld in self.withheld.borrow_mut().iter_mut() {
            withheld.until = now + self.evacuation_grace(withheld.is_requested);
        }
    }

    /// Applies what the operator has not written otherwise since a restore.
    pub fn apply_withheld(&self) {
        let now = self.node.now();
        let mut withheld = self.withheld.borrow_mut();
        for due in withheld.extract_if(.., |withheld| withheld.until <= now) {
            self.node.apply_evacuation(&due.domain, due.is_requested);
        }
    }

    fn log_unreadable(&self, row: &StoreRow, error: &ConfigError) {
        let line = LogLine::new(EventCode::ConfigUnreadable).text("reason", &error.to_string());
        self.node.log(&version_fields(line, row.version));
        count_unreadable(&self.node, FeedTable::Config);
    }

    fn apply_config(&self, row: &StoreRow) {
        let Some(bytes) = row.value.as_ref().filter(|_| row.key == CONFIG_KEY) else {
            return;
        };
        let decoded = decode_config(bytes);
        self.node.feed.set_config_unreadable(decoded.is_err());
        let config = match decoded {
            Ok(config) => config,
            Err(error) => {
                self.log_unreadable(row, &error);
                return;
            }
        };
        let revision = config.revision;
        let in_force = self.node.config().map(|config| config.revision);
        if in_force.is_some_and(|in_force| revision < in_force) {
            let line = LogLine::new(EventCode::ConfigRegressed).number("revision", revision.0);
            self.node.log(&version_fields(line, row.version));
            self.node.metrics.record_not_taken("op", "older_revision");
        }
        if self.node.set_config(config, stable_hash(&bytes.as_ref())) {
            if in_force.is_none() {
                self.apply_cold_entries();
            }
            let line = LogLine::new(EventCode::ConfigApplied)
                .kept()
                .number("revision", revision.0)
                .text("source", &self.node.feed.config_origin().to_string());
            self.node.log(&version_fields(line, row.version));
        }
    }

    /// Applies the cold times of the entries that were read before the first configuration: until then it was
    /// not known which services limit what cold targets get.
    fn apply_cold_entries(&self) {
        let registry = self.node.feed.copy(FeedTable::Registry).borrow();
        for (key, value) in registry.values() {
            let Ok(id) = key.parse::<HostId>() else {
                continue;
            };
            let entry = self.node.registry(|registry| registry.get(&id).cloned());
            if let Some(entry) = entry {
                apply_cold_time(&self.node, &entry.process(), &entry.service, value);
            }
        }
    }
}

/// Applies for how long the entry of a process says that it stays cold, if its service limits what cold targets
/// get.
fn apply_cold_time(
    node: &GatewayNode,
    process: &TargetProcess,
    service: &ServiceName,
    bytes: &[u8],
) {
    if node.cold_limits(service).is_some() {
        let left = decode_cold_time(bytes);
        node.record_cold(process, service, left, ColdSource::Entry);
    }
}

/// Maintains the known targets.
pub(super) struct RegistryWatcher {
    node: Rc<GatewayNode>,
    departed: DepartedTargets,
    /// Entries that a restored store shows again of targets that had left, or with an earlier membership than is
    /// known, and until when they don't count.
    returned: Vec<(StoreRow, Duration)>,
    /// When the registry was first read whole after a restore.
    restored_at: Option<Duration>,
}

impl RegistryWatcher {
    pub fn new(node: Rc<GatewayNode>) -> Self {
        Self {
            node,
            departed: DepartedTargets::default(),
            returned: Vec::new(),
            restored_at: None,
        }
    }

    /// Records that the table was read whole after the store had come back from a copy. What an earlier copy showed is
    /// shown anew, so it is held back for the whole time from now.
    pub fn record_restore(&mut self, now: Duration) {
        self.restored_at = Some(now);
        for (_, until) in &mut self.returned {
            *until = now + RESTORE_GRACE;
        }
    }

    /// Handles the removal of an entry. If it may have expired though its target lives, the target stays known for a
    /// while.
    fn handle_missing(&self, id: HostId) {
        let restored_at = self.restored_at.max(self.node.era_began_at());
        let lapse = {
            let outages = self.node.feed.outages.borrow();
            outages.lapse(self.node.now(), restored_at)
        };
        match lapse {
            Some(lapse) => self.node.record_missing(id, lapse),
            None => self.unlist(id),
        }
    }

    /// Removes a target from the registry view. One that is still needed is probed by the nodes that
    /// plan for its fabric domain, so that it is dropped at once if it is dead.
    fn unlist(&self, id: HostId) {
        let is_active = self.node.host_rank(&id) <= MAX_ACTIVE_RANK;
        if self.node.unlist_target(&id) && is_active {
            tokio::task::spawn_local(probe_unlisted(Rc::clone(&self.node), id));
        }
    }

    /// Applies one changed row.
    pub fn apply_row(&mut self, row: &StoreRow, origin: RowOrigin) {
        self.returned
            .retain(|(returned, _)| returned.key != row.key);
        let Some(bytes) = &row.value else {
            if let Ok(id) = row.key.parse::<HostId>() {
                self.record_departure(&id);
                self.handle_missing(id);
            }
            return;
        };
        match decode_target(&row.key, bytes) {
            Ok(mut entry) => {
                if origin == RowOrigin::RestoredStore {
                    if self.has_left(&entry) {
                        self.hold_back(row, "left_before_restore");
                        return;
                    }
                    self.keep_draining(&mut entry);
                }
                self.node.record_listed(&entry.id);
                if origin == RowOrigin::RestoredStore && self.node.is_behind_known(&entry) {
                    self.hold_back(row, "membership_before_restore");
                    self.node.apply_besides_membership(&entry);
                    return;
                }
                if self.node.apply_listed_target(&entry) == EntryIntake::MembershipWithheld {
                    refresh_contradicted(&self.node, &entry.id);
                }
                apply_cold_time(&self.node, &entry.process(), &entry.service, bytes);
            }
            Err(error) => {
                let line = LogLine::new(EventCode::EntryUnreadable)
                    .text("host", &row.key)
                    .text("reason", &error.to_string());
                self.node.log(&version_fields(line, row.version));
                count_unreadable(&self.node, FeedTable::Registry);
                // An unreadable entry gets no new requests; those already running there continue.
                if let Ok(id) = row.key.parse::<HostId>() {
                    self.unlist(id);
                }
            }
        }
    }

    /// Keeps a row that a restored store shows until its writer has had the time to write it again.
    fn hold_back(&mut self, row: &StoreRow, reason: &str) {
        let until = self.node.now() + RESTORE_GRACE;
        self.returned.push((row.clone(), until));
        log_not_taken(&self.node, FeedTable::Registry, row, reason);
    }

    fn record_departure(&mut self, id: &HostId) {
        let entry = self.node.registry(|registry| registry.get(id).cloned());
        if let Some(entry) = entry {
            self.departed.record(entry.process(), self.node.now());
        }
    }

    fn has_left(&self, entry: &TargetEntry) -> bool {
        let known = self
            .node
            .registry(|registry| registry.get(&entry.id).map(|known| known.boot));
        self.departed
            .has_left(&entry.process(), known, self.node.now())
    }

    /// Keeps a process draining that is known to drain: the entry is from before it said so.
    fn keep_draining(&self, entry: &mut TargetEntry) {
        let known = self
            .node
            .registry(|registry| registry.get(&entry.id).cloned());
        let is_draining = known
            .is_some_and(|known| known.boot == entry.boot && known.state == TargetState::Draining);
        if is_draining {
            entry.state = TargetState::Draining;
        }
    }

    /// Takes in the entries that were held back and still stand some time after a restore: what was known instead
    /// of them is wrong.
    fn admit_returned(&mut self) {
        let now = self.node.now();
        let due: Vec<_> = self
            .returned
            .extract_if(.., |(_, until)| *until <= now)
            .collect();
        for (row, _) in due {
            self.apply_row(&row, RowOrigin::Change);
        }
    }

    /// Records that the store confirmed all changes up to a version, at `confirmed_at`.
    pub fn confirm(&mut self, version: EraVersion, confirmed_at: Duration) {
        self.node.confirm_registry(version, confirmed_at);
        self.admit_returned();
        for id in self.node.take_missing() {
            self.unlist(id);
        }
    }
}
