//! Following the configuration and the registry in the store.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use adapter::config::{CONFIG_KEY, CONFIG_TABLE};
use adapter::registry::TARGETS_TABLE;
use adapter::{RowPage, StoreClient, StoreError, StoreRow, decode_config, decode_target};
use domain::{HostId, RowVersion};
use events::{EventCode, EventLine};

use crate::node::GatewayNode;
use crate::probe::ask_unlisted_one;

/// How long one call waits for changes. A connection may fall silent without an end, and a node
/// must know what is in force three seconds after that, so each call ends before.
const FOLLOW_WAIT: Duration = Duration::from_secs(2);

/// What a call may take beyond its wait.
const FOLLOW_SLACK: Duration = Duration::from_millis(500);

/// Pause after a call that brought changes, in a small deployment. Changes come in series, as when
/// the hosts of a fabric domain join replicas, and each call is paid for; one call then brings
/// several. A repair waits for it several times: with 200 ms the worth to callers fell by 0.03 on days
/// that lose two hosts every three seconds, and a sixth of the calls was saved.
const SERIES_PAUSE: Duration = Duration::from_millis(80);

/// Longest such pause, in a large deployment. A target that leaves must get nothing more two seconds
/// after it said so; pause, call and a lost packet stay within half of that.
const MOST_SERIES_PAUSE: Duration = Duration::from_millis(700);

/// Nodes up to which the pause stays; beyond them it grows in proportion. Every node reads every
/// change, so with one pause for all the store's calls would grow with the square of a deployment
/// that has changes in proportion to its hosts: 6 a second a node at 64 nodes.
const SERIES_NODES: usize = 12;

/// Longest time for reading a table whole.
const READ_LIMIT: Duration = Duration::from_secs(2);

/// Pause after a failed call; grows with each one up to [`MOST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after failed calls. A store that comes back is noticed within it.
const MOST_PAUSE: Duration = Duration::from_millis(400);

/// Time after the store's return in which an entry that is missing is not yet gone: targets that
/// live write theirs again within it.
const RETURN_TIME: Duration = Duration::from_millis(2300);

/// What a table's rows mean to the node.
trait TableFollower {
    /// Name of the table.
    fn table(&self) -> &'static str;
    /// Takes the whole table.
    fn take_page(&mut self, page: RowPage);
    /// Takes one changed row.
    fn take_row(&mut self, row: StoreRow);
    /// Notes that the table is known as of a version.
    fn confirm(&mut self, version: RowVersion);
    /// Takes note that a call failed. What is missing soon after the next one that does not is not
    /// yet gone.
    fn failed(&mut self);
}

/// Follows the configuration.
pub async fn follow_config(node: Rc<GatewayNode>) {
    let follower = ConfigFollower {
        node: Rc::clone(&node),
    };
    follow(node, follower).await;
}

/// Follows the registry.
pub async fn follow_registry(node: Rc<GatewayNode>) {
    let follower = RegistryFollower {
        node: Rc::clone(&node),
        pending: Vec::new(),
        returned: None,
    };
    follow(node, follower).await;
}

async fn follow<F: TableFollower>(node: Rc<GatewayNode>, mut follower: F) {
    let mut client = StoreClient::new(node.settings.store);
    let mut known: Option<RowVersion> = None;
    let mut failures = 0_u32;
    loop {
        let began = node.now();
        let result = follow_once(&mut client, &mut follower, known).await;
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        let took = node.now().saturating_sub(began);
        node.metrics
            .record_store_call(follower.table(), outcome, took);
        match result {
            Ok((version, changed)) => {
                if failures > 0 {
                    log_regained(&node, follower.table(), failures);
                }
                failures = 0;
                known = Some(version);
                follower.confirm(version);
                if changed {
                    tokio::time::sleep(series_pause(node.node_count())).await;
                }
            }
            Err(StoreError::Compacted) => known = None,
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log_lost(&node, follower.table(), &error);
                }
                follower.failed();
                let pause = FIRST_PAUSE.saturating_mul(failures).min(MOST_PAUSE);
                tokio::time::sleep(pause).await;
            }
        }
    }
}

fn series_pause(nodes: usize) -> Duration {
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let factor = count(nodes.max(SERIES_NODES)) / count(SERIES_NODES);
    SERIES_PAUSE.mul_f64(factor).min(MOST_SERIES_PAUSE)
}

async fn follow_once<F: TableFollower>(
    client: &mut StoreClient,
    follower: &mut F,
    known: Option<RowVersion>,
) -> Result<(RowVersion, bool), StoreError> {
    let table = follower.table();
    let Some(after) = known else {
        let page = client.read_table(table, READ_LIMIT).await?;
        let version = page.version;
        follower.take_page(page);
        return Ok((version, true));
    };
    let answer = client
        .watch_table(table, after, FOLLOW_WAIT, FOLLOW_SLACK)
        .await?;
    let changed = !answer.rows.is_empty();
    for row in answer.rows {
        follower.take_row(row);
    }
    Ok((answer.version.max(after), changed))
}

fn log_lost(node: &GatewayNode, table: &str, error: &StoreError) {
    let line = EventLine::new(EventCode::StoreLost)
        .text("table", table)
        .text("reason", &error.to_string())
        .millis("registry_age_ms", node.registry_age());
    node.log(&line);
}

fn log_regained(node: &GatewayNode, table: &str, failures: u32) {
    let line = EventLine::new(EventCode::StoreRegained)
        .text("table", table)
        .number("failures", u64::from(failures));
    node.log(&line);
}

struct ConfigFollower {
    node: Rc<GatewayNode>,
}

impl TableFollower for ConfigFollower {
    fn table(&self) -> &'static str {
        CONFIG_TABLE
    }

    fn take_page(&mut self, page: RowPage) {
        for row in page.rows {
            self.take_row(row);
        }
    }

    fn take_row(&mut self, row: StoreRow) {
        let Some(bytes) = row.value.filter(|_| row.key == CONFIG_KEY) else {
            return;
        };
        let config = match decode_config(&bytes) {
            Ok(config) => config,
            Err(error) => {
                let line = EventLine::new(EventCode::ConfigUnreadable)
                    .number("row_version", row.version.0)
                    .text("reason", &error.to_string());
                self.node.log(&line);
                return;
            }
        };
        let revision = config.revision;
        if self.node.set_config(config) {
            let line = EventLine::new(EventCode::ConfigApplied).number("revision", revision.0);
            self.node.log(&line);
        }
    }

    fn confirm(&mut self, _version: RowVersion) {}

    fn failed(&mut self) {}
}

struct RegistryFollower {
    node: Rc<GatewayNode>,
    /// Targets whose entries were missing soon after the store's return.
    pending: Vec<HostId>,
    returned: Option<Duration>,
}

impl RegistryFollower {
    fn in_return_time(&self) -> bool {
        let now = self.node.now();
        self.returned
            .is_some_and(|returned| now.saturating_sub(returned) < RETURN_TIME)
    }

    fn take_gone(&mut self, id: HostId) {
        if self.in_return_time() {
            self.pending.push(id);
            return;
        }
        self.unlist(id);
    }

    /// Asks a target that is still needed whether it lives: one that is dead is then gone at once.
    fn unlist(&self, id: HostId) {
        if self.node.unlist_target(&id) {
            tokio::task::spawn_local(ask_unlisted_one(Rc::clone(&self.node), id));
        }
    }
}

impl TableFollower for RegistryFollower {
    fn table(&self) -> &'static str {
        TARGETS_TABLE
    }

    fn take_page(&mut self, page: RowPage) {
        let mut present: HashSet<String> = HashSet::new();
        let line = EventLine::new(EventCode::RegistryRead)
            .number("rows", u64::try_from(page.rows.len()).unwrap_or(u64::MAX))
            .number("row_version", page.version.0);
        self.node.log(&line);
        for row in page.rows {
            present.insert(row.key.clone());
            self.take_row(row);
        }
        let missing: Vec<HostId> = self.node.registry(|registry| {
            let known = registry.targets().map(|entry| entry.id.clone());
            known.filter(|id| !present.contains(id.as_str())).collect()
        });
        for id in missing {
            self.take_gone(id);
        }
    }

    fn take_row(&mut self, row: StoreRow) {
        let Some(bytes) = &row.value else {
            if let Ok(id) = row.key.parse::<HostId>() {
                self.take_gone(id);
            }
            return;
        };
        match decode_target(&row.key, bytes) {
            Ok(entry) => {
                self.pending.retain(|id| *id != entry.id);
                self.node.list_target(&entry);
            }
            Err(error) => {
                let line = EventLine::new(EventCode::EntryUnreadable)
                    .text("host", &row.key)
                    .number("row_version", row.version.0)
                    .text("reason", &error.to_string());
                self.node.log(&line);
                // It names nobody to use; what runs at the one that it named goes on.
                if let Ok(id) = row.key.parse::<HostId>() {
                    self.unlist(id);
                }
            }
        }
    }

    fn confirm(&mut self, version: RowVersion) {
        self.node.confirm_registry(version);
        if self.in_return_time() {
            return;
        }
        for id in std::mem::take(&mut self.pending) {
            self.unlist(id);
        }
    }

    fn failed(&mut self) {
        self.node.lose_store();
        self.returned = Some(self.node.now());
    }
}
