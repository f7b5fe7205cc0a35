//! The actor that acquires, renews and releases one lease.

use std::time::{Duration, Instant};

use domain::{LeaseRecord, NodeId, RowVersion};
use events::{EventCode, EventRecorder, EventSubject, log_skipped};
use platform::{
    CommitOutcome, RowExpectation, RowRead, StoreError, TableStore, WriteBatch,
    commit_with_retries, keys,
};
use tokio::sync::watch;
use xtra::{Address, Context, Handler, Mailbox};

use super::{CandidateRank, EpochRow, LeaseGrant, LeaseSettings, LeaseStep, LeaseTracker};
use crate::backoff::with_jitter;
use crate::token::random_token;

/// Sends of one transaction; the next tick continues from what the table then contains.
const COMMIT_ATTEMPTS: u32 = 2;

/// Fraction of the renewal interval by which each delay is shortened at random.
const JITTER_FRACTION: f64 = 0.2;

const MAILBOX_CAPACITY: usize = 8;

/// Reads the lease and acts on it.
struct LeaseTick;

/// Releases the lease because the process stops.
struct ReleaseLease;

/// Handle of a lease actor. The actor ends when the handle is dropped.
#[derive(Debug)]
pub struct LeaseHandle<T: TableStore> {
    address: Address<LeaseActor<T>>,
    grants: watch::Receiver<Option<LeaseGrant>>,
}

impl<T: TableStore> LeaseHandle<T> {
    /// The current grant, or none while the lease is not held. Check [`LeaseGrant::remaining`]
    /// before each action.
    #[must_use]
    pub fn grants(&self) -> watch::Receiver<Option<LeaseGrant>> {
        self.grants.clone()
    }

    /// Releases the lease, so that another node need not wait for it to expire.
    pub async fn release(&self) {
        log_skipped("release lease", self.address.send(ReleaseLease).await);
    }
}

/// Acquires, renews and releases one lease.
#[derive(xtra::Actor)]
struct LeaseActor<T> {
    table: T,
    tracker: LeaseTracker,
    rank: watch::Receiver<Option<CandidateRank>>,
    grants: watch::Sender<Option<LeaseGrant>>,
    recorder: EventRecorder,
    stopping: bool,
}

/// Starts the actor of one lease. `rank` is the node's rank among the candidates and may change.
#[must_use]
pub fn start_lease_actor<T: TableStore>(
    table: T,
    tracker: LeaseTracker,
    settings: LeaseSettings,
    rank: watch::Receiver<Option<CandidateRank>>,
    recorder: EventRecorder,
) -> LeaseHandle<T> {
    let (sender, grants) = watch::channel(None);
    let actor = LeaseActor {
        table,
        tracker,
        rank,
        grants: sender,
        recorder,
        stopping: false,
    };
    let address = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_CAPACITY));
    let weak = address.downgrade();
    tokio::spawn(async move {
        while let Ok(next_poll) = weak.send(LeaseTick).await {
            // Regular ticks get jitter; a tick that waits for a lease to expire comes on time.
            let interval = settings.renew_interval();
            let delay = if next_poll < interval {
                next_poll
            } else {
                with_jitter(interval, JITTER_FRACTION)
            };
            tokio::time::sleep(delay).await;
        }
    });
    LeaseHandle { address, grants }
}

impl<T: TableStore> Handler<LeaseTick> for LeaseActor<T> {
    type Return = Duration;

    async fn handle(&mut self, _: LeaseTick, _: &mut Context<Self>) -> Duration {
        if self.stopping {
            return Duration::MAX;
        }
        // Store failures are not recorded here: the table's circuit breaker reports them, and an
        // expired lease is reported as lost.
        let result = self.tick().await;
        self.publish();
        if result.is_err() {
            // Polling faster while the table is down would only add load.
            return Duration::MAX;
        }
        let rank = *self.rank.borrow();
        self.tracker.next_poll(rank, Instant::now())
    }
}

impl<T: TableStore> Handler<ReleaseLease> for LeaseActor<T> {
    type Return = ();

    async fn handle(&mut self, _: ReleaseLease, _: &mut Context<Self>) {
        self.stopping = true;
        let step = self.tracker.release_step();
        // A lease that could not be released expires, which delays its next holder a little.
        log_skipped("write lease release", self.execute(step).await);
        self.publish();
    }
}

impl<T: TableStore> LeaseActor<T> {
    async fn tick(&mut self) -> Result<(), StoreError> {
        let rank = *self.rank.borrow();
        // If 410 nodes all read 100 leases at every tick, the reads would exceed the table's limit.
        if rank.is_none() && !self.tracker.is_held() {
            return Ok(());
        }
        let key = keys::lease_key(self.tracker.name());
        let read = self.table.read(&key, self.tracker.version()).await?;
        let now = Instant::now();
        match read {
            RowRead::Unchanged => {}
            RowRead::Absent => self.tracker.observe(LeaseRecord::default(), None, now),
            RowRead::Found(row) => {
                let record = serde_json::from_value(row.value)
                    .map_err(|error| StoreError::Malformed(error.to_string()))?;
                self.tracker.observe(record, Some(row.version), now);
            }
        }
        let step = self.tracker.next_step(rank, now);
        self.execute(step).await
    }

    async fn execute(&mut self, step: LeaseStep) -> Result<(), StoreError> {
        let started = Instant::now();
        match step {
            LeaseStep::Wait => Ok(()),
            LeaseStep::Renew(record) => {
                if let Some(version) = self.write_record(&record, None).await? {
                    self.tracker.record_renewed(record, version, started);
                }
                Ok(())
            }
            LeaseStep::Acquire(record) => {
                let epoch_row = self.next_epoch_row(&record).await?;
                let started = Instant::now();
                if let Some(version) = self.write_record(&record, Some(epoch_row)).await? {
                    let detail = format!("epoch {}", record.epoch);
                    self.record_event(EventCode::LeaseTaken, detail);
                    self.tracker.record_acquired(record, version, started);
                }
                Ok(())
            }
            LeaseStep::Release(record) => {
                // The grant ends before the write is sent: the release may take effect even if its
                // response is lost.
                self.tracker.record_lost();
                self.publish();
                self.write_record(&record, None).await?;
                Ok(())
            }
        }
    }

    async fn next_epoch_row(
        &self,
        record: &LeaseRecord,
    ) -> Result<(RowExpectation, EpochRow), StoreError> {
        let key = keys::epoch_key(self.tracker.name());
        let expect = match self.table.read(&key, None).await? {
            RowRead::Found(row) => RowExpectation::Version(row.version),
            RowRead::Absent | RowRead::Unchanged => RowExpectation::Absent,
        };
        let row = EpochRow {
            epoch: record.epoch,
            holder: self.tracker.holder().clone(),
        };
        Ok((expect, row))
    }

    /// Writes the record over the last observed version. Returns none when another node wrote
    /// first.
    async fn write_record(
        &self,
        record: &LeaseRecord,
        epoch: Option<(RowExpectation, EpochRow)>,
    ) -> Result<Option<RowVersion>, StoreError> {
        let malformed = |error: serde_json::Error| StoreError::Malformed(error.to_string());
        let expect = match self.tracker.version() {
            Some(version) => RowExpectation::Version(version),
            None => RowExpectation::Absent,
        };
        let value = serde_json::to_value(record).map_err(malformed)?;
        let key = keys::lease_key(self.tracker.name());
        let mut batch = WriteBatch::new(random_token("lease")?).put(key, expect, value);
        if let Some((expect, row)) = epoch {
            let value = serde_json::to_value(row).map_err(malformed)?;
            batch = batch.put(keys::epoch_key(self.tracker.name()), expect, value);
        }
        match commit_with_retries(&self.table, &batch, COMMIT_ATTEMPTS).await? {
            CommitOutcome::Committed(version) => Ok(Some(version)),
            CommitOutcome::Conflict(_) => Ok(None),
        }
    }

    fn publish(&self) {
        let grant = self.tracker.grant(Instant::now());
        self.grants.send_if_modified(|current| {
            let lost = current.is_some() && grant.is_none();
            if lost {
                self.record_event(EventCode::LeaseLost, String::new());
            }
            let changed = *current != grant;
            *current = grant;
            changed
        });
    }

    fn record_event(&self, code: EventCode, detail: String) {
        let subject = EventSubject::lease(self.tracker.name());
        self.recorder.record(code, subject, detail);
    }
}

/// A holder id that is unique to this process, since a restarted node may reuse the node's name.
#[must_use]
pub fn unique_holder_id(node: &NodeId) -> NodeId {
    let text = format!("{node}.{:016x}", rand::random::<u64>());
    text.parse().unwrap_or_else(|_| node.clone())
}
