//! Watches the configuration and the target registry in the store by long polling.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use adapter::config::{CONFIG_KEY, CONFIG_TABLE};
use adapter::registry::TARGETS_TABLE;
use adapter::{RowPage, StoreClient, StoreError, StoreRow, decode_config, decode_target};
use domain::{HostId, RowVersion};
use events::{EventCode, LogLine};

use crate::node::{EntryIntake, GatewayNode};
use crate::probe::{probe_unlisted, refresh_contradicted};

/// Wait time of one long poll. A connection may go silent without being closed, and a node must
/// know the current state within three seconds of that, so each call ends earlier.
const LONG_POLL_WAIT: Duration = Duration::from_secs(2);

/// Time that a call may take in addition to the wait.
const LONG_POLL_SLACK: Duration = Duration::from_millis(500);

/// Delay after a call that returned changes, in a small deployment. Changes come in bursts, as when
/// the hosts of a fabric domain join replicas, and each call has a cost; the delay lets one call
/// return several. A repair waits for this delay several times: 200 ms saved a sixth of the calls
/// but lowered the value of responses to clients by 0.03 in runs that lose two hosts every three
/// seconds.
const BATCH_DELAY: Duration = Duration::from_millis(80);

/// Maximum of that delay, in a large deployment. A target that starts draining must get no new
/// requests after two seconds; delay, call and one lost packet stay within half of that.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(700);

/// Number of nodes up to which the delay is constant; above it, the delay grows in proportion.
/// Every node reads every change, so with a constant delay the store's calls would grow with the
/// square of a deployment whose changes are proportional to its hosts: 6 per second and node at 64
/// nodes.
const BATCH_DELAY_NODES: usize = 12;

/// Timeout for reading a whole table.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay added with each consecutive failed call, up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY_STEP: Duration = Duration::from_millis(60);

/// Maximum delay after failed calls, and so the time to notice that the store is back.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time after an outage of the store in which missing entries do not count as removed: live targets
/// write their entries again within it.
const RECOVERY_GRACE: Duration = Duration::from_millis(2300);

/// Applies the contents of a table to the node's state.
trait TableWatcher {
    /// Name of the table in the store.
    fn table(&self) -> &'static str;
    /// Applies a complete read of the table.
    fn apply_page(&mut self, page: RowPage);
    /// Applies one changed row.
    fn apply_row(&mut self, row: StoreRow);
    /// Records that all changes up to a version have been applied.
    fn confirm(&mut self, version: RowVersion);
    /// Records that a call failed. Entries missing soon after the next successful call do not count
    /// as removed yet.
    fn call_failed(&mut self);
}

/// Watches the configuration; never returns.
pub async fn watch_config(node: Rc<GatewayNode>) {
    let watcher = ConfigWatcher {
        node: Rc::clone(&node),
    };
    watch_table(node, watcher).await;
}

/// Watches the target registry; never returns.
pub async fn watch_registry(node: Rc<GatewayNode>) {
    let watcher = RegistryWatcher {
        node: Rc::clone(&node),
        pending_removals: Vec::new(),
        last_failure: None,
    };
    watch_table(node, watcher).await;
}

async fn watch_table<F: TableWatcher>(node: Rc<GatewayNode>, mut watcher: F) {
    let mut client = StoreClient::new(node.settings.store);
    let mut known: Option<RowVersion> = None;
    let mut failures = 0_u32;
    loop {
        let started_at = node.now();
        let result = poll_once(&mut client, &mut watcher, known).await;
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        let took = node.now().saturating_sub(started_at);
        node.metrics
            .record_store_call(watcher.table(), outcome, took);
        match result {
            Ok((version, changed)) => {
                if failures > 0 {
                    log_store_regained(&node, watcher.table(), failures);
                }
                failures = 0;
                known = Some(version);
                watcher.confirm(version);
                if changed {
                    tokio::time::sleep(batch_delay(node.node_count())).await;
                }
            }
            Err(StoreError::Compacted) => known = None,
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log_store_lost(&node, watcher.table(), &error);
                }
                watcher.call_failed();
                let delay = RETRY_DELAY_STEP
                    .saturating_mul(failures)
                    .min(MAX_RETRY_DELAY);
                tokio::time::sleep(delay).await;
            }
        }
    }
}

fn batch_delay(nodes: usize) -> Duration {
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let factor = count(nodes.max(BATCH_DELAY_NODES)) / count(BATCH_DELAY_NODES);
    BATCH_DELAY.mul_f64(factor).min(MAX_BATCH_DELAY)
}

async fn poll_once<F: TableWatcher>(
    client: &mut StoreClient,
    watcher: &mut F,
    known: Option<RowVersion>,
) -> Result<(RowVersion, bool), StoreError> {
    let table = watcher.table();
    let Some(after) = known else {
        let page = client.read_table(table, READ_TIMEOUT).await?;
        let version = page.version;
        watcher.apply_page(page);
        return Ok((version, true));
    };
    let response = client
        .watch_table(table, after, LONG_POLL_WAIT, LONG_POLL_SLACK)
        .await?;
    let changed = !response.rows.is_empty();
    for row in response.rows {
        watcher.apply_row(row);
    }
    Ok((response.version.max(after), changed))
}

fn log_store_lost(node: &GatewayNode, table: &str, error: &StoreError) {
    let line = LogLine::new(EventCode::StoreLost)
        .text("table", table)
        .text("reason", &error.to_string())
        .millis("registry_age_ms", node.registry_age());
    node.log(&line);
}

fn log_store_regained(node: &GatewayNode, table: &str, failures: u32) {
    let line = LogLine::new(EventCode::StoreRegained)
        .text("table", table)
        .number("failures", u64::from(failures));
    node.log(&line);
}

struct ConfigWatcher {
    node: Rc<GatewayNode>,
}

impl TableWatcher for ConfigWatcher {
    fn table(&self) -> &'static str {
        CONFIG_TABLE
    }

    fn apply_page(&mut self, page: RowPage) {
        for row in page.rows {
            self.apply_row(row);
        }
    }

    fn apply_row(&mut self, row: StoreRow) {
        let Some(bytes) = row.value.filter(|_| row.key == CONFIG_KEY) else {
            return;
        };
        let config = match decode_config(&bytes) {
            Ok(config) => config,
            Err(error) => {
                let line = LogLine::new(EventCode::ConfigUnreadable)
                    .number("row_version", row.version.0)
                    .text("reason", &error.to_string());
                self.node.log(&line);
                return;
            }
        };
        let revision = config.revision;
        if self.node.set_config(config) {
            let line = LogLine::new(EventCode::ConfigApplied).number("revision", revision.0);
            self.node.log(&line);
        }
    }

    fn confirm(&mut self, _version: RowVersion) {}

    fn call_failed(&mut self) {}
}

struct RegistryWatcher {
    node: Rc<GatewayNode>,
    /// Targets whose entries were missing soon after an outage of the store.
    pending_removals: Vec<HostId>,
    last_failure: Option<Duration>,
}

impl RegistryWatcher {
    fn in_recovery_grace(&self) -> bool {
        let now = self.node.now();
        self.last_failure
            .is_some_and(|failed_at| now.saturating_sub(failed_at) < RECOVERY_GRACE)
    }

    fn handle_missing(&mut self, id: HostId) {
        if self.in_recovery_grace() {
            self.pending_removals.push(id);
            return;
        }
        self.unlist(id);
    }

    /// Removes a target from the registry view. One that is still needed is probed, so that it is
    /// dropped at once if it is dead.
    fn unlist(&self, id: HostId) {
        if self.node.unlist_target(&id) {
            tokio::task::spawn_local(probe_unlisted(Rc::clone(&self.node), id));
        }
    }
}

impl TableWatcher for RegistryWatcher {
    fn table(&self) -> &'static str {
        TARGETS_TABLE
    }

    fn apply_page(&mut self, page: RowPage) {
        let mut present: HashSet<String> = HashSet::new();
        let line = LogLine::new(EventCode::RegistryRead)
            .number("rows", u64::try_from(page.rows.len()).unwrap_or(u64::MAX))
            .number("row_version", page.version.0);
        self.node.log(&line);
        for row in page.rows {
            present.insert(row.key.clone());
            self.apply_row(row);
        }
        let missing: Vec<HostId> = self.node.registry(|registry| {
            let known = registry.targets().map(|entry| entry.id.clone());
            known.filter(|id| !present.contains(id.as_str())).collect()
        });
        for id in missing {
            self.handle_missing(id);
        }
    }

    fn apply_row(&mut self, row: StoreRow) {
        let Some(bytes) = &row.value else {
            if let Ok(id) = row.key.parse::<HostId>() {
                self.handle_missing(id);
            }
            return;
        };
        match decode_target(&row.key, bytes) {
            Ok(entry) => {
                self.pending_removals.retain(|id| *id != entry.id);
                if self.node.apply_listed_target(&entry) == EntryIntake::MembershipWithheld {
                    refresh_contradicted(&self.node, &entry.id);
                }
            }
            Err(error) => {
                let line = LogLine::new(EventCode::EntryUnreadable)
                    .text("host", &row.key)
                    .number("row_version", row.version.0)
                    .text("reason", &error.to_string());
                self.node.log(&line);
                // An unreadable entry gets no new requests; those already running there continue.
                if let Ok(id) = row.key.parse::<HostId>() {
                    self.unlist(id);
                }
            }
        }
    }

    fn confirm(&mut self, version: RowVersion) {
        self.node.confirm_registry(version);
        if self.in_recovery_grace() {
            return;
        }
        for id in std::mem::take(&mut self.pending_removals) {
            self.unlist(id);
        }
    }

    fn call_failed(&mut self) {
        self.node.mark_store_unreachable();
        self.last_failure = Some(self.node.now());
    }
}
