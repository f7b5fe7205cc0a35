//! Leases: which node may act for a fabric domain, and which one runs housekeeping.
//!
//! A lease has two rows. `lease/{name}` holds the [`domain::LeaseRecord`] and is written at every
//! renewal. `lease-epoch/{name}` holds the epoch and is written only when the holder changes, in
//! the same transaction as the acquisition. Every transaction under a lease checks the version of
//! the second row, so that a holder that was paused past its lease changes nothing in the table.
//!
//! Alternatives considered: checking the lease's row itself would save one row, but a renewal
//! changes its version, so every transaction prepared before a renewal and sent after it would
//! fail; with a renewal every 3 s and rounds of half a second that is one round in six. Delaying
//! renewals during a transaction would tie the lease's lifetime to the slowest store call. A check
//! on content (`epoch = 7`) would work, but the table only checks versions.
//!
//! The table's versions fence writes to the table. Orders to targets are fenced by the epoch where
//! targets check it, and by [`LeaseGrant::remaining`] before each order; see [`crate::assembly`]
//! for the case that remains.
//!
//! Cost: a lease is watched by its [`LeaseSettings::candidates`] instead of all nodes. With 100
//! fabric domains, three candidates and a renewal interval of 3 s that is 34 writes and 67 reads a
//! second for the whole system, independent of the number of nodes.

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

/// Timing of the leases. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// Time for which a holder may act after the start of its last renewal. A shorter one lets a
    /// replica be repaired sooner after its controller died; a longer one tolerates a slower store.
    #[builder(default = 9_000)]
    pub ttl_ms: u64,
    /// Time between two renewals or reads; a third of [`Self::ttl_ms`] leaves two retries.
    #[builder(default = 3_000)]
    pub beat_ms: u64,
    /// Number of nodes that watch one lease.
    #[builder(default = 3)]
    pub candidates: usize,
    /// Additional wait of each further candidate, so that the first one acquires the lease without
    /// conflicts from the others.
    #[builder(default = 1_000)]
    pub stagger_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl LeaseSettings {
    /// [`Self::ttl_ms`] as a duration.
    #[must_use]
    pub fn ttl(&self) -> Duration {
        Duration::from_millis(self.ttl_ms)
    }

    /// [`Self::beat_ms`] as a duration.
    #[must_use]
    pub fn renew_interval(&self) -> Duration {
        Duration::from_millis(self.beat_ms)
    }

    /// [`Self::stagger_ms`] as a duration.
    #[must_use]
    pub fn stagger(&self) -> Duration {
        Duration::from_millis(self.stagger_ms)
    }
}

/// Permission to act under a lease until it expires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The lease that is held.
    pub name: LeaseName,
    /// Epoch of this acquisition; orders carry it as fencing token.
    pub epoch: LeaseEpoch,
    /// Version of the epoch row, which every transaction checks.
    pub epoch_version: RowVersion,
    /// Expiry on this process's monotonic clock.
    pub valid_until: Instant,
}

impl LeaseGrant {
    /// Time until the lease expires; zero afterwards.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Duration {
        self.valid_until.saturating_duration_since(now)
    }

    /// Makes the batch fail once another node has acquired the lease.
    #[must_use]
    pub fn fence(&self, batch: WriteBatch) -> WriteBatch {
        let key = rows::epoch_key(&self.name);
        batch.check(key, RowExpectation::Version(self.epoch_version))
    }
}
