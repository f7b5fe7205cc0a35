//! The configuration in force on this node: followed in the table and over peers.
//!
//! [`state`] and [`readiness`] decide and do no input or output; [`actor`] owns them in one task;
//! [`poll`] polls the table; [`load`] reads what is missing; [`snapshot`] writes snapshots and
//! compacts the change log.

pub mod actor;
pub mod load;
pub mod poll;
pub mod readiness;
pub mod snapshot;
pub mod state;

use std::time::Duration;

use serde::Deserialize;

pub use actor::{ConfigActor, ConfigHandle, ConfigObservation, ConfigStatus, HeadConfirmation};
pub use poll::{ConfigPoller, poll_config};
pub use readiness::{NodeReadiness, ReadinessFacts, ReadinessPolicy};
pub use state::{ConfigSnapshot, ConfigState};

/// Settings of the configuration. Times are milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigSettings {
    /// Mean time between two reads of the head, from 100 to 10,000. The reads are spread by half
    /// of it to either side. At 410 nodes 2,000 ms make 205 conditional reads a second, a tenth of
    /// what the table gives; a change adds at most one read a node.
    #[builder(default = 2_000)]
    pub poll_ms: u64,
    /// A node that knows for no later moment what is in force steps out of service after this
    /// time, from 2,000 to 15,000: at least three polls, and less than the 16 s in which a change
    /// has to be in force everywhere.
    #[builder(default = 8_000)]
    pub confirm_ms: u64,
    /// How long a starting node must hear more than half of the roster, without anyone who reaches
    /// the table, before it serves what its peers have, from 1,000 to 60,000.
    #[builder(default = 12_000)]
    pub settle_ms: u64,
    /// Revisions between two snapshots, from 10 to 10,000. 250 are about nine a day.
    #[builder(default = 250)]
    pub snapshot_every: u64,
    /// Changes that stay in the log behind the newest snapshot, from 100 to 100,000: two days for
    /// operators who look back, and for settling amendments whose answers were lost.
    #[builder(default = 5_000)]
    pub keep_changes: u64,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl ConfigSettings {
    /// Mean time between two reads of the head.
    #[must_use]
    pub fn poll(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }

    /// The rule for stepping out of service.
    #[must_use]
    pub fn readiness_policy(&self) -> ReadinessPolicy {
        ReadinessPolicy {
            confirm_limit: Duration::from_millis(self.confirm_ms),
            settle: Duration::from_millis(self.settle_ms),
        }
    }
}
