//! The configuration in force on this node, read from the table and received from peers.
//!
//! [`state`] and [`readiness`] hold the rules without input or output; [`actor`] owns the state in
//! one task; [`poll`] reads the head at intervals; [`load`] fetches missing changes; [`snapshot`]
//! writes snapshots and compacts the change log.

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

/// Settings of configuration polling. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigSettings {
    /// Mean interval between two reads of the head, from 100 to 10,000, jittered by half of it
    /// either way. With 410 nodes, 2,000 ms mean 205 conditional reads a second, a tenth of the
    /// table's limit; a change adds at most one read a node.
    #[builder(default = 2_000)]
    pub poll_ms: u64,
    /// A node without a confirmation of the head younger than this stops serving, from 2,000 to
    /// 15,000: at least three polls, and less than the 16 s within which a change has to be in
    /// force everywhere.
    #[builder(default = 8_000)]
    pub confirm_ms: u64,
    /// How long a starting node must hear a majority of the roster, while nobody reaches the table,
    /// before it serves its peers' configuration, from 1,000 to 60,000.
    #[builder(default = 12_000)]
    pub settle_ms: u64,
    /// Revisions between two snapshots, from 10 to 10,000. 250 are about nine a day.
    #[builder(default = 250)]
    pub snapshot_every: u64,
    /// Changes kept in the log behind the newest snapshot, from 100 to 100,000: two days of history
    /// for operators, and for settling amendments whose responses were lost.
    #[builder(default = 5_000)]
    pub keep_changes: u64,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl ConfigSettings {
    /// [`Self::poll_ms`] as a duration.
    #[must_use]
    pub fn poll(&self) -> Duration {
        Duration::from_millis(self.poll_ms)
    }

    /// The policy that decides whether the node serves.
    #[must_use]
    pub fn readiness_policy(&self) -> ReadinessPolicy {
        ReadinessPolicy {
            confirm_limit: Duration::from_millis(self.confirm_ms),
            settle: Duration::from_millis(self.settle_ms),
        }
    }
}
