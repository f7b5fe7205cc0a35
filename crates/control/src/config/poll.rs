//! Polling the configuration's head in the table.

use std::time::{Duration, Instant};

use domain::{ConfigRevision, RowVersion};
use events::{EventCode, EventRecorder, EventSubject, log_skipped};
use platform::{ObjectStore, RowRead, StoreError, TableStore, keys};
use rand::Rng;

use crate::amend::ConfigHead;
use crate::members::SharedMembership;

use super::ConfigSettings;
use super::actor::{ConfigHandle, ConfigObservation, HeadConfirmation};
use super::load::{ConfigUpdate, load_update};
use super::snapshot::publish_snapshot;

/// Polls the head and applies what the node lacks.
#[derive(Debug, Clone, bon::Builder)]
pub struct ConfigPoller<T, O> {
    table: T,
    objects: O,
    config: ConfigHandle,
    members: SharedMembership,
    recorder: EventRecorder,
    settings: ConfigSettings,
}

/// The head as last read from the table.
#[derive(Debug, Clone, Copy)]
struct KnownHead {
    version: RowVersion,
    revision: ConfigRevision,
}

/// Polls the head until the task is dropped.
///
/// The delays are jittered, also after a failure: 410 nodes that all retry as soon as the store
/// returns would overload it again.
pub async fn poll_config<T: TableStore, O: ObjectStore>(poller: ConfigPoller<T, O>) {
    let mut known = None;
    let mut published = ConfigRevision(0);
    loop {
        // The next poll retries, and the table's circuit breaker reports an outage.
        log_skipped("poll configuration", poller.poll(&mut known).await);
        poller.maintain_snapshots(&mut published).await;
        tokio::time::sleep(jittered(poller.settings.poll())).await;
    }
}

/// Returns a random duration between half and one and a half of `mean`.
#[must_use]
pub fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.5..1.5))
}

impl<T: TableStore, O: ObjectStore> ConfigPoller<T, O> {
    async fn poll(&self, known: &mut Option<KnownHead>) -> Result<(), StoreError> {
        let as_of = Instant::now();
        let read = self
            .table
            .read(keys::CONFIG_HEAD, known.map(|head| head.version))
            .await?;
        let head = match (read, *known) {
            (RowRead::Unchanged, Some(head)) => head,
            (RowRead::Unchanged, None) | (RowRead::Absent, _) => return Ok(()),
            (RowRead::Found(row), _) => {
                let head: ConfigHead = serde_json::from_value(row.value)
                    .map_err(|error| StoreError::Malformed(error.to_string()))?;
                KnownHead {
                    version: row.version,
                    revision: head.revision,
                }
            }
        };
        let applied = self.config.status().revision;
        if head.revision < applied {
            self.record_regression(head.revision, applied);
        }
        let update = if head.revision > applied {
            load_update(&self.table, &self.objects, applied, head.revision).await?
        } else {
            ConfigUpdate::default()
        };
        *known = Some(head);
        let confirmation = Some(HeadConfirmation {
            revision: head.revision,
            as_of,
        });
        self.config
            .observe(ConfigObservation {
                update,
                confirmation,
                known: head.revision,
            })
            .await;
        Ok(())
    }

    fn record_regression(&self, head: ConfigRevision, applied: ConfigRevision) {
        let detail =
            format!("the table has revision {head}, but revision {applied} is applied here");
        self.recorder
            .record(EventCode::ConfigRegressed, EventSubject::default(), detail);
    }

    /// Writes a snapshot when this node is chosen for it: one node for each multiple of
    /// `snapshot_every`, so that an amendment does not make 410 nodes write the same object.
    async fn maintain_snapshots(&self, published: &mut ConfigRevision) {
        let every = self.settings.snapshot_every.max(1);
        let revision = self.config.status().revision;
        let snapshot_number = revision.0 / every;
        if snapshot_number == published.0 / every {
            return;
        }
        let view = self.members.view(Instant::now());
        let chosen = view.choose(&format!("snapshot.{snapshot_number}"));
        if chosen.is_some_and(|node| *node != *self.members.node()) {
            *published = revision;
            return;
        }
        let snapshot = self.config.snapshot().await;
        let retained = self.settings.keep_changes;
        let seed = self.members.node().as_str();
        let result = publish_snapshot(&self.table, &self.objects, &snapshot, retained, seed).await;
        if result.is_err() {
            return;
        }
        *published = revision;
        let detail = format!("revision {}", snapshot.revision);
        self.recorder
            .record(EventCode::SnapshotWritten, EventSubject::default(), detail);
    }
}
