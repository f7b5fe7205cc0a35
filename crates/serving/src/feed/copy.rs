//! A node's copy of one table of the store, from which it answers other nodes.

mod whole_read;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use domain::{EraVersion, RowVersion, StoreEra};

use super::delta::{StoreRow, TableDelta, VersionGap};
use super::refused::{RefusalReason, RefusedRow};

/// Number of removed rows that are remembered, which bounds the memory of a copy. A node that
/// misses more of them gets the whole table.
const MAX_TOMBSTONES: usize = 4096;

/// Number of gaps between reads of the whole table that are remembered.
const MAX_GAPS: usize = 8;

/// A gap within the era of a copy.
#[derive(Debug, Clone, Copy)]
struct EraGap {
    before: RowVersion,
    after: RowVersion,
}

#[derive(Debug, Clone)]
struct StoredRow {
    value: Option<Bytes>,
    version: RowVersion,
    /// Value and version before the last write, if the row existed then.
    previous: Option<(RowVersion, Bytes)>,
}

/// Copy of a table, with the versions of the store. A row is never replaced by an older one.
///
/// All versions held are of one era. When another one begins, the values stay and the versions go: nothing is
/// known then up to any version, until a read of the whole table.
#[derive(Debug, Clone, Default)]
pub struct TableCopy {
    era: StoreEra,
    /// Values of an earlier era that no read of this one has replaced.
    carried: BTreeMap<String, Bytes>,
    rows: BTreeMap<String, StoredRow>,
    /// Keys by the version of their last write.
    by_version: BTreeSet<(RowVersion, String)>,
    tombstones: BTreeSet<(RowVersion, String)>,
    /// Version before which removals may have been forgotten.
    horizon: Option<RowVersion>,
    /// Versions before and after reads of the whole table that followed unseen changes. Rows that
    /// came and went in between are not known here, but may be to a node that saw them come.
    gaps: VecDeque<EraGap>,
    version: Option<RowVersion>,
    /// Version of the newest read of the whole table. A row that it lacked had been removed by then, if it was
    /// written before.
    complete_at: Option<RowVersion>,
    confirmed_at: Duration,
    /// A moment at which the store held nothing newer, proved by a call that began later.
    proved_at: Option<Duration>,
}

impl TableCopy {
    /// Era of all versions held.
    #[must_use]
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Version up to which the table is known; `None` before the first read of an era.
    #[must_use]
    pub fn version(&self) -> Option<EraVersion> {
        self.version.map(|version| self.of_era(version))
    }

    /// Whether the table has been read, in whatever era.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.version.is_some() || !self.carried.is_empty()
    }

    fn of_era(&self, version: RowVersion) -> EraVersion {
        EraVersion::new(self.era, version)
    }

    /// Begins an era, in which no version known so far means anything. The values stay until the table has been
    /// read.
    pub fn begin_era(&mut self, era: StoreEra) {
        if era == self.era {
            return;
        }
        let mut carried = std::mem::take(&mut self.carried);
        for (key, row) in std::mem::take(&mut self.rows) {
            carried.extend(row.value.map(|value| (key, value)));
        }
        *self = Self {
            era,
            carried,
            confirmed_at: self.confirmed_at,
            ..Self::default()
        };
    }

    /// Version from which to ask for changes: that of the newest row, if the table is not known for
    /// certain up to it yet. `None` before the first read of an era.
    #[must_use]
    pub fn latest(&self) -> Option<EraVersion> {
        let newest = self.by_version.last().map(|(newest, _)| *newest);
        let latest = self.version.max(newest.filter(|_| self.version.is_some()));
        latest.map(|latest| self.of_era(latest))
    }

    /// Whether a node that knows the table up to `version` lacks a row that this copy has. One that knows it in
    /// an earlier era lacks all.
    ///
    /// Versions count the writes of all tables: a node that asked the store later knows a higher one
    /// even if the table has not changed since.
    #[must_use]
    pub fn is_ahead_of(&self, version: EraVersion) -> bool {
        let Some(known) = version.within(self.era) else {
            return version.era() < self.era;
        };
        let newest = self.by_version.last();
        newest.is_some_and(|(newest, _)| *newest > known)
    }

    /// When the store last confirmed this version, through however many nodes.
    #[must_use]
    pub fn confirmed_at(&self) -> Duration {
        self.confirmed_at
    }

    /// Time since the store last confirmed this version, through however many nodes.
    #[must_use]
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed_at)
    }

    /// Time since a moment at which the store held nothing newer than this copy, proved by a call that
    /// began later; `None` before the first.
    ///
    /// Unlike [`Self::age`], which tells when a response was read, it counts the time for which a
    /// response was on its way or waited for this process.
    #[must_use]
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        self.proved_at.map(|at| now.saturating_sub(at))
    }

    /// Records that the store held nothing newer than `version` of this table at `proved_at`. It says
    /// nothing of a copy that has a newer row, or is of another era.
    pub fn prove(&mut self, version: EraVersion, proved_at: Duration) {
        if version.era() == self.era && !self.is_ahead_of(version) {
            self.proved_at = self.proved_at.max(Some(proved_at));
        }
    }

    /// Values of the rows that are not removed, with their keys.
    pub fn values(&self) -> impl Iterator<Item = (&str, &Bytes)> {
        let rows = self.rows.iter();
        let rows = rows.filter_map(|(key, row)| Some((key.as_str(), row.value.as_ref()?)));
        let carried = self.carried.iter();
        let carried = carried.filter(|(key, _)| !self.rows.contains_key(*key));
        rows.chain(carried.map(|(key, value)| (key.as_str(), value)))
    }

    /// Applies a row; returns false if the copy holds the same version or a newer one, or a read of the whole table
    /// has shown that the row was removed since.
    pub fn apply(&mut self, row: &StoreRow) -> bool {
        self.try_apply(row).is_ok()
    }

    /// Applies a row, or says why it isn't newer than what is held.
    ///
    /// # Errors
    ///
    /// [`RefusedRow`].
    pub fn try_apply(&mut self, row: &StoreRow) -> Result<(), RefusedRow> {
        let held = self.rows.get(&row.key);
        let is_absent = held.is_none_or(|held| held.value.is_none());
        let version = row.version.within(self.era);
        if version.is_some() && row.value.is_some() && is_absent && self.complete_at >= version {
            let held = self.complete_at.map(|version| self.of_era(version));
            return Err(RefusedRow::new(row, held, RefusalReason::RemovedSince));
        }
        self.put(row)
    }

    fn put(&mut self, row: &StoreRow) -> Result<(), RefusedRow> {
        let Some(version) = row.version.within(self.era) else {
            return Err(RefusedRow::new(
                row,
                self.version(),
                RefusalReason::OtherEra,
            ));
        };
        if version.0 == u64::MAX {
            return Err(RefusedRow::new(
                row,
                self.version(),
                RefusalReason::LastVersion,
            ));
        }
        let mut previous = None;
        if let Some(held) = self.rows.get(&row.key) {
            if held.version >= version {
                let reason = if held.version == version {
                    RefusalReason::Known
                } else {
                    RefusalReason::Older
                };
                return Err(RefusedRow::new(
                    row,
                    Some(self.of_era(held.version)),
                    reason,
                ));
            }
            previous = held.value.clone().map(|value| (held.version, value));
            let old = (held.version, row.key.clone());
            self.by_version.remove(&old);
            self.tombstones.remove(&old);
        }
        let indexed = (version, row.key.clone());
        if row.value.is_none() {
            self.tombstones.insert(indexed.clone());
        }
        self.by_version.insert(indexed);
        let stored = StoredRow {
            value: row.value.clone(),
            version,
            previous,
        };
        self.rows.insert(row.key.clone(), stored);
        if self.version.is_some() {
            self.carried.remove(&row.key);
        }
        self.forget_old_tombstones();
        Ok(())
    }

    /// Records that rows may have come and gone unseen.
    pub fn record_gap(&mut self, gap: VersionGap) {
        let before = gap.before.within(self.era);
        let Some((before, after)) = before.zip(gap.after.within(self.era)) else {
            return;
        };
        self.push_gap(EraGap { before, after });
    }

    fn push_gap(&mut self, gap: EraGap) {
        self.gaps.push_back(gap);
        if self.gaps.len() > MAX_GAPS {
            let oldest = self.gaps.pop_front();
            self.horizon = self.horizon.max(oldest.map(|gap| gap.after));
        }
    }

    /// Whether all removals since this version are known.
    fn is_complete_since(&self, known: RowVersion) -> bool {
        let is_inside = |gap: &EraGap| gap.before < known && known < gap.after;
        self.horizon.is_some_and(|horizon| known >= horizon) && !self.gaps.iter().any(is_inside)
    }

    /// The span of all gaps behind a version.
    fn gap_since(&self, known: RowVersion) -> Option<VersionGap> {
        let gaps = self.gaps.iter().filter(|gap| gap.after > known);
        let gap = gaps.copied().reduce(|left, right| EraGap {
            before: left.before.min(right.before),
            after: left.after.max(right.after),
        })?;
        Some(VersionGap {
            before: self.of_era(gap.before),
            after: self.of_era(gap.after),
        })
    }

    /// Records that the store confirmed the table up to `version`, at `confirmed_at`.
    pub fn confirm(&mut self, version: EraVersion, confirmed_at: Duration) {
        let Some(version) = version.within(self.era) else {
            return;
        };
        if self.version.is_some_and(|known| known > version) {
            return;
        }
        self.version = Some(version);
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// What a node that knows the table up to `known` lacks; `None` before the first read of an era. One that
    /// knows it in another era lacks all.
    #[must_use]
    pub fn delta_since(&self, known: Option<EraVersion>) -> Option<TableDelta> {
        let version = self.version()?;
        let known = known.and_then(|known| known.within(self.era));
        let after = known.filter(|known| self.is_complete_since(*known));
        let rows = match after {
            Some(after) => {
                let first = (RowVersion(after.0.saturating_add(1)), String::new());
                self.rows_of(self.by_version.range(first..), true)
            }
            None => self.rows_of(self.by_version.iter(), false),
        };
        Some(TableDelta {
            version,
            is_full: after.is_none(),
            rows,
            gap: after.and_then(|after| self.gap_since(after)),
        })
    }

    /// Value of a row before its last write, and the version of that value, if a node that knows the
    /// table up to `known` has it.
    #[must_use]
    pub fn previous(&self, key: &str, known: EraVersion) -> Option<(EraVersion, &Bytes)> {
        let known = known.within(self.era)?;
        let row = self.rows.get(key)?;
        let (version, value) = row.previous.as_ref()?;
        let is_known = *version <= known && known < row.version;
        is_known.then_some((self.of_era(*version), value))
    }

    /// Value that a row had at exactly this version, if it is still held.
    #[must_use]
    pub fn value_at(&self, key: &str, version: EraVersion) -> Option<&Bytes> {
        let version = version.within(self.era)?;
        let row = self.rows.get(key)?;
        if row.version == version {
            return row.value.as_ref();
        }
        let (previous, value) = row.previous.as_ref()?;
        (*previous == version).then_some(value)
    }

    /// Whether a node that knows the table up to `known` lacks a change.
    #[must_use]
    pub fn has_news(&self, known: Option<EraVersion>) -> bool {
        let Some(known) = known else {
            return self.version.is_some();
        };
        self.is_ahead_of(known)
    }

    fn rows_of<'a>(
        &self,
        keys: impl Iterator<Item = &'a (RowVersion, String)>,
        with_removed: bool,
    ) -> Vec<StoreRow> {
        let mut rows = Vec::new();
        for (version, key) in keys {
            let Some(row) = self.rows.get(key) else {
                continue;
            };
            if row.value.is_none() && !with_removed {
                continue;
            }
            rows.push(StoreRow {
                key: key.clone(),
                value: row.value.clone(),
                version: self.of_era(*version),
            });
        }
        rows
    }

    fn forget_old_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some(oldest) = self.tombstones.pop_first() else {
                return;
            };
            self.rows.remove(&oldest.1);
            self.by_version.remove(&oldest);
            self.horizon = self.horizon.max(Some(oldest.0));
        }
    }
}
