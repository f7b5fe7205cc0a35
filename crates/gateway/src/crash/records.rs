//! Shares crash records between nodes through a table of the store.
//!
//! Each node writes the requests it had at a crashed target into its own row and reads the rows of
//! the others. Once a request is suspected, the writing node sends a datagram that makes all nodes
//! read the table. The datagram carries no data, so a forged one only costs a read. Nodes that miss
//! it learn from heartbeats that another node suspects a request.
//!
//! A node that starts reads the table after it has written its first heartbeat, and a node that
//! writes a record then reads the heartbeats. One of the two sees the other's row, so a node that
//! starts just then is not left out.

use std::rc::Rc;
use std::time::Duration;

use adapter::{RowPage, StoreClient, StoreError, StoreRow};
use domain::{BootNumber, HostId};
use events::{EventCode, LogLine};
use serde::{Deserialize, Serialize};
use serving::poison::CRASH_RETENTION;
use serving::{CrashedRequest, RequestFingerprint, TargetProcess};

use crate::heartbeat::read_heartbeats;
use crate::hints::LoadHint;
use crate::node::GatewayNode;

/// Table with one row per crashed process and reporting node.
const CRASH_TABLE: &str = "ends";

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

/// Read interval while a request is suspected, for nodes that received no datagram.
const SUSPECT_READ_INTERVAL: Duration = Duration::from_secs(4);

/// Delay before retrying a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Maximum number of attempts to write a row.
const WRITE_ATTEMPTS: usize = 3;

/// Maximum number of requests in one row. At about 60 bytes each they fit the store's row size
/// limit.
const MAX_REQUESTS_PER_ROW: usize = 400;

/// Maximum number of rows deleted in one call, set by the store.
const MAX_DELETED_ROWS: usize = 100;

/// One node's record of the requests that ran at a crashed target.
#[derive(Debug, Serialize, Deserialize)]
struct CrashRow {
    host: HostId,
    boot: BootNumber,
    /// Store clock at the time of the crash, in milliseconds.
    clock_ms: u64,
    #[serde(rename = "runs")]
    requests: Vec<RequestRow>,
}

#[derive(Debug, Serialize, Deserialize)]
struct RequestRow {
    #[serde(rename = "mark")]
    fingerprint: String,
    /// Time since the response began, in milliseconds; `None` if it had not.
    #[serde(rename = "ran_ms")]
    response_age_ms: Option<u64>,
}

impl From<&CrashedRequest> for RequestRow {
    fn from(request: &CrashedRequest) -> Self {
        let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Self {
            fingerprint: request.fingerprint.to_string(),
            response_age_ms: request.response_age.map(millis),
        }
    }
}

impl TryFrom<&RequestRow> for CrashedRequest {
    type Error = std::num::ParseIntError;

    fn try_from(row: &RequestRow) -> Result<Self, Self::Error> {
        let fingerprint: RequestFingerprint = row.fingerprint.parse()?;
        Ok(Self {
            fingerprint,
            response_age: row.response_age_ms.map(Duration::from_millis),
        })
    }
}

/// Writes this node's record of a crashed target and notifies the other nodes.
pub async fn publish_crash(
    node: &Rc<GatewayNode>,
    crash: &TargetProcess,
    requests: &[CrashedRequest],
) {
    let mut client = StoreClient::new(node.settings.store);
    // The first read supplies the store's clock.
    if node.store_clock().is_none()
        && let Err(error) = read_crash_records(node, &mut client).await
    {
        log_skipped(node, "read crash records", &error);
        return;
    }
    if let Err(error) = write_crash(node, &mut client, crash, requests).await {
        log_skipped(node, "write a crash record", &error);
        return;
    }
    match read_crash_records(node, &mut client).await {
        Ok(page) => delete_expired(node, &mut client, &page).await,
        Err(error) => log_skipped(node, "read crash records", &error),
    }
    // If none of these requests is suspected, the others can learn of the crash later.
    if node.crashes.suspects_any(requests) {
        if let Err(error) = read_heartbeats(node, &mut client).await {
            log_skipped(node, "read heartbeats", &error);
        }
        broadcast_crashes(node).await;
    }
}

async fn write_crash(
    node: &GatewayNode,
    client: &mut StoreClient,
    crash: &TargetProcess,
    requests: &[CrashedRequest],
) -> Result<(), StoreError> {
    let clock = node.store_clock().unwrap_or_default();
    let row = CrashRow {
        host: crash.host.clone(),
        boot: crash.boot,
        clock_ms: u64::try_from(clock.as_millis()).unwrap_or(u64::MAX),
        requests: requests
            .iter()
            .take(MAX_REQUESTS_PER_ROW)
            .map(RequestRow::from)
            .collect(),
    };
    let value =
        serde_json::to_vec(&row).map_err(|error| StoreError::Malformed(error.to_string()))?;
    let key = format!("{}.{}.{}", crash.host, crash.boot, node.settings.node);
    let mut written = Ok(());
    for _ in 0..WRITE_ATTEMPTS {
        let put = client
            .put_row(CRASH_TABLE, &key, &value, STORE_TIMEOUT)
            .await;
        written = put.map(drop);
        if written.is_ok() {
            break;
        }
        tokio::time::sleep(MIN_READ_INTERVAL).await;
    }
    written
}

async fn broadcast_crashes(node: &GatewayNode) {
    for delay in BROADCAST_DELAYS {
        tokio::time::sleep(delay).await;
        node.hints.broadcast(LoadHint::CrashRecordsWritten);
    }
}

/// Reads the records of other nodes, at startup and whenever a node announces new ones.
pub async fn watch_crash_records(node: Rc<GatewayNode>) {
    let mut client = StoreClient::new(node.settings.store);
    let announced = node.crash_records_changed.notified();
    drop(tokio::time::timeout(RETRY_DELAY, announced).await);
    loop {
        if let Err(error) = read_crash_records(&node, &mut client).await {
            log_skipped(&node, "read crash records", &error);
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        tokio::time::sleep(MIN_READ_INTERVAL).await;
        if node.crashes.is_clear() {
            node.crash_records_changed.notified().await;
        } else {
            let announced = node.crash_records_changed.notified();
            drop(tokio::time::timeout(SUSPECT_READ_INTERVAL, announced).await);
        }
    }
}

async fn read_crash_records(
    node: &GatewayNode,
    client: &mut StoreClient,
) -> Result<RowPage, StoreError> {
    let page = client.read_table(CRASH_TABLE, STORE_TIMEOUT).await?;
    node.set_store_clock(page.clock);
    let now = node.now();
    node.update_crashes(|detector| {
        for row in page.rows.iter().filter_map(decode_row) {
            let age = row_age(&page, &row);
            if age >= CRASH_RETENTION {
                continue;
            }
            let requests = row
                .requests
                .iter()
                .filter_map(|request| CrashedRequest::try_from(request).ok());
            let requests: Vec<CrashedRequest> = requests.collect();
            let crash = TargetProcess {
                host: row.host,
                boot: row.boot,
            };
            detector.record(crash, now.saturating_sub(age), &requests);
        }
    });
    Ok(page)
}

/// Decodes a row; malformed rows are skipped.
fn decode_row(row: &StoreRow) -> Option<CrashRow> {
    serde_json::from_slice(row.value.as_ref()?).ok()
}

fn row_age(page: &RowPage, row: &CrashRow) -> Duration {
    page.clock
        .saturating_sub(Duration::from_millis(row.clock_ms))
}

async fn delete_expired(node: &GatewayNode, client: &mut StoreClient, page: &RowPage) {
    let is_expired = |row: &&StoreRow| {
        let decoded = decode_row(row);
        decoded.is_none_or(|decoded| row_age(page, &decoded) >= CRASH_RETENTION)
    };
    let expired = page.rows.iter().filter(is_expired).take(MAX_DELETED_ROWS);
    let expired: Vec<String> = expired.map(|row| row.key.clone()).collect();
    if expired.is_empty() {
        return;
    }
    let removed = client
        .remove_rows(CRASH_TABLE, &expired, STORE_TIMEOUT)
        .await;
    if let Err(error) = removed {
        log_skipped(node, "delete expired crash records", &error);
    }
}

fn log_skipped(node: &GatewayNode, step: &str, error: &StoreError) {
    let line = LogLine::new(EventCode::StepSkipped)
        .text("step", step)
        .text("reason", &error.to_string());
    node.log(&line);
}
