//! Heartbeats that count the live gateway nodes.
//!
//! The count sets each node's share of the budgets shared by all nodes, and the order in which
//! nodes act for a fabric domain. No safety property depends on it.

use std::rc::Rc;
use std::time::Duration;

use adapter::{StoreClient, StoreError};
use serving::demand::ShareDecision;
use serving::feed::{DeltaProof, TableDelta};
use wire::feed::{FeedLane, FeedTable};

use self::interval::heartbeat_interval;
use self::row::{DecisionRow, LinkRow, NodeRow};
use crate::feed::{COUNT_INTERVAL, TableConfirmation, TableOrigin, log_refused};
use crate::node::GatewayNode;
use crate::restore::{log_rows_written_again, restore_delay};
use crate::unreadable_rows::log_unreadable_rows;

mod census;
mod interval;
mod row;

pub use census::count_nodes;
pub(crate) use interval::{blind_age, counted_age, outdated_age};

/// Table with one row per node.
pub const NODES_TABLE: &str = "nodes";

/// Time between the first heartbeat and the next read, which shows the other nodes of a start of
/// all; also the delay after a failed call.
const INITIAL_INTERVAL: Duration = Duration::from_millis(700);

/// Interval at which a node that others follow reads the heartbeats.
const ROOT_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum interval between two heartbeats that are due.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout for a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Writes heartbeats and counts those of other nodes; never returns.
pub async fn run_heartbeats(node: Rc<GatewayNode>) {
    let mut client = node.store_client();
    while announce(&node, &mut client).await.is_err() {
        tokio::time::sleep(INITIAL_INTERVAL).await;
    }
    let mut written_at = node.now();
    node.set_heartbeat_written();
    let mut pause = INITIAL_INTERVAL;
    let mut restores = node.restores();
    loop {
        let key_changed = tokio::time::timeout(pause, node.feed.key_changed.notified());
        let mut has_proposal = false;
        let reads_now = tokio::select! {
            changed = key_changed => changed.is_ok(),
            () = node.share_proposed.notified() => {
                has_proposal = true;
                false
            }
            () = node.restored.notified() => false,
            () = count_repeatedly(&node) => false,
        };
        let is_lost = restores != node.restores();
        if is_lost {
            restores = node.restores();
            tokio::time::sleep(restore_delay(&node)).await;
        }
        let interval = heartbeat_interval(node.node_count());
        let is_due = has_proposal || is_lost || node.now().saturating_sub(written_at) >= interval;
        let mut outcome = Ok(());
        if is_due {
            let decision = node.decision_to_write();
            outcome = write_heartbeat(&node, &mut client, decision.as_ref()).await;
            node.finish_proposal(decision.as_ref(), outcome.is_ok());
            if outcome.is_ok() {
                written_at = node.now();
                node.set_heartbeat_written();
                log_rows_written_again(&node, "heartbeat", usize::from(is_lost));
            }
        }
        if outcome.is_ok() && (reads_now || !node.feed.is_following(FeedLane::Bulk)) {
            outcome = read_heartbeats(&node, &mut client).await;
            node.feed.set_counted();
        }
        pause = match outcome {
            // A call of this loop may have shown that the store was restored.
            Ok(()) if restores != node.restores() => Duration::ZERO,
            Ok(()) => next_pause(&node, written_at),
            Err(_) => retry_pause(&node),
        };
    }
}

/// Writes the first heartbeat. It follows the first read, which supplies the store's clock and what was
/// decided before this process started: its heartbeat may replace the only row that tells of it.
async fn announce(node: &GatewayNode, client: &mut StoreClient) -> Result<(), StoreError> {
    let is_read = node
        .feed
        .copy(FeedTable::Nodes)
        .borrow()
        .version()
        .is_some();
    if !is_read {
        read_heartbeats(node, client).await?;
    }
    write_heartbeat(node, client, node.decision_to_write().as_ref()).await?;
    // Other nodes can announce crash records to this one from now on.
    node.crashes.evidence_written.notify_one();
    Ok(())
}

/// Time until the next heartbeat is due, or the next read of a node that others follow.
fn next_pause(node: &GatewayNode, written_at: Duration) -> Duration {
    let due_at = written_at + heartbeat_interval(node.node_count());
    let pause = due_at.saturating_sub(node.now());
    let pause = pause.max(RETRY_INTERVAL);
    if node.feed.is_root(&node.settings.node) {
        return pause.min(ROOT_READ_INTERVAL);
    }
    pause
}

/// Time until the next attempt after a failed call: longer for nodes that are farther from the store
/// in the tree, since the store is probably away for all.
fn retry_pause(node: &GatewayNode) -> Duration {
    let depth = node.feed.depth(&node.settings.node);
    INITIAL_INTERVAL * (1 + 2 * depth)
}

/// Counts the nodes at intervals, since heartbeats expire without a change; never returns.
async fn count_repeatedly(node: &GatewayNode) {
    loop {
        tokio::time::sleep(COUNT_INTERVAL).await;
        count_nodes(node);
    }
}

async fn write_heartbeat(
    node: &GatewayNode,
    client: &mut StoreClient,
    decision: Option<&ShareDecision>,
) -> Result<(), StoreError> {
    let clock = node.store_clock().unwrap_or_default();
    let link = node.feed.address().map(|address| LinkRow {
        address,
        key: node.feed.key_text.clone(),
    });
    let row = NodeRow {
        clock_ms: u64::try_from(clock.as_millis()).unwrap_or(u64::MAX),
        hints: node.hints.address(),
        suspects: !node.crashes.is_clear(),
        domain: node.settings.failure_domain.to_string(),
        link,
        demand: node.demand_report(),
        decision: decision.map(DecisionRow::from),
    };
    let value =
        serde_json::to_vec(&row).map_err(|error| StoreError::Malformed(error.to_string()))?;
    let name = node.settings.node.as_str();
    client
        .put_row(NODES_TABLE, name, &value, STORE_TIMEOUT)
        .await?;
    Ok(())
}

/// Reads the heartbeats of all nodes, or those that changed since the last read.
///
/// # Errors
///
/// [`StoreError`] of the call.
pub async fn read_heartbeats(
    node: &GatewayNode,
    client: &mut StoreClient,
) -> Result<(), StoreError> {
    let known = {
        let mut copy = node.feed.copy(FeedTable::Nodes).borrow_mut();
        copy.begin_era(node.eras.current());
        copy.version()
    };
    let changes = match known {
        Some(known) => {
            client
                .watch_table(NODES_TABLE, known, Duration::ZERO, STORE_TIMEOUT)
                .await
        }
        None => Err(StoreError::Compacted),
    };
    let delta = match changes {
        Ok(response) => {
            log_unreadable_rows(node, NODES_TABLE, &response.unreadable);
            TableDelta {
                version: response.version,
                is_full: false,
                rows: response.rows,
                gap: None,
            }
        }
        Err(StoreError::Compacted | StoreError::EraBegan) => {
            let page = client.read_table(NODES_TABLE, STORE_TIMEOUT).await?;
            node.set_store_clock(page.clock);
            log_unreadable_rows(node, NODES_TABLE, &page.unreadable);
            TableDelta {
                version: page.version,
                is_full: true,
                rows: page.rows,
                gap: None,
            }
        }
        Err(error) => return Err(error),
    };
    let confirmation = TableConfirmation {
        proof: DeltaProof {
            confirmed_at: node.now(),
            proved_at: None,
        },
        origin: TableOrigin::Store,
    };
    let now = node.now();
    let version = delta.version;
    let taken = node.feed.take(FeedTable::Nodes, delta, confirmation, now);
    log_refused(node, FeedTable::Nodes, version, &taken);
    count_nodes(node);
    Ok(())
}
