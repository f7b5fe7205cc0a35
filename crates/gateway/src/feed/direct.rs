//! Reads the configuration and the registry from the store by long polling.

use std::rc::Rc;
use std::time::Duration;

use adapter::config::CONFIG_TABLE;
use adapter::registry::TARGETS_TABLE;
use adapter::{StoreClient, StoreError};
use domain::EraVersion;
use events::{EventCode, LogLine};
use serving::feed::{
    ClockWatch, DeltaProof, FeedTiming, MAX_JITTER, StoreAnchor, TableDelta, VersionClaims,
};
use serving::hashing::unit_draw;
use wire::feed::{FeedLane, FeedTable};

use super::intake::FeedIntake;
use super::pace::pause_after;
use super::provenance::{TableConfirmation, TableOrigin};
use super::state::FeedSource;
use crate::node::GatewayNode;
use crate::unreadable_rows::log_unreadable_rows;

/// Delay after a call that returned changes, in a small deployment. Changes come in bursts, as when
/// the hosts of a fabric domain join replicas, and each call has a cost; the delay lets one call
/// return several. A repair waits for this delay several times: 200 ms saved a sixth of the calls
/// but lowered the value of responses to clients by 0.03 in runs that lose two hosts every three
/// seconds.
const BATCH_DELAY: Duration = Duration::from_millis(80);

/// Delay after a call that returned changes, at a node that others follow. Few nodes read then, and
/// each batch goes to a whole failure domain.
const ROOT_BATCH_DELAY: Duration = Duration::from_millis(150);

/// Number of nodes up to which the delay is constant; above it, the delay grows in proportion.
/// Every node that reads gets every change, so with a constant delay the store's calls would grow
/// with the square of a deployment whose changes are proportional to its hosts: 6 per second and
/// node at 64 nodes.
const BATCH_DELAY_NODES: usize = 12;

/// Time after the first start of the whole system for which a node that may follow another one
/// leaves the reading to it. Hosts register over the first seconds, and plans wait for them.
const FIRST_READ_DELAY: Duration = Duration::from_millis(2500);

/// Interval for checking whether there is a node to follow.
const TREE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a node that follows another failure domain calls the store, to learn whether it
/// still turns the node away.
const STORE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Failed calls for the configuration after which it is left to the registry's to show that the store is
/// back. Fewer may just have been lost.
const MAX_LOST_CALLS: u32 = 2;

/// Least factor on the delays after failed calls.
const MIN_JITTER: f64 = 0.75;

/// Reads a table from the store whenever no other node passes on its changes; never returns.
pub async fn read_directly(intake: Rc<FeedIntake>, table: FeedTable) {
    let node = Rc::clone(&intake.node);
    let mut client = node.store_client();
    let mut failures = 0_u32;
    let mut ended_eras = 0_u32;
    let mut is_compacted = false;
    let mut claims = VersionClaims::default();
    let mut anchor = StoreAnchor::default();
    let mut clock_watch = ClockWatch::default();
    loop {
        let is_first = until_direct(&node, FeedLane::of(table)).await;
        let started_at = node.now();
        let known = begin_known_era(&node, table);
        let known = known.filter(|_| !is_compacted);
        let timing = node.feed_timing(FeedLane::of(table));
        let poll_wait = poll_wait(&node, table);
        // The first response of a connection shows where the store's clock stands, if it comes at once.
        let (wait, slack) = if is_first {
            (Duration::ZERO, timing.poll_slack())
        } else if client.is_connected() {
            (poll_wait, timing.poll_slack())
        } else {
            (Duration::ZERO, timing.poll_slack() + poll_wait)
        };
        let result = poll_once(&node, &mut client, table, known, (wait, slack)).await;
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        let took = node.now().saturating_sub(started_at);
        node.metrics
            .record_store_call(store_table(table), outcome, took);
        match result {
            Ok(PolledChanges { mut delta, clock }) => {
                if table == FeedTable::Config {
                    delta.version = verified_version(&mut claims, known, &delta);
                }
                if failures > 0 {
                    log_store_regained(&node, table, failures);
                }
                failures = 0;
                ended_eras = 0;
                is_compacted = false;
                let changed = !delta.rows.is_empty();
                let answered_at = node.now();
                if let Some(step) = clock_watch.step(answered_at, clock) {
                    log_clock_step(&node, table, step);
                }
                let call = (started_at, answered_at);
                let built_at = anchor.place(client.connection_count(), call, clock);
                let confirmation = TableConfirmation {
                    proof: DeltaProof {
                        confirmed_at: answered_at,
                        proved_at: Some(proof_time(started_at, wait, changed, built_at)),
                    },
                    origin: TableOrigin::Store,
                };
                intake.take(table, delta, confirmation);
                let applied_in = node.now().saturating_sub(answered_at);
                intake.store_answered(table);
                if changed {
                    let pause = pause_after(applied_in, timing.max_pause());
                    let delay = batch_delay(&node, timing).max(pause);
                    tokio::time::sleep(delay).await;
                }
            }
            Err(StoreError::Compacted) => is_compacted = true,
            // The store has answered. The next call is for the era that is known then.
            Err(StoreError::EraBegan) => {}
            // One response came late. If all do, the era that is known is a mistake, and is given up after seconds.
            Err(StoreError::EraEnded) => {
                ended_eras += 1;
                if ended_eras > 1 {
                    wait_to_retry(&node, table, ended_eras).await;
                }
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log_store_lost(&node, table, &error);
                }
                intake.store_failed(table);
                wait_to_retry(&node, table, failures).await;
            }
        }
    }
}

/// Begins the store's era in the copy of a table; returns the version up to which the copy is known in it.
fn begin_known_era(node: &GatewayNode, table: FeedTable) -> Option<EraVersion> {
    let mut copy = node.feed.copy(table).borrow_mut();
    copy.begin_era(node.eras.current());
    copy.version()
}

/// Version up to which a response makes a table known. A change of the configuration that is skipped is
/// wrong until the next one, which may be far off, so one more call per change is worth it; targets write
/// their entries of the registry again and again.
fn verified_version(
    claims: &mut VersionClaims,
    known: Option<EraVersion>,
    delta: &TableDelta,
) -> EraVersion {
    let Some(after) = known else {
        *claims = VersionClaims::default();
        return delta.version;
    };
    claims.verify(after, delta.version)
}

/// Moment up to which a response is proved to be complete. It may have been built at any time from
/// `built_at` on, and have waited here since, for example while the process was paused. How long the call
/// took proves nothing: the store may have ended it early. One without changes shows that there were none
/// until it was built.
fn proof_time(started_at: Duration, wait: Duration, changed: bool, built_at: Duration) -> Duration {
    if changed {
        return started_at;
    }
    built_at.clamp(started_at, started_at + wait)
}

/// Waits until this node has to read a lane's tables itself; returns whether it followed another node
/// before. Its first call must then show at once whether the store answers: what the node knows is as
/// old as its source was, and a long poll to a silent store would take up the rest of the time in which
/// a draining target must become known.
async fn until_direct(node: &GatewayNode, lane: FeedLane) -> bool {
    let mut has_followed = false;
    loop {
        let changed = node.feed.mode_changed.notified();
        if node.feed.source(lane) == FeedSource::Fallback {
            if tokio::time::timeout(STORE_CHECK_INTERVAL, changed)
                .await
                .is_err()
            {
                return true;
            }
        } else if node.feed.is_following(lane) {
            has_followed = true;
            changed.await;
        } else if may_follow_soon(node) {
            drop(tokio::time::timeout(TREE_CHECK_INTERVAL, changed).await);
        } else {
            return has_followed;
        }
    }
}

/// Wait of a long poll. One of a node that belongs to a tree is as short as that of the root, since it
/// may have lost its source just now, and pauses for longer after changes.
fn poll_wait(node: &GatewayNode, table: FeedTable) -> Duration {
    let timing = node.feed_timing(FeedLane::of(table));
    let own = &node.settings.node;
    if node.feed.is_root(own) || node.feed.depth(own) > 0 {
        timing.root_poll_wait()
    } else {
        timing.poll_wait()
    }
}

/// Whether the system starts for the first time and this node will probably follow another one.
/// Nothing waits for the first read then, and all nodes would read the same tables at once.
fn may_follow_soon(node: &GatewayNode) -> bool {
    let is_early = node.settings.first_start && node.now() < FIRST_READ_DELAY;
    let accepts_links = node.feed.address().is_some();
    let own = &node.settings.node;
    let is_undecided = !node.feed.is_counted() || !node.feed.sources(own).is_empty();
    is_early && accepts_links && is_undecided
}

/// Name of a table in the store.
pub(super) fn store_table(table: FeedTable) -> &'static str {
    match table {
        FeedTable::Config => CONFIG_TABLE,
        FeedTable::Registry => TARGETS_TABLE,
        FeedTable::Nodes => crate::heartbeat::NODES_TABLE,
    }
}

/// Waits before the next call after failed ones. While the store is away, calls for the registry show
/// when it is back; the configuration is read again then.
async fn wait_to_retry(node: &GatewayNode, table: FeedTable, failures: u32) {
    let lane = FeedLane::of(table);
    let timing = node.feed_timing(lane);
    let depth = node.feed.depth(&node.settings.node);
    if table == FeedTable::Config && node.feed.is_cut_off() && failures > MAX_LOST_CALLS {
        let most = timing.max_retry_delay(depth);
        drop(tokio::time::timeout(most, node.feed.regained.notified()).await);
        return;
    }
    let delay = timing.retry_delay(failures, depth);
    let delay = delay.mul_f64(jitter(node, failures));
    let is_followed = async {
        while !node.feed.is_following(lane) {
            node.feed.mode_changed.notified().await;
        }
    };
    drop(tokio::time::timeout(delay, is_followed).await);
}

/// Factor that differs between nodes, so that they don't all call at once.
fn jitter(node: &GatewayNode, round: u32) -> f64 {
    let share = unit_draw(&(node.settings.node.as_str(), round));
    MIN_JITTER + share * (MAX_JITTER - MIN_JITTER)
}

fn batch_delay(node: &GatewayNode, timing: FeedTiming) -> Duration {
    if node.feed.is_root(&node.settings.node) {
        return ROOT_BATCH_DELAY;
    }
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let nodes = node.node_count().max(BATCH_DELAY_NODES);
    let factor = count(nodes) / count(BATCH_DELAY_NODES);
    BATCH_DELAY.mul_f64(factor).min(timing.max_batch_delay())
}

/// Changes that a call to the store brought, and what its clock showed.
struct PolledChanges {
    delta: TableDelta,
    clock: Duration,
}

/// Calls the store once; a call for changes waits up to `wait` and times out `slack` later.
async fn poll_once(
    node: &GatewayNode,
    client: &mut StoreClient,
    table: FeedTable,
    known: Option<EraVersion>,
    (wait, slack): (Duration, Duration),
) -> Result<PolledChanges, StoreError> {
    let name = store_table(table);
    let timing = node.feed_timing(FeedLane::of(table));
    let Some(after) = known else {
        let page = client.read_table(name, timing.read_timeout()).await?;
        node.set_store_clock(page.clock);
        log_unreadable_rows(node, name, &page.unreadable);
        let delta = TableDelta {
            version: page.version,
            is_full: true,
            rows: page.rows,
            gap: None,
        };
        return Ok(PolledChanges {
            delta,
            clock: page.clock,
        });
    };
    let response = tokio::select! {
        response = client.watch_table(name, after, wait, slack) => response?,
        // The version means nothing any more, and the store may hold the call for as long as it waits.
        () = node.eras.began() => return Err(StoreError::EraBegan),
    };
    log_unreadable_rows(node, name, &response.unreadable);
    let delta = TableDelta {
        version: response.version.max_within(after),
        is_full: false,
        rows: response.rows,
        gap: None,
    };
    Ok(PolledChanges {
        delta,
        clock: response.clock,
    })
}

fn log_store_lost(node: &GatewayNode, table: FeedTable, error: &StoreError) {
    let line = LogLine::new(EventCode::StoreLost)
        .text("table", store_table(table))
        .text("reason", &error.to_string())
        .millis("registry_age_ms", node.registry_age());
    node.log(&line);
}

fn log_clock_step(node: &GatewayNode, table: FeedTable, step: Duration) {
    let line = LogLine::new(EventCode::StoreClockStepped)
        .text("table", store_table(table))
        .millis("step_ms", step);
    node.log(&line);
}

fn log_store_regained(node: &GatewayNode, table: FeedTable, failures: u32) {
    let line = LogLine::new(EventCode::StoreRegained)
        .text("table", store_table(table))
        .number("failures", u64::from(failures));
    node.log(&line);
}
