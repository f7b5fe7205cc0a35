//! Messages with which nodes pass on the tables of the store.

use serde::{Deserialize, Serialize};

/// Maximum size of a request in bytes.
pub const MAX_FEED_REQUEST_BYTES: usize = 1 << 10;

/// Maximum size of a response in bytes: whole tables of the largest deployment.
pub const MAX_FEED_RESPONSE_BYTES: usize = 8 << 20;

/// Maximum number of tables in a request.
pub const MAX_FEED_TABLES: usize = 4;

/// A table that nodes pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FeedTable {
    /// The configuration.
    Config,
    /// The registry of targets.
    Registry,
    /// Heartbeats of the nodes.
    Nodes,
}

impl FeedTable {
    /// All tables.
    pub const ALL: [Self; 3] = [Self::Config, Self::Registry, Self::Nodes];
}

/// What a link carries. Each lane has a link of its own, so that a change which must not wait is never
/// queued behind a large configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FeedLane {
    /// Small changes that must be known within seconds.
    Urgent,
    /// Tables with large rows, and heartbeats.
    Bulk,
}

impl FeedLane {
    /// All lanes.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Bulk];

    /// Lane that carries a table.
    #[must_use]
    pub fn of(table: FeedTable) -> Self {
        match table {
            FeedTable::Registry => Self::Urgent,
            FeedTable::Config | FeedTable::Nodes => Self::Bulk,
        }
    }

    /// Tables that the lane carries, the one first whose age decides whether a source is followed.
    #[must_use]
    pub fn tables(self) -> &'static [FeedTable] {
        match self {
            Self::Urgent => &[FeedTable::Registry],
            Self::Bulk => &[FeedTable::Config, FeedTable::Nodes],
        }
    }

    /// Name in log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Bulk => "bulk",
        }
    }

    /// Path of its requests. It names the format of the messages, the second one: a node of a release with another
    /// format finds no such path, and reads the store itself.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Urgent => "/feed/2/urgent",
            Self::Bulk => "/feed/2/bulk",
        }
    }

    /// Lane with this path.
    #[must_use]
    pub fn from_path(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|lane| lane.path() == path)
    }
}

/// Asks for the changes of some tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRequest {
    /// Milliseconds that the response may wait for a change of the configuration or the registry.
    pub wait_ms: u32,
    /// What the sender knows.
    pub tables: Vec<FeedPosition>,
}

/// How far the sender knows a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPosition {
    /// The table.
    pub table: FeedTable,
    /// Newest era of the store that the sender knows.
    pub era: u64,
    /// Version up to which it is known in that era; none before the first read.
    pub known: Option<u64>,
}

/// Changes of tables.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedResponse {
    /// Whether the responder's last attempt to learn of changes failed.
    pub is_cut_off: bool,
    /// Milliseconds for which the responder held the request.
    pub held_ms: u32,
    /// Milliseconds since such an attempt last failed; none if none did.
    pub failed_ms_ago: Option<u32>,
    /// One entry per requested table that the responder knows.
    pub tables: Vec<FeedDelta>,
}

/// Changes of one table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedDelta {
    /// The table.
    pub table: FeedTable,
    /// Era of the store to which all versions belong.
    pub era: u64,
    /// Version up to which the table is known with these rows.
    pub version: u64,
    /// Milliseconds since the store confirmed that version.
    pub age_ms: u32,
    /// Milliseconds since a moment at which the store held nothing newer, proved by a call that began
    /// later; none if there is no such proof.
    pub proof_age_ms: Option<u32>,
    /// Whether these are all rows.
    pub is_full: bool,
    /// Rows in the order of their versions.
    pub rows: Vec<FeedRow>,
    /// Versions between which rows may have come and gone unseen by the responder.
    pub gap: Option<(u64, u64)>,
}

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRow {
    /// Key within the table.
    pub key: String,
    /// Version of the last write.
    pub version: u64,
    /// What became of the row.
    pub content: FeedContent,
}

/// Content of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedContent {
    /// The row was removed.
    Removed,
    /// The whole value.
    Whole(Vec<u8>),
    /// The difference from an earlier value that the receiver has.
    Patch {
        /// Version of the earlier value.
        base: u64,
        /// Bytes shared at the beginning.
        prefix: u32,
        /// Bytes shared at the end.
        suffix: u32,
        /// Bytes between the two.
        middle: Vec<u8>,
    },
}
