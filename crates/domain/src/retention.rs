//! Ages of table rows, determined without comparing the clocks of two hosts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::RowVersion;

/// Maximum number of checkpoints. Beyond it older ones are dropped, which only makes rows appear
/// younger.
const MAX_CHECKPOINTS: usize = 64;

/// A checkpoint: the table's version and the time counted so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionPoint {
    /// Version of the table at the checkpoint; rows with a lower version were written before it.
    pub version: RowVersion,
    /// Time counted up to the checkpoint, in milliseconds.
    pub counted_ms: u64,
}

/// Elapsed time as counted by the successive holders of one lease on their own monotonic clocks.
/// Time without a holder is not counted, so ages can only be underestimated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionLog {
    /// Total time counted, in milliseconds.
    pub counted_ms: u64,
    /// Checkpoints, oldest first.
    pub points: Vec<RetentionPoint>,
}

impl RetentionLog {
    /// Returns the log after another `elapsed`. `version` is the row version of this log in the
    /// table; rows up to that version were written before the end of the time counted so far.
    #[must_use]
    pub fn advanced(&self, elapsed: Duration, version: RowVersion) -> Self {
        let mut log = self.clone();
        log.points.push(RetentionPoint {
            version,
            counted_ms: self.counted_ms,
        });
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        log.counted_ms = log.counted_ms.saturating_add(elapsed_ms);
        if log.points.len() > MAX_CHECKPOINTS {
            // Drop every other checkpoint of the older half, so the newer half keeps its resolution.
            let half = MAX_CHECKPOINTS / 2;
            let mut index = 0;
            log.points.retain(|_| {
                index += 1;
                index > half || index % 2 == 1
            });
        }
        log
    }

    /// Returns the version up to which all rows are certainly older than `age`; none if no row is.
    #[must_use]
    pub fn older_than(&self, age: Duration) -> Option<RowVersion> {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let cutoff_ms = self.counted_ms.checked_sub(age_ms)?;
        let point = self
            .points
            .iter()
            .rev()
            .find(|point| point.counted_ms <= cutoff_ms)?;
        Some(point.version)
    }
}
