//! A store in virtual time that goes back to a copy.

use std::collections::BTreeMap;

use bytes::Bytes;
use domain::{EraVersion, RowVersion, StoreEra};
use serving::feed::{StoreRow, TableDelta};

/// Bytes of a row besides its value.
const ROW_OVERHEAD_BYTES: usize = 60;

/// The tables of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreTable {
    Config,
    Registry,
    Nodes,
}

impl StoreTable {
    pub const ALL: [Self; 3] = [Self::Config, Self::Registry, Self::Nodes];

    /// Position in arrays with one element per table.
    pub fn index(self) -> usize {
        match self {
            Self::Config => 0,
            Self::Registry => 1,
            Self::Nodes => 2,
        }
    }
}

#[derive(Debug, Clone)]
struct WrittenRow {
    value: Option<Bytes>,
    version: u64,
}

#[derive(Debug, Clone, Default)]
struct StoreContents {
    newest: u64,
    /// Newest version in each table.
    newest_in: [u64; 3],
    tables: [BTreeMap<String, WrittenRow>; 3],
}

/// An answer to a read.
#[derive(Debug, Clone)]
pub struct ReadAnswer {
    /// Era in which it was built, whether the store states it or not.
    pub true_era: u64,
    /// What the caller lacks; `None` if its version has not been given out.
    pub delta: Option<TableDelta>,
}

/// The store.
#[derive(Debug)]
pub struct VirtualStore {
    pub is_up: bool,
    pub era: u64,
    /// Whether versions are stated with their era.
    states_era: bool,
    contents: StoreContents,
    copy: StoreContents,
}

impl VirtualStore {
    pub fn new(states_era: bool) -> Self {
        Self {
            is_up: true,
            era: 1,
            states_era,
            contents: StoreContents::default(),
            copy: StoreContents::default(),
        }
    }

    pub fn copy(&mut self) {
        self.copy = self.contents.clone();
    }

    /// Comes back from the copy.
    pub fn restore(&mut self) {
        self.contents = self.copy.clone();
        self.era += 1;
        self.is_up = true;
    }

    pub fn write(&mut self, table: StoreTable, key: &str, value: Option<Bytes>) {
        self.contents.newest += 1;
        self.contents.newest_in[table.index()] = self.contents.newest;
        let row = WrittenRow {
            value,
            version: self.contents.newest,
        };
        self.contents.tables[table.index()].insert(key.to_owned(), row);
    }

    /// Value of a row.
    pub fn value(&self, table: StoreTable, key: &str) -> Option<&Bytes> {
        self.contents.tables[table.index()].get(key)?.value.as_ref()
    }

    /// Keys and values of a table.
    pub fn values(&self, table: StoreTable) -> BTreeMap<&str, &Bytes> {
        let rows = self.contents.tables[table.index()].iter();
        rows.filter_map(|(key, row)| Some((key.as_str(), row.value.as_ref()?)))
            .collect()
    }

    fn at(&self, version: u64) -> EraVersion {
        let era = if self.states_era {
            StoreEra(self.era)
        } else {
            StoreEra::UNSTATED
        };
        EraVersion::new(era, RowVersion(version))
    }

    /// Whether a caller that knows the table up to a number would get an answer at once.
    pub fn answers_at_once(&self, table: StoreTable, known: Option<u64>) -> bool {
        let Some(known) = known else {
            return true;
        };
        known > self.contents.newest || self.contents.newest_in[table.index()] > known
    }

    /// Answers a caller that knows the table up to a number, or not at all.
    pub fn read(&self, table: StoreTable, known: Option<u64>) -> ReadAnswer {
        if known.is_some_and(|known| known > self.contents.newest) {
            return ReadAnswer {
                true_era: self.era,
                delta: None,
            };
        }
        let after = known.unwrap_or_default();
        let mut rows = Vec::new();
        for (key, row) in &self.contents.tables[table.index()] {
            if row.version <= after || (known.is_none() && row.value.is_none()) {
                continue;
            }
            rows.push(StoreRow {
                key: key.clone(),
                value: row.value.clone(),
                version: self.at(row.version),
            });
        }
        rows.sort_by_key(|row| row.version.within(row.version.era()));
        let delta = TableDelta {
            version: self.at(self.contents.newest),
            is_full: known.is_none(),
            rows,
            gap: None,
        };
        ReadAnswer {
            true_era: self.era,
            delta: Some(delta),
        }
    }
}

/// Size of the rows of a delta in bytes.
pub fn delta_bytes(delta: &TableDelta) -> usize {
    let size = |row: &StoreRow| {
        row.key.len() + row.value.as_ref().map_or(0, Bytes::len) + ROW_OVERHEAD_BYTES
    };
    delta.rows.iter().map(size).sum()
}
