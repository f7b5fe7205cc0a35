//! Leases: who may act for a fabric domain, and who for housekeeping.
//!
//! A lease has two rows. `lease/{name}` holds the [`domain::LeaseRecord`] and is written at every
//! renewal. `lease-epoch/{name}` holds the epoch and is written only when the holder changes, in
//! the same transaction as the take-over. Every transaction under a lease checks the version of
//! the second row, so that a holder that was paused past its lease changes nothing in the table.
//!
//! Weighed: checking the lease's row itself would need one row less, but a renewal changes its
//! version, and every transaction that was prepared before a renewal and sent after it would fail
//! for nothing; with a renewal every 3 s and rounds of half a second that is one round in six.
//! Holding renewals back during a transaction would bind the lease's life to the slowest store
//! call. A check on content (`epoch = 7`) would do, but the table offers versions only.
//!
//! The table's versions fence the table. Orders to targets are fenced by the epoch where targets
//! check it, and by [`LeaseGrant::remaining`] before each order; what that leaves open stands in
//! [`crate::assembly`].
//!
//! Cost: a lease is watched by its [`LeaseSettings::candidates`] and not by all nodes. With 100
//! fabric domains, three candidates and a beat of 3 s that is 34 writes and 67 reads a second for
//! the whole system, whatever the number of nodes.

mod actor;
mod candidate;
mod keys;
mod tracker;

pub use actor::{LeaseHandle, start_lease_actor, unique_holder_id};
pub use candidate::{CandidateRank, candidate_rank, ranked_nodes};
pub use keys::{fabric_lease, housekeeping_lease};
pub use tracker::{EpochRow, LeaseStep, LeaseTracker};

use std::time::{Duration, Instant};

use domain::{LeaseEpoch, LeaseName, RowVersion};
use platform::{RowExpectation, WriteBatch, keys as rows};
use serde::{Deserialize, Serialize};

/// Limits of the leases. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// Time that a holder may act after the start of its last renewal. Shorter repairs a replica
    /// sooner after its controller died; longer rides out a slow store.
    #[builder(default = 9_000)]
    pub ttl_ms: u64,
    /// Time between two renewals or looks; a third of the time to live leaves two more tries.
    #[builder(default = 3_000)]
    pub beat_ms: u64,
    /// Nodes that watch one lease.
    #[builder(default = 3)]
    pub candidates: usize,
    /// How much longer each further candidate waits, so that the first one gets it and the others
    /// do not race it for nothing.
    #[builder(default = 1_000)]
    pub stagger_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl LeaseSettings {
    /// Time that a holder may act after the start of its last renewal.
    #[must_use]
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms)
    }

    /// Time between two renewals or looks.
    #[must_use]
    pub fn renew_interval(&self) -> Duration {
        Duration::from_millis(self.beat_ms)
    }

    /// How much longer each further candidate waits.
    #[must_use]
    pub fn stagger(&self) -> Duration {
        Duration::from_millis(self.stagger_ms)
    }
}

/// Leave to act under a lease until it runs out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The lease.
    pub name: LeaseName,
    /// Its epoch; orders carry it as fencing number.
    pub epoch: LeaseEpoch,
    /// Version of the epoch's row, which every transaction checks.
    pub epoch_version: RowVersion,
    /// End on this process's monotonic clock.
    pub valid_until: Instant,
}

impl LeaseGrant {
    /// Time left.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        self.valid_until.saturating_duration_since(now)
    }

    /// A batch that takes effect only while no other node took the lease over.
    #[must_use]
    pub fn fence(&self, batch: WriteBatch) -> WriteBatch {
        let key = rows::epoch_key(&self.name);
        batch.check(key, RowExpectation::Version(self.epoch_version))
    }
}
