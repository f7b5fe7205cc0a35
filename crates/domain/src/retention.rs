//! How old a table row is, counted without comparing the clocks of two hosts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::RowVersion;

/// Most checkpoints that are kept; older ones are merged away, which only makes rows look younger.
const MAX_CHECKPOINTS: usize = 64;

/// One moment: the table's version and the time counted up to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionPoint {
    /// Version of the table at that moment; rows with a lower one were written before it.
    pub version: RowVersion,
    /// Time counted up to it, in milliseconds.
    pub counted_ms: u64,
}

/// Time as the holders of one lease counted it, one after the other, on their own monotonic
/// clocks. Time without a holder is not counted, so an age can only come out too low.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionLog {
    /// Time counted in all, in milliseconds.
    pub counted_ms: u64,
    /// Moments, oldest first.
    pub points: Vec<RetentionPoint>,
}

impl RetentionLog {
    /// The log after `elapsed` more. `version` is the one under which this log itself stands in
    /// the table: rows up to it were written before the time counted so far ended.
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
            // Every second of the older half goes: the newest keep their resolution.
            let half = MAX_CHECKPOINTS / 2;
            let mut index = 0;
            log.points.retain(|_| {
                index += 1;
                index > half || index % 2 == 1
            });
        }
        log
    }

    /// Versions up to this one are certainly older than `age`; none when nothing is.
    #[must_use]
    pub fn older_than(&self, age: Duration) -> Option<RowVersion> {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let limit = self.counted_ms.checked_sub(age_ms)?;
        let point = self
            .points
            .iter()
            .rev()
            .find(|point| point.counted_ms <= limit)?;
        Some(point.version)
    }
}
