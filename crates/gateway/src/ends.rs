//! What all nodes know of targets that ended, by rows of the store.
//!
//! Each node writes what it had at a target that ended into a row of its own, and reads what the others
//! wrote. Once a request is suspected, the writer has all nodes read at once, by a datagram that says
//! nothing else: what it tells to read stands in the store, so a forged one costs a read. Nodes that
//! lost it learn from heartbeats that another one suspects a request, and those that start later read
//! at their start.

use std::rc::Rc;
use std::time::Duration;

use adapter::{RowPage, StoreClient, StoreError, StoreRow};
use domain::{BootNumber, HostId};
use events::{EventCode, EventLine};
use serde::{Deserialize, Serialize};
use serving::poison::CRASH_RETENTION;
use serving::{CrashedRequest, RequestFingerprint, TargetCrash};

use crate::hints::LoadHint;
use crate::node::GatewayNode;

/// Table with a row for each end and node.
const ENDS_TABLE: &str = "ends";

/// Longest wait for the store.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Pauses before the other nodes are told to read, once more each time: a datagram may be lost, and a
/// node may only just have read.
const TELL_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(300),
    Duration::from_millis(900),
];

/// Least pause between two reads, so that forged datagrams cost little.
const READ_PAUSE: Duration = Duration::from_millis(250);

/// Pause between two reads while a request is suspected, for nodes that were not told.
const SUSPECT_PAUSE: Duration = Duration::from_secs(4);

/// Pause before a read that failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Tries to write a row.
const WRITE_TRIES: usize = 3;

/// Most runs in one row: of about 60 bytes each, they fit a row of the store.
const MOST_RUNS: usize = 400;

/// Most rows removed at once, the store's limit.
const MOST_REMOVED: usize = 100;

/// One node's part of what ran at a target that ended.
#[derive(Debug, Serialize, Deserialize)]
struct EndRow {
    host: HostId,
    boot: BootNumber,
    /// The store's clock at the end, in milliseconds.
    clock_ms: u64,
    runs: Vec<RunRow>,
}

#[derive(Debug, Serialize, Deserialize)]
struct RunRow {
    mark: String,
    /// How long its answer had been under way.
    ran_ms: Option<u64>,
}

impl From<&CrashedRequest> for RunRow {
    fn from(run: &CrashedRequest) -> Self {
        let millis = |ran: Duration| u64::try_from(ran.as_millis()).unwrap_or(u64::MAX);
        Self {
            mark: run.fingerprint.to_string(),
            ran_ms: run.answer_age.map(millis),
        }
    }
}

impl TryFrom<&RunRow> for CrashedRequest {
    type Error = std::num::ParseIntError;

    fn try_from(row: &RunRow) -> Result<Self, Self::Error> {
        let fingerprint: RequestFingerprint = row.mark.parse()?;
        Ok(Self {
            fingerprint,
            answer_age: row.ran_ms.map(Duration::from_millis),
        })
    }
}

/// Tells the other nodes what this one had at a target that ended.
pub async fn share_end(node: &Rc<GatewayNode>, end: &TargetCrash, runs: &[CrashedRequest]) {
    let mut client = StoreClient::new(node.settings.store);
    // The first read tells the store's clock.
    if node.store_clock().is_none()
        && let Err(error) = read_ends(node, &mut client).await
    {
        log_failed(node, "read the ends of targets", &error);
        return;
    }
    if let Err(error) = write_end(node, &mut client, end, runs).await {
        log_failed(node, "write what ran at an ended target", &error);
        return;
    }
    match read_ends(node, &mut client).await {
        Ok(page) => remove_old(node, &mut client, &page).await,
        Err(error) => log_failed(node, "read the ends of targets", &error),
    }
    // The others had only neighbours there: what they wrote changes no judgement that must be quick.
    if node.suspects_any(runs) {
        tell_everyone(node).await;
    }
}

async fn write_end(
    node: &GatewayNode,
    client: &mut StoreClient,
    end: &TargetCrash,
    runs: &[CrashedRequest],
) -> Result<(), StoreError> {
    let clock = node.store_clock().unwrap_or_default();
    let row = EndRow {
        host: end.host.clone(),
        boot: end.boot,
        clock_ms: u64::try_from(clock.as_millis()).unwrap_or(u64::MAX),
        runs: runs.iter().take(MOST_RUNS).map(RunRow::from).collect(),
    };
    let value =
        serde_json::to_vec(&row).map_err(|error| StoreError::Malformed(error.to_string()))?;
    let key = format!("{}.{}.{}", end.host, end.boot, node.settings.node);
    let mut written = Ok(());
    for _ in 0..WRITE_TRIES {
        let put = client.put_row(ENDS_TABLE, &key, &value, CALL_LIMIT).await;
        written = put.map(drop);
        if written.is_ok() {
            break;
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    written
}

async fn tell_everyone(node: &GatewayNode) {
    for pause in TELL_PAUSES {
        tokio::time::sleep(pause).await;
        node.hints.broadcast(LoadHint::CrashRecordsWritten);
    }
}

/// Reads what other nodes wrote, at the start and whenever one says so.
pub async fn follow_ends(node: Rc<GatewayNode>) {
    let mut client = StoreClient::new(node.settings.store);
    loop {
        if let Err(error) = read_ends(&node, &mut client).await {
            log_failed(&node, "read the ends of targets", &error);
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        tokio::time::sleep(READ_PAUSE).await;
        if node.blames_nobody() {
            node.ends_written.notified().await;
        } else {
            let told = node.ends_written.notified();
            drop(tokio::time::timeout(SUSPECT_PAUSE, told).await);
        }
    }
}

async fn read_ends(node: &GatewayNode, client: &mut StoreClient) -> Result<RowPage, StoreError> {
    let page = client.read_table(ENDS_TABLE, CALL_LIMIT).await?;
    node.set_store_clock(page.clock);
    let now = node.now();
    node.take_ends(|ledger| {
        for row in page.rows.iter().filter_map(decode_row) {
            let age = row_age(&page, &row);
            if age >= CRASH_RETENTION {
                continue;
            }
            let runs = row
                .runs
                .iter()
                .filter_map(|run| CrashedRequest::try_from(run).ok());
            let runs: Vec<CrashedRequest> = runs.collect();
            let end = TargetCrash {
                host: row.host,
                boot: row.boot,
            };
            ledger.record(end, now.saturating_sub(age), &runs);
        }
    });
    Ok(page)
}

/// A row that can't be read tells nothing; the others hold.
fn decode_row(row: &StoreRow) -> Option<EndRow> {
    serde_json::from_slice(row.value.as_ref()?).ok()
}

fn row_age(page: &RowPage, row: &EndRow) -> Duration {
    page.clock
        .saturating_sub(Duration::from_millis(row.clock_ms))
}

async fn remove_old(node: &GatewayNode, client: &mut StoreClient, page: &RowPage) {
    let is_old = |row: &&StoreRow| {
        let decoded = decode_row(row);
        decoded.is_none_or(|decoded| row_age(page, &decoded) >= CRASH_RETENTION)
    };
    let old = page.rows.iter().filter(is_old).take(MOST_REMOVED);
    let old: Vec<String> = old.map(|row| row.key.clone()).collect();
    if old.is_empty() {
        return;
    }
    let removed = client.remove_rows(ENDS_TABLE, &old, CALL_LIMIT).await;
    if let Err(error) = removed {
        log_failed(node, "remove old ends of targets", &error);
    }
}

fn log_failed(node: &GatewayNode, step: &str, error: &StoreError) {
    let line = EventLine::new(EventCode::StepSkipped)
        .text("step", step)
        .text("reason", &error.to_string());
    node.log(&line);
}
