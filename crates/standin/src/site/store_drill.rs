//! The drill in which the store is away for a moment and comes back from a copy of some seconds before.

use std::collections::BTreeMap;
use std::time::Duration;

use http::HeaderValue;

use super::http::{BreakConnection, SiteResponse};
use super::store::{RowKey, SiteStore, StoreState};
use super::store_calls::StoreMode;

/// States the era of the store in each of its responses.
const ERA_HEADER: &str = "store-era";

/// Tables whose writers, the operator and the targets, write their rows again after a drill.
const REWRITTEN_TABLES: [&str; 2] = ["op", "servers"];

/// Value and version of a row; the value of a removed one is `None`.
pub(super) type StoredRow = (Option<Vec<u8>>, u64);

/// Rows by their tables and keys.
pub(super) type StoredRows = BTreeMap<RowKey, StoredRow>;

/// What the store held at one moment.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    pub(super) rows: StoredRows,
    pub(super) version: u64,
}

impl StoreCopy {
    /// The newest version at that moment.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }
}

/// Rows of the operator and the targets that the store has lost, or holds as they were before, in the order of their
/// writing.
#[derive(Debug, Clone)]
pub struct LostRows {
    rows: Vec<(RowKey, Option<Vec<u8>>)>,
}

/// What responses state as the era of the store instead of the era.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EraStatement {
    /// They have no such header.
    Absent,
    /// This text, which may be no number.
    Text(&'static str),
}

/// The era, and faults in how responses show it.
#[derive(Debug)]
pub(super) struct DrillState {
    pub era: u64,
    /// What the next responses state instead of the era, and how many they are.
    misstated: Option<(EraStatement, u32)>,
    /// What the next reads of whole tables show, and how many they are.
    stale_reads: Option<(StoreCopy, u32)>,
}

impl Default for DrillState {
    fn default() -> Self {
        Self {
            era: 1,
            misstated: None,
            stale_reads: None,
        }
    }
}

/// Takes one of a count of uses; the last one removes it.
fn take_use<T: Clone>(counted: &mut Option<(T, u32)>) -> Option<T> {
    let (value, count) = counted.as_mut()?;
    let value = value.clone();
    *count = count.saturating_sub(1);
    if *count == 0 {
        *counted = None;
    }
    Some(value)
}

impl DrillState {
    pub(super) fn take_stale_read(&mut self) -> Option<StoreCopy> {
        take_use(&mut self.stale_reads)
    }

    fn stated_era(&mut self) -> Option<HeaderValue> {
        match take_use(&mut self.misstated) {
            None => HeaderValue::from_str(&self.era.to_string()).ok(),
            Some(EraStatement::Text(text)) => Some(HeaderValue::from_static(text)),
            Some(EraStatement::Absent) => None,
        }
    }
}

impl StoreState {
    /// Whether the feed can be read from a version: one that it has given out, and whose history it keeps.
    pub(super) fn keeps_changes_since(&self, after: u64) -> bool {
        self.compacted_version <= after && after <= self.version
    }
}

impl SiteStore {
    /// Copies all rows as they are now.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        self.with(|state| StoreCopy {
            rows: state.rows.clone(),
            version: state.version,
        })
    }

    /// The newest version of all rows.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.with(|state| state.version)
    }

    /// Is away for a time, and comes back from a copy.
    pub async fn drill(&self, copy: &StoreCopy, away: Duration) -> LostRows {
        self.set_mode(StoreMode::Away);
        tokio::time::sleep(away).await;
        self.restore(copy)
    }

    /// Comes back from a copy: rows are as they were, versions are given out again, and the era rises by one. Calls
    /// that wait break off. Returns what was lost of the rows that their writers write again.
    #[must_use]
    pub fn restore(&self, copy: &StoreCopy) -> LostRows {
        let before = self.with(|state| {
            state.version = copy.version;
            state.compacted_version = state.compacted_version.min(copy.version);
            state.drill.era += 1;
            state.mode = StoreMode::Healthy;
            std::mem::replace(&mut state.rows, copy.rows.clone())
        });
        self.notify_changed();
        let mut lost = Vec::new();
        for (key, (value, version)) in before {
            let copied = copy.rows.get(&key).and_then(|(value, _)| value.as_ref());
            let is_rewritten = REWRITTEN_TABLES.contains(&key.0.as_str());
            if is_rewritten && copied != value.as_ref() {
                lost.push((version, (key, value)));
            }
        }
        lost.sort_by_key(|(version, _)| *version);
        LostRows {
            rows: lost.into_iter().map(|(_, row)| row).collect(),
        }
    }

    /// Writes the lost rows of these tables again, as their writers do, with new versions. The entry of a target that
    /// has left is removed.
    pub fn write_again(&self, lost: &LostRows, tables: &[&str]) {
        for ((table, key), value) in &lost.rows {
            if !tables.contains(&table.as_str()) {
                continue;
            }
            match value {
                Some(value) => self.put(table, key, value),
                None => self.remove(table, key),
            }
        }
    }

    /// Makes the next responses state something else than the era.
    pub fn misstate_era(&self, statement: EraStatement, responses: u32) {
        self.with(|state| state.drill.misstated = Some((statement, responses)));
    }

    /// Makes the next reads of whole tables show a copy, with the era that is in force.
    pub fn read_stale(&self, copy: &StoreCopy, reads: u32) {
        self.with(|state| state.drill.stale_reads = Some((copy.clone(), reads)));
    }

    /// The response with the era that is in force.
    pub(super) fn with_era(&self, mut response: SiteResponse) -> SiteResponse {
        if response.extensions().get::<BreakConnection>().is_some() {
            return response;
        }
        if let Some(era) = self.with(|state| state.drill.stated_era()) {
            response.headers_mut().insert(ERA_HEADER, era);
        }
        response
    }
}
