//! The configuration state: revisions only increase, and changes are applied without gaps.

use std::collections::{BTreeMap, VecDeque};

use domain::record::RecordKind;
use domain::{ConfigRevision, RecordSpec};
use platform::keys;
use serde::{Deserialize, Serialize};
use wire::record::RecordEnvelope;

use crate::amend::{ChangeEntry, StoredRecord};
use crate::view::ConfigView;

/// Changes that a node keeps for peers that lag a little; peers further behind need a snapshot. 256
/// are more than two hours at 2,300 changes a day.
const RECENT_CHANGES: usize = 256;

/// All records at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Revision of the newest change in it.
    pub revision: ConfigRevision,
    /// The records, ordered by kind and name.
    pub records: Vec<StoredRecord>,
}

/// Result of offering a change or snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is applied.
    Applied,
    /// An equal or newer revision was already applied.
    Stale,
    /// Changes before it are missing.
    Gap,
}

/// The records applied on this node.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    revision: ConfigRevision,
    records: BTreeMap<(RecordKind, String), StoredRecord>,
    recent: VecDeque<ChangeEntry>,
}

impl ConfigState {
    /// The applied revision; 0 before the first change.
    #[must_use]
    pub fn revision(&self) -> ConfigRevision {
        self.revision
    }

    /// Applies the next change.
    ///
    /// A repeated or late change is [`ApplyOutcome::Stale`]: applying it again would restore a
    /// record that was amended since. An early one is [`ApplyOutcome::Gap`]: applying it without
    /// its predecessors would lose their records for good.
    pub fn apply_change(&mut self, change: ChangeEntry) -> ApplyOutcome {
        if change.revision <= self.revision {
            return ApplyOutcome::Stale;
        }
        if Some(change.revision) != self.revision.next() {
            return ApplyOutcome::Gap;
        }
        let key = (change.kind, change.name.clone());
        match &change.record {
            Some(record) => {
                let stored = StoredRecord {
                    revision: change.revision,
                    record: record.clone(),
                };
                self.records.insert(key, stored);
            }
            None => {
                self.records.remove(&key);
            }
        }
        self.revision = change.revision;
        if self.recent.len() == RECENT_CHANGES {
            self.recent.pop_front();
        }
        self.recent.push_back(change);
        ApplyOutcome::Applied
    }

    /// Replaces the whole state by a newer snapshot.
    pub fn apply_snapshot(&mut self, snapshot: ConfigSnapshot) -> ApplyOutcome {
        if snapshot.revision <= self.revision {
            return ApplyOutcome::Stale;
        }
        self.revision = snapshot.revision;
        self.recent.clear();
        self.records = snapshot
            .records
            .into_iter()
            .map(|stored| {
                let key = (stored.record.kind, stored.record.name.clone());
                (key, stored)
            })
            .collect();
        ApplyOutcome::Applied
    }

    /// All records at the applied revision.
    #[must_use]
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            revision: self.revision,
            records: self.records.values().cloned().collect(),
        }
    }

    /// At most `limit` changes after a revision, in order; none when they are no longer kept.
    #[must_use]
    pub fn changes_after(
        &self,
        revision: ConfigRevision,
        limit: usize,
    ) -> Option<Vec<ChangeEntry>> {
        if revision >= self.revision {
            return Some(Vec::new());
        }
        let oldest = self.recent.front()?;
        let next = revision.next();
        if next.is_some_and(|next| oldest.revision > next) {
            return None;
        }
        let mut changes = Vec::new();
        for change in &self.recent {
            if change.revision <= revision {
                continue;
            }
            if changes.len() == limit {
                break;
            }
            changes.push(change.clone());
        }
        Some(changes)
    }

    /// Builds the view for the request path.
    ///
    /// A record with an unknown schema, or one that violates a rule of this program's version, is
    /// left out and listed: one record of a newer program must not affect other customers.
    #[must_use]
    pub fn view(&self) -> ConfigView {
        let mut view = ConfigView {
            revision: self.revision,
            ..ConfigView::default()
        };
        for ((kind, name), stored) in &self.records {
            match parse_spec(&stored.record) {
                Some(spec) => view.insert(spec),
                None => view.unknown.push(keys::record_key(*kind, name)),
            }
        }
        view
    }
}

fn parse_spec(envelope: &RecordEnvelope) -> Option<RecordSpec> {
    RecordSpec::try_from(envelope.clone()).ok()
}
