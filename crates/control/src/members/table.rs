//! Membership rows in the table: heartbeats, periodic listing, deletion of expired rows.

use std::time::{Duration, Instant};

use domain::{FastSet, NodeId, WriteToken};
use events::{EventCode, EventRecorder, EventSubject, log_skipped};
use platform::{
    RowExpectation, StoreError, TableRow, TableStore, WriteBatch, commit_with_retries, keys,
};

use crate::config::poll::jittered;

use super::{HeartbeatSource, MemberRow, MemberSettings, SharedMembership};

/// Sends of one transaction.
const COMMIT_ATTEMPTS: u32 = 3;

/// Rows deleted by one transaction.
const CLEAN_BATCH: usize = 50;

/// Writes this node's row and reads those of the other nodes.
#[derive(Debug, Clone, bon::Builder)]
pub struct MemberTableSync<T> {
    table: T,
    membership: SharedMembership,
    recorder: EventRecorder,
    settings: MemberSettings,
}

impl<T: TableStore> MemberTableSync<T> {
    /// Writes the row at intervals until the task is dropped.
    ///
    /// With 410 nodes and a write every 10 s that is 41 writes a second of several hundred
    /// available.
    pub async fn run_row_writes(self) {
        loop {
            self.membership.state().advance_heartbeat();
            // The next write retries; meanwhile peers receive heartbeats over the links.
            log_skipped("write member row", self.write_row().await);
            tokio::time::sleep(jittered(self.settings.write_interval())).await;
        }
    }

    /// Raises the heartbeat that peers pass on, until the task is dropped.
    pub async fn run_heartbeats(self) {
        loop {
            self.membership.state().advance_heartbeat();
            self.membership.publish(Instant::now());
            tokio::time::sleep(jittered(self.settings.heartbeat_interval())).await;
        }
    }

    /// Lists the rows until the task is dropped: often while the node knows no other, rarely
    /// afterwards.
    pub async fn run_listings(self) {
        loop {
            let listed = self.list_rows().await.is_ok();
            self.membership.publish(Instant::now());
            let alone = self.membership.view(Instant::now()).members.len() < 2;
            let interval = if listed && !alone {
                self.settings.list_interval()
            } else {
                self.settings.heartbeat_interval()
            };
            tokio::time::sleep(jittered(interval)).await;
        }
    }

    /// Deletes the node's row; peers learn of the departure over the links.
    pub async fn leave(&self) {
        let Ok(token) = self.token("leave", 0) else {
            return;
        };
        let key = keys::member_key(self.membership.node());
        let batch = WriteBatch::new(token).delete(key, RowExpectation::Any);
        // If this fails, the row is deleted after it expires.
        let result = commit_with_retries(&self.table, &batch, COMMIT_ATTEMPTS).await;
        log_skipped("delete member row", result);
    }

    fn token(&self, step: &str, number: u64) -> Result<WriteToken, StoreError> {
        format!("member.{step}.{}.{number}", self.membership.node())
            .parse()
            .map_err(|error: domain::IdError| StoreError::Malformed(error.to_string()))
    }

    async fn write_row(&self) -> Result<(), StoreError> {
        let row = self.membership.state().own().clone();
        let token = self.token("beat", row.beat)?;
        let value =
            serde_json::to_value(&row).map_err(|error| StoreError::Malformed(error.to_string()))?;
        let key = keys::member_key(self.membership.node());
        let batch = WriteBatch::new(token).put(key, RowExpectation::Any, value);
        self.table.commit(&batch).await.map(|_| ())
    }

    async fn list_rows(&self) -> Result<(), StoreError> {
        let rows = self.table.scan(keys::MEMBERS).await?;
        let now = Instant::now();
        let mut listed = FastSet::default();
        {
            let mut state = self.membership.state();
            for row in &rows {
                let Some(parsed) = parse_row(row) else {
                    continue;
                };
                listed.insert(parsed.member.node.clone());
                state.observe(parsed, HeartbeatSource::Table, now);
            }
            state.observe_listing(&listed, now);
        }
        self.clean_rows(&rows, now).await
    }

    /// Deletes expired rows. One node, chosen from the view, does it at a time, and each delete
    /// expects the row's version: a node that sends a heartbeat again keeps its row.
    async fn clean_rows(&self, rows: &[TableRow], now: Instant) -> Result<(), StoreError> {
        let view = self.membership.view(now);
        if view.choose("member-cleaner") != Some(self.membership.node()) {
            return Ok(());
        }
        let expired: FastSet<NodeId> = self
            .membership
            .state()
            .expired(now, self.settings.expiry())
            .into_iter()
            .collect();
        let mut cleaned = Vec::new();
        let mut batch = WriteBatch::new(self.token("clean", self.membership.state().own().beat)?);
        for row in rows {
            let Some(parsed) = parse_row(row) else {
                continue;
            };
            if !expired.contains(&parsed.member.node) || cleaned.len() == CLEAN_BATCH {
                continue;
            }
            batch = batch.delete(row.key.clone(), RowExpectation::Version(row.version));
            cleaned.push(parsed.member.node.to_string());
        }
        if cleaned.is_empty() {
            return Ok(());
        }
        commit_with_retries(&self.table, &batch, COMMIT_ATTEMPTS).await?;
        self.recorder.record(
            EventCode::MemberExpired,
            EventSubject::default(),
            cleaned.join(" "),
        );
        Ok(())
    }
}

fn parse_row(row: &TableRow) -> Option<MemberRow> {
    serde_json::from_value(row.value.clone()).ok()
}

impl MemberSettings {
    fn write_interval(&self) -> Duration {
        Duration::from_millis(self.write_ms)
    }

    fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.beat_ms)
    }

    fn list_interval(&self) -> Duration {
        Duration::from_millis(self.list_ms)
    }

    fn expiry(&self) -> Duration {
        Duration::from_millis(self.expire_ms)
    }
}
