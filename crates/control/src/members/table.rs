//! Membership rows in the table: heartbeats, the slow listing, cleaning, goodbye.

use std::time::{Duration, Instant};

use domain::{FastSet, NodeId, WriteToken};
use events::{EventCode, EventRecorder, EventSubject, log_skipped};
use platform::{
    RowExpectation, StoreError, TableRow, TableStore, WriteBatch, keys, settled_commit,
};

use crate::config::poll::jittered;

use super::{HeartbeatSource, MemberRow, MemberSettings, SharedMembership};

/// Sends of one transaction.
const COMMIT_ATTEMPTS: u32 = 3;

/// Rows cleaned at once.
const CLEAN_BATCH: usize = 50;

/// Keeps a node's row and reads those of the others.
#[derive(Debug, Clone, bon::Builder)]
pub struct MemberTableSync<T> {
    table: T,
    membership: SharedMembership,
    recorder: EventRecorder,
    settings: MemberSettings,
}

impl<T: TableStore> MemberTableSync<T> {
    /// Renews the row, until the task is dropped.
    ///
    /// At 410 nodes and a row every 10 s these are 41 writes a second of several hundred.
    pub async fn run_row_writes(self) {
        loop {
            self.membership.state().advance_heartbeat();
            // The next beat writes it again; peers go by the links meanwhile.
            log_skipped("write member row", self.write_row().await);
            tokio::time::sleep(jittered(self.settings.write())).await;
        }
    }

    /// Raises the heartbeat that peers pass on, until the task is dropped.
    pub async fn run_heartbeats(self) {
        loop {
            self.membership.state().advance_heartbeat();
            self.membership.publish(Instant::now());
            tokio::time::sleep(jittered(self.settings.beat())).await;
        }
    }

    /// Lists the rows, until the task is dropped: often while the node is alone, seldom after.
    pub async fn run_listings(self) {
        loop {
            let listed = self.list_rows().await.is_ok();
            self.membership.publish(Instant::now());
            let alone = self.membership.view(Instant::now()).members.len() < 2;
            let pause = if listed && !alone {
                self.settings.list()
            } else {
                self.settings.beat()
            };
            tokio::time::sleep(jittered(pause)).await;
        }
    }

    /// Takes the node's row away; peers are told by the links.
    pub async fn leave(&self) {
        let Ok(token) = self.token("leave", 0) else {
            return;
        };
        let key = keys::member_key(self.membership.node());
        let batch = WriteBatch::new(token).delete(key, RowExpectation::Any);
        // A row that stays is deleted once nobody has heard the node for long.
        let left = settled_commit(&self.table, &batch, COMMIT_ATTEMPTS).await;
        log_skipped("delete member row", left);
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

    /// Deletes the rows of nodes that nobody heard for long. One node at a time does it, by choice
    /// over the view, and each delete names the row's version: a node that beats again keeps its
    /// row.
    async fn clean_rows(&self, rows: &[TableRow], now: Instant) -> Result<(), StoreError> {
        let view = self.membership.view(now);
        if view.choose("member-cleaner") != Some(self.membership.node()) {
            return Ok(());
        }
        let expired: FastSet<NodeId> = self
            .membership
            .state()
            .expired(now, self.settings.expire())
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
        settled_commit(&self.table, &batch, COMMIT_ATTEMPTS).await?;
        self.recorder.note(
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
    fn write(&self) -> Duration {
        Duration::from_millis(self.write_ms)
    }

    fn beat(&self) -> Duration {
        Duration::from_millis(self.beat_ms)
    }

    fn list(&self) -> Duration {
        Duration::from_millis(self.list_ms)
    }

    fn expire(&self) -> Duration {
        Duration::from_millis(self.expire_ms)
    }
}
