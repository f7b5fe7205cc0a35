//! Shares evidence between nodes through a table of the store.
//!
//! Each node writes the requests it had at a crashed target into its own row and reads the rows of
//! the others. Once several crashes speak against anything that they had in common, the writing node sends
//! a datagram that makes all nodes read the table. The datagram carries no data, so a forged one only costs
//! a read. Nodes that miss it learn from heartbeats that another node suspects a request, or read by
//! themselves for a while after a crash. A node that has seen sound answers with what others suspect says
//! so in a row of its own.
//!
//! A node that starts reads the table after it has written its first heartbeat, and a node that
//! writes a record then reads the heartbeats. One of the two sees the other's row, so a node that
//! starts just then is not left out.

use std::rc::Rc;
use std::time::Duration;

use adapter::{RowWrite, StoreClient, StoreError};
use domain::{EraVersion, FastSet};
use events::{EventCode, LogLine};
use serving::feed::StoreRow;
use serving::hashing::stable_hash;
use serving::poison::CRASH_RETENTION;
use serving::{PoisonDetector, RequestFeature};
use tokio::time::timeout;

use super::rows::{CrashReport, CrashRow, EvidenceRow, SoundRow};
use super::verdict::EvidenceSource;
use crate::heartbeat::read_heartbeats;
use crate::hint_channel::LoadHint;
use crate::node::GatewayNode;
use crate::unreadable_rows::log_unreadable_rows;

/// Table with one row per crashed process and reporting node, and one row per node with sound answers.
pub(super) const EVIDENCE_TABLE: &str = "ends";

/// Prefix of the keys of rows with sound answers.
const SOUND_KEY: &str = "sound";

/// Timeout for a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delays between repeated datagrams: one may be lost, or arrive just after a node has read the
/// table.
const BROADCAST_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_millis(900),
];

/// Minimum interval between two reads; limits the cost of forged datagrams.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(250);

/// The same for each node of a deployment, so that the reads of all stay well below what the store takes.
const READ_INTERVAL_PER_NODE: Duration = Duration::from_millis(2);

/// Time after a crash for which a node reads by itself: the datagrams of others may not reach it.
const ALERT_TIME: Duration = Duration::from_secs(4);

/// The same while several crashes speak against anything.
const CONTESTED_ALERT_TIME: Duration = Duration::from_secs(10);

/// Read interval for that time.
const ALERT_READ_INTERVAL: Duration = Duration::from_millis(1500);

/// Read interval while anything is suspected or barred, for nodes that received no datagram.
const SUSPECT_READ_INTERVAL: Duration = Duration::from_secs(4);

/// Interval at which verdicts are reviewed while answers that have begun since may change them.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before retrying a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Time over which nodes spread writes that all of them may make, for each node of a deployment: what one has
/// written, the others need not.
const SPREAD_PER_NODE: Duration = Duration::from_millis(10);

/// Maximum of that time.
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// Maximum number of rows deleted in one call, set by the store.
const MAX_DELETED_ROWS: usize = 100;

/// Writes the evidence of this node whenever there is any; never returns. What the store does not take is
/// written again until it does: the others judge without it meanwhile.
pub async fn share_evidence(node: Rc<GatewayNode>) {
    let mut client = node.store_client();
    loop {
        wait_for_evidence(&node).await;
        if let Err(error) = publish(&node, &mut client).await {
            log_skipped(&node, "share evidence on crashes", &error);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn wait_for_evidence(node: &GatewayNode) {
    let mut speaks_at = None;
    loop {
        if !node.crashes.unpublished().is_empty() || node.crashes.is_sound_lost() {
            return;
        }
        let found = node.crashes.evidence_found.notified();
        if node.crashes.unreported_sound().is_empty() {
            speaks_at = None;
            found.await;
            continue;
        }
        let now = node.now();
        let speaks_at = *speaks_at.get_or_insert(now + spread_delay(node));
        if speaks_at <= now || timeout(speaks_at.saturating_sub(now), found).await.is_err() {
            return;
        }
    }
}

/// This node's part of the time over which the nodes spread writes that all of them may make: what one says
/// for a feature, and claims of trials.
pub(crate) fn spread_delay(node: &GatewayNode) -> Duration {
    let nodes = u32::try_from(node.node_count()).unwrap_or(u32::MAX);
    let spread = SPREAD_PER_NODE.saturating_mul(nodes);
    let hash = stable_hash(&node.settings.node.as_str());
    let position = f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX);
    spread.min(MAX_SPREAD).mul_f64(position)
}

async fn publish(node: &Rc<GatewayNode>, client: &mut StoreClient) -> Result<(), StoreError> {
    // The first read supplies the store's clock.
    if node.store_clock().is_none() {
        read_evidence(node, client).await?;
    }
    let reports = node.crashes.unpublished();
    let unreported = node.crashes.unreported_sound();
    let writes = build_rows(node, &reports, &unreported)?;
    if writes.is_empty() {
        return Ok(());
    }
    let written = client
        .put_rows(EVIDENCE_TABLE, &writes, STORE_TIMEOUT)
        .await;
    if let Err(error) = written {
        // It may have taken effect all the same.
        tokio::task::spawn_local(broadcast(Rc::clone(node)));
        return Err(error);
    }
    node.crashes.remove_published(&reports);
    node.crashes.set_sound_written();
    node.update_crashes(EvidenceSource::Review, |detector| {
        for (feature, begun_at) in &unreported {
            detector.record_reported_sound(*feature, *begun_at);
        }
    });
    read_evidence(node, client).await?;
    delete_expired(node, client).await;
    // While nothing is suspected, the others can learn of the crash later.
    if !node.crashes.is_clear() || !unreported.is_empty() {
        if let Err(error) = read_heartbeats(node, client).await {
            log_skipped(node, "read heartbeats", &error);
        }
        tokio::task::spawn_local(broadcast(Rc::clone(node)));
    }
    Ok(())
}

fn build_rows(
    node: &GatewayNode,
    reports: &[CrashReport],
    unreported: &[(RequestFeature, Duration)],
) -> Result<Vec<RowWrite>, StoreError> {
    let name = &node.settings.node;
    let mut writes = Vec::new();
    for report in reports {
        let key = format!("{}.{}.{name}", report.process.host, report.process.boot);
        let row = EvidenceRow::Crash(CrashRow::from(report));
        writes.push(encode_row(key, &row)?);
    }
    if !unreported.is_empty() || node.crashes.is_sound_lost() {
        let answers = node.crashes.sound_to_write(unreported);
        let row = EvidenceRow::Sound(SoundRow::new(answers));
        writes.push(encode_row(format!("{SOUND_KEY}.{name}"), &row)?);
    }
    Ok(writes)
}

fn encode_row(key: String, row: &EvidenceRow) -> Result<RowWrite, StoreError> {
    let value = serde_json::to_vec(row);
    let value = value.map_err(|error| StoreError::Malformed(error.to_string()))?;
    Ok(RowWrite { key, value })
}

async fn broadcast(node: Rc<GatewayNode>) {
    for delay in BROADCAST_DELAYS {
        tokio::time::sleep(delay).await;
        node.hints.broadcast(LoadHint::CrashRecordsWritten);
    }
}

/// Reads the evidence of other nodes, at startup, whenever a node announces some, and for a while after a
/// crash; never returns.
pub async fn watch_evidence(node: Rc<GatewayNode>) {
    let mut client = node.store_client();
    let announced = node.crashes.evidence_written.notified();
    drop(timeout(RETRY_DELAY, announced).await);
    loop {
        if let Err(error) = read_evidence(&node, &mut client).await {
            log_skipped(&node, "read evidence on crashes", &error);
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let nodes = u32::try_from(node.node_count()).unwrap_or(u32::MAX);
        let pause = READ_INTERVAL_PER_NODE.saturating_mul(nodes);
        tokio::time::sleep(pause.max(MIN_READ_INTERVAL)).await;
        wait_for_news(&node).await;
    }
}

/// Completes when the evidence is to be read again; reviews the verdicts meanwhile.
async fn wait_for_news(node: &GatewayNode) {
    let read_at = node.now();
    loop {
        let announced = node.crashes.evidence_written.notified();
        let is_quiet = !node.crashes.is_contested() && !is_alert(node);
        if is_quiet {
            tokio::select! {
                () = announced => return,
                () = node.crashes.crash_seen.notified() => continue,
            }
        }
        if timeout(REVIEW_INTERVAL, announced).await.is_ok() {
            return;
        }
        node.update_crashes(EvidenceSource::Review, |_| {});
        let interval = if is_alert(node) {
            ALERT_READ_INTERVAL
        } else {
            SUSPECT_READ_INTERVAL
        };
        if node.now().saturating_sub(read_at) >= interval {
            return;
        }
    }
}

fn is_alert(node: &GatewayNode) -> bool {
    let alert_time = if node.crashes.is_contested() {
        CONTESTED_ALERT_TIME
    } else {
        ALERT_TIME
    };
    let age = node.crashes.crash_age(node.evidence_time());
    age.is_some_and(|age| age < alert_time)
}

/// Rows of the table, with the version and the clock of the store.
struct EvidencePage {
    /// Whether rows that are missing do not exist.
    is_full: bool,
    rows: Vec<StoreRow>,
    version: EraVersion,
    clock: Duration,
}

/// Reads what has changed since the last read, or everything.
pub(super) async fn read_evidence(
    node: &GatewayNode,
    client: &mut StoreClient,
) -> Result<(), StoreError> {
    let known = node.crashes.table.version.get();
    let page = read_rows(node, client, known).await?;
    node.crashes.table.version.set(Some(page.version));
    // What a restored store has lost was true: its writers write it again, and it expires by its own time.
    let is_restored = known.is_some_and(|known| known.era() != page.version.era());
    if !page.clock.is_zero() {
        node.set_store_clock(page.clock);
    }
    let now = node.evidence_time();
    node.update_crashes(EvidenceSource::Store, |detector| {
        if page.is_full && !is_restored {
            forget_missing(node, detector, &page.rows);
        }
        for row in &page.rows {
            apply_row(node, detector, row, now);
        }
    });
    Ok(())
}

fn apply_row(node: &GatewayNode, detector: &mut PoisonDetector, row: &StoreRow, now: Duration) {
    let Some(value) = &row.value else {
        node.crashes.table.forget_row(detector, &row.key);
        return;
    };
    // A row that can't be read tells nothing and is deleted.
    let decoded = EvidenceRow::decode(value);
    let table = &node.crashes.table;
    table.note_row(&row.key, row.version, decoded.as_ref());
    let Some(decoded) = decoded else { return };
    let newest = decoded.newest().unwrap_or_default();
    if now.saturating_sub(newest) < CRASH_RETENTION {
        node.crashes.apply(detector, &decoded);
    }
}

fn forget_missing(node: &GatewayNode, detector: &mut PoisonDetector, rows: &[StoreRow]) {
    let listed: FastSet<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    for key in node.crashes.table.row_keys() {
        if !listed.contains(key.as_str()) {
            node.crashes.table.forget_row(detector, &key);
        }
    }
}

async fn read_rows(
    node: &GatewayNode,
    client: &mut StoreClient,
    known: Option<EraVersion>,
) -> Result<EvidencePage, StoreError> {
    if let Some(known) = known {
        let changes = client
            .watch_table(EVIDENCE_TABLE, known, Duration::ZERO, STORE_TIMEOUT)
            .await;
        match changes {
            Ok(changes) => {
                log_unreadable_rows(node, EVIDENCE_TABLE, &changes.unreadable);
                return Ok(EvidencePage {
                    is_full: false,
                    rows: changes.rows,
                    version: changes.version,
                    clock: changes.clock,
                });
            }
            Err(StoreError::Compacted | StoreError::EraBegan) => {}
            Err(error) => return Err(error),
        }
    }
    let page = client.read_table(EVIDENCE_TABLE, STORE_TIMEOUT).await?;
    log_unreadable_rows(node, EVIDENCE_TABLE, &page.unreadable);
    Ok(EvidencePage {
        is_full: true,
        rows: page.rows,
        version: page.version,
        clock: page.clock,
    })
}

async fn delete_expired(node: &GatewayNode, client: &mut StoreClient) {
    let expired = node.crashes.table.expired_rows(node.evidence_time());
    let Some(keys) = expired.chunks(MAX_DELETED_ROWS).next() else {
        return;
    };
    let removed = client
        .remove_rows(EVIDENCE_TABLE, keys, STORE_TIMEOUT)
        .await;
    match removed {
        Ok(_) => {
            node.update_crashes(EvidenceSource::Review, |detector| {
                for key in keys {
                    node.crashes.table.forget_row(detector, key);
                }
            });
        }
        Err(error) => log_skipped(node, "delete expired evidence", &error),
    }
}

pub(super) fn log_skipped(node: &GatewayNode, step: &str, error: &StoreError) {
    let line = LogLine::new(EventCode::StepSkipped)
        .text("step", step)
        .text("reason", &error.to_string());
    node.log(&line);
}
