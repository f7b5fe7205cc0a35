//! Batching of the ledger's writes into transactions.

use std::time::Duration;

use domain::{NodeId, RowVersion, WriteToken};
use events::log_skipped;
use platform::{
    CommitOutcome, RowConflict, RowExpectation, StoreError, TableRow, TableStore, WriteBatch,
    commit_with_retries,
};
use serde_json::Value;
use tokio::sync::oneshot;
use xtra::{Context, Handler};

use super::LedgerSettings;

/// Sends of one transaction before its rows are reported as in doubt.
const COMMIT_ATTEMPTS: u32 = 3;

/// Retry delay suggested while the queue is full.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// One conditional write of one row.
#[derive(Debug)]
pub struct RowWrite {
    pub key: String,
    pub expect: RowExpectation,
    pub value: Value,
}

/// Result of a row's write.
#[derive(Debug)]
pub enum RowOutcome {
    /// It is written with this version.
    Written(RowVersion),
    /// Another writer changed it; none when the row does not exist.
    Conflict(Option<TableRow>),
}

type RowReply = oneshot::Sender<Result<RowOutcome, StoreError>>;

/// Queues a row for the next transaction.
pub struct EnqueueWrite {
    pub write: RowWrite,
    pub reply: RowReply,
}

/// The oldest queued row has reached the batch delay.
struct FlushQueue;

/// A transaction completed.
struct CommitFinished;

/// Collects rows for a few milliseconds and commits them together.
///
/// The table handles several hundred transactions a second for the whole system. With one a claim,
/// a burst of calls in the morning would delay leases and configuration.
#[derive(xtra::Actor)]
pub struct LedgerWriter<T> {
    table: T,
    settings: LedgerSettings,
    token_prefix: String,
    next_batch: u64,
    waiting: Vec<EnqueueWrite>,
    timer_running: bool,
    in_flight: usize,
}

impl<T: TableStore> LedgerWriter<T> {
    /// A writer; its tokens are unique even if the node's name is reused after a restart.
    pub fn new(table: T, node: &NodeId, settings: LedgerSettings) -> Self {
        Self {
            table,
            settings,
            token_prefix: format!("ledger.{node}.{:016x}", rand::random::<u64>()),
            next_batch: 0,
            waiting: Vec::new(),
            timer_running: false,
            in_flight: 0,
        }
    }

    /// Takes the rows of one transaction. A second row with the same key waits for the next one: in
    /// one transaction two claims of one key would both find it absent, and the call would run
    /// twice.
    fn take_rows(&mut self) -> Vec<EnqueueWrite> {
        let mut taken: Vec<EnqueueWrite> = Vec::new();
        let mut remaining = Vec::new();
        for row in self.waiting.drain(..) {
            let duplicate = taken.iter().any(|other| other.write.key == row.write.key);
            if duplicate || taken.len() >= self.settings.batch_rows {
                remaining.push(row);
                continue;
            }
            taken.push(row);
        }
        self.waiting = remaining;
        taken
    }

    fn start_commits(&mut self, ctx: &Context<Self>) {
        while self.in_flight < self.settings.flights && !self.waiting.is_empty() {
            let rows = self.take_rows();
            self.in_flight += 1;
            let prefix = format!("{}.{}", self.token_prefix, self.next_batch);
            self.next_batch += 1;
            let table = self.table.clone();
            let address = ctx.mailbox().address();
            tokio::spawn(async move {
                commit_rows(&table, &prefix, rows).await;
                log_skipped(
                    "report completed commit",
                    address.send(CommitFinished).detach().await,
                );
            });
        }
    }

    fn start_timer(&mut self, ctx: &Context<Self>) {
        if self.timer_running {
            return;
        }
        self.timer_running = true;
        let delay = Duration::from_millis(self.settings.batch_delay_ms);
        let address = ctx.mailbox().address();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            log_skipped("flush queued rows", address.send(FlushQueue).detach().await);
        });
    }
}

impl<T: TableStore> Handler<EnqueueWrite> for LedgerWriter<T> {
    type Return = ();

    async fn handle(&mut self, row: EnqueueWrite, ctx: &mut Context<Self>) {
        if self.waiting.len() >= self.settings.queue_rows {
            let _ = row.reply.send(Err(StoreError::Throttled {
                retry_after: QUEUE_FULL_RETRY_AFTER,
            }));
            return;
        }
        self.waiting.push(row);
        if self.waiting.len() >= self.settings.batch_rows {
            self.start_commits(ctx);
            return;
        }
        self.start_timer(ctx);
    }
}

impl<T: TableStore> Handler<FlushQueue> for LedgerWriter<T> {
    type Return = ();

    async fn handle(&mut self, _: FlushQueue, ctx: &mut Context<Self>) {
        self.timer_running = false;
        self.start_commits(ctx);
    }
}

impl<T: TableStore> Handler<CommitFinished> for LedgerWriter<T> {
    type Return = ();

    async fn handle(&mut self, _: CommitFinished, ctx: &mut Context<Self>) {
        self.in_flight -= 1;
        if !self.timer_running {
            self.start_commits(ctx);
        }
    }
}

/// Commits rows together; conflicting rows get their reply and the others are sent again without
/// them, so that one reused key does not fail the calls that share its transaction.
async fn commit_rows<T: TableStore>(table: &T, prefix: &str, mut rows: Vec<EnqueueWrite>) {
    let mut attempt = 0_u32;
    loop {
        rows.retain(|row| !row.reply.is_closed());
        if rows.is_empty() {
            return;
        }
        let outcome = match batch_of(&rows, &format!("{prefix}.{attempt}")) {
            Ok(batch) => commit_with_retries(table, &batch, COMMIT_ATTEMPTS).await,
            Err(error) => Err(error),
        };
        match outcome {
            Ok(CommitOutcome::Committed(version)) => {
                for row in rows.drain(..) {
                    let _ = row.reply.send(Ok(RowOutcome::Written(version)));
                }
            }
            Ok(CommitOutcome::Conflict(conflicts)) => rows = reply_to_conflicts(rows, &conflicts),
            Err(error) => {
                for row in rows.drain(..) {
                    let _ = row.reply.send(Err(error.clone()));
                }
            }
        }
        attempt += 1;
    }
}

/// Replies to the writers of the conflicting rows and returns the others.
fn reply_to_conflicts(rows: Vec<EnqueueWrite>, conflicts: &[RowConflict]) -> Vec<EnqueueWrite> {
    let count = rows.len();
    let mut remaining = Vec::with_capacity(count);
    for row in rows {
        let conflict = conflicts
            .iter()
            .find(|conflict| conflict.key == row.write.key);
        match conflict {
            Some(conflict) => {
                let outcome = RowOutcome::Conflict(conflict.row.clone());
                let _ = row.reply.send(Ok(outcome));
            }
            None => remaining.push(row),
        }
    }
    if remaining.len() < count {
        return remaining;
    }
    for row in remaining {
        let text = "the table reported a conflict on a row outside the batch".to_owned();
        let _ = row.reply.send(Err(StoreError::Malformed(text)));
    }
    Vec::new()
}

fn batch_of(rows: &[EnqueueWrite], token: &str) -> Result<WriteBatch, StoreError> {
    let token: WriteToken = token
        .parse()
        .map_err(|error: domain::IdError| StoreError::Malformed(error.to_string()))?;
    let mut batch = WriteBatch::new(token);
    for row in rows {
        let write = &row.write;
        batch = batch.put(write.key.clone(), write.expect, write.value.clone());
    }
    Ok(batch)
}
