//! Leases this node's part of the extra retries from the store.
//!
//! Nothing on the request path waits for it. While the store is away, a node uses what it holds until its
//! leases end, and then retries only what its own requests earn.

use std::rc::Rc;
use std::time::Duration;

use adapter::{StoreClient, StoreError};
use events::{EventCode, LogLine};
use serving::hashing::{stable_hash, unit_draw};
use serving::lease::{LeaseLedger, LeaseTerms};

use crate::lease_rows::LeaseTable;
use crate::node::GatewayNode;

/// Table with one row per slot of the extra retries.
const TABLE: &str = "retry_leases";

/// Time from the first claim, of a single slot, to the next. The nodes of a start of all know each other
/// by then and ask for equal parts.
const FIRST_CLAIM_INTERVAL: Duration = Duration::from_secs(4);

/// Time from a lease's write to its end. It bridges an outage of the store that ends within 40 s; the
/// slots of a node that is gone for good are idle for as long.
const LEASE_TIME: Duration = Duration::from_mins(1);

/// Interval between two looks at the leases, and the age from which one is renewed. Two renewals may fail.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);

/// Delay after a conflict or a failed call; doubled with each further one, and at random, so that nodes
/// that collided part.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Number of times that the delay is doubled at most.
const MAX_DOUBLINGS: u32 = 3;

/// Age from which the rows are read again although nothing is lacking: the local clock and that of the
/// store may drift apart.
const MAX_PAGE_AGE: Duration = Duration::from_mins(5);

/// Interval at which the rows are read again while the node has fewer slots than it wants.
const SEARCH_INTERVAL: Duration = Duration::from_mins(1);

fn slot_key(slot: usize) -> String {
    format!("{slot:03}")
}

fn slot_of(key: &str) -> Option<usize> {
    key.parse().ok()
}

/// Claims and renews leases; never returns.
pub async fn hold_retry_leases(node: Rc<GatewayNode>) {
    let limits = node.settings.bounds.retry_limits();
    let terms = LeaseTerms {
        duration: LEASE_TIME,
        renew_after: RENEWAL_INTERVAL,
        settle: limits.settle_time(),
    };
    let holder = node.lease_holder.borrow().clone();
    let ledger = LeaseLedger::new(holder, limits.slot_count(), terms, node.boot_now());
    if ledger.slot_count() == 0 {
        return;
    }
    node.retry_leases.replace(Some(ledger));
    let mut keeper = LeaseKeeper {
        client: node.store_client(),
        node,
        read_at: None,
        is_first: true,
    };
    let mut failures = 0;
    loop {
        let is_first = keeper.is_first;
        let pause = match keeper.renew().await {
            Ok(()) if is_first => FIRST_CLAIM_INTERVAL,
            Ok(()) => {
                failures = 0;
                RENEWAL_INTERVAL
            }
            // The leases are read again at once, and those that the store has lost written.
            Err(error @ StoreError::EraBegan) => {
                keeper.fail(&error);
                Duration::ZERO
            }
            Err(error) => {
                keeper.fail(&error);
                failures += 1;
                keeper.retry_pause(failures)
            }
        };
        drop(tokio::time::timeout(pause, keeper.node.restored.notified()).await);
    }
}

struct LeaseKeeper {
    node: Rc<GatewayNode>,
    client: StoreClient,
    /// When the rows were last read; `None` if what is known may be wrong.
    read_at: Option<Duration>,
    /// Whether nothing was claimed yet.
    is_first: bool,
}

impl LeaseKeeper {
    /// Reads the rows if that is due, and carries out what the ledger plans.
    async fn renew(&mut self) -> Result<(), StoreError> {
        if self.is_read_due() {
            self.read().await?;
        }
        let (place, nodes) = self.place();
        let now = self.node.boot_now();
        let writes = self
            .node
            .with_retry_leases(|ledger| ledger.plan(now, place, nodes));
        if writes.is_empty() {
            return Ok(());
        }
        let table = LeaseTable::new(TABLE, slot_key);
        let version = table.write(&mut self.client, &writes).await?;
        let now = self.node.boot_now();
        let usable = self.node.with_retry_leases(|ledger| {
            ledger.record_written(&writes, version, now);
            ledger.usable(now)
        });
        self.is_first = false;
        self.log(writes.len(), usable, "written");
        Ok(())
    }

    /// Position of this node among those that share the slots, and their number. The first claim is of one
    /// slot, at a position of its own: nobody is counted yet, and who took a large part would keep it from
    /// others for the time of a lease.
    fn place(&self) -> (usize, usize) {
        if !self.is_first {
            return self.node.place_among_nodes();
        }
        let slots = self.node.with_retry_leases(|ledger| ledger.slot_count());
        let draw = stable_hash(&self.node.settings.node.as_str());
        let drawn = usize::try_from(draw % u64::try_from(slots).unwrap_or(1));
        (drawn.unwrap_or(0), slots)
    }

    fn is_read_due(&self) -> bool {
        let Some(read_at) = self.read_at else {
            return true;
        };
        let now = self.node.boot_now();
        let (_, nodes) = self.place();
        let lacks_slots = self
            .node
            .with_retry_leases(|ledger| ledger.lacks_slots(now, nodes));
        let max_age = if lacks_slots {
            SEARCH_INTERVAL
        } else {
            MAX_PAGE_AGE
        };
        now.saturating_sub(read_at) >= max_age
    }

    async fn read(&mut self) -> Result<(), StoreError> {
        let table = LeaseTable::new(TABLE, slot_key);
        let page = table.read(&self.node, &mut self.client, slot_of).await?;
        let received_at = page.clock.received_at;
        self.node.with_retry_leases(|ledger| ledger.take_page(page));
        self.read_at = Some(received_at);
        Ok(())
    }

    /// Forgets what is known of the rows: another node has written one, or the response to a write of
    /// this node is lost.
    fn fail(&mut self, error: &StoreError) {
        self.read_at = None;
        let now = self.node.boot_now();
        let usable = self.node.with_retry_leases(|ledger| ledger.usable(now));
        self.log(0, usable, &error.to_string());
    }

    fn log(&self, written: usize, usable: usize, outcome: &str) {
        let (_, nodes) = self.node.place_among_nodes();
        let number = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        let line = LogLine::new(EventCode::RetriesLeased)
            .number("slots", number(usable))
            .number("written", number(written))
            .number("nodes", number(nodes))
            .text("outcome", outcome);
        self.node.log(&line);
    }

    fn retry_pause(&self, failures: u32) -> Duration {
        let name = self.node.settings.node.as_str();
        let jitter = 1.0 + unit_draw(&(name, self.node.boot_now(), failures));
        let doubled =
            RETRY_DELAY * 2_u32.saturating_pow(failures.saturating_sub(1).min(MAX_DOUBLINGS));
        doubled.mul_f64(jitter)
    }
}
