//! Nodes that lease their retries from one store, in simulated time, with faults.

use std::time::Duration;

use domain::{EraVersion, RowVersion, StoreEra};
use serving::RetryBudget;
use serving::hashing::stable_hash;
use serving::lease::{LeaseLedger, LeasePage, LeaseTerms, SlotRow, SlotWrite, StoreClock};
use serving::retry_budget::{RETRIES_PER_SLOT, RetryLimits, RetryPurpose};

/// Length of a simulated step.
pub const STEP: Duration = Duration::from_millis(250);

/// Terms as the gateway sets them.
pub fn terms(limits: RetryLimits) -> LeaseTerms {
    LeaseTerms {
        duration: Duration::from_mins(1),
        renew_after: Duration::from_secs(20),
        settle: limits.settle_time(),
    }
}

/// Numbers that differ between draws and are the same for a seed.
#[derive(Debug, Clone, Copy)]
pub struct Draws {
    seed: u64,
    count: u64,
}

impl Draws {
    pub fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// A number below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.count += 1;
        stable_hash(&(self.seed, self.count)) % end
    }
}

/// The rows of the leases.
#[derive(Debug, Clone)]
pub struct LeaseRows {
    pub rows: Vec<(EraVersion, SlotRow)>,
    pub era: StoreEra,
    version: u64,
}

impl LeaseRows {
    pub fn new(slots: usize) -> Self {
        Self {
            rows: vec![(EraVersion::default(), SlotRow::Absent); slots],
            era: StoreEra::UNSTATED,
            version: 0,
        }
    }

    pub fn page(&self, now: Duration) -> LeasePage {
        let rows = self.rows.iter().enumerate();
        let rows = rows.filter(|(_, (_, row))| *row != SlotRow::Absent);
        LeasePage {
            era: self.era,
            rows: rows
                .map(|(slot, (version, row))| (slot, *version, row.clone()))
                .collect(),
            clock: StoreClock {
                reading: now,
                sent_at: now,
                received_at: now,
            },
        }
    }

    /// Carries out a transaction if all rows have the expected versions.
    pub fn transact(&mut self, writes: &[SlotWrite]) -> Option<EraVersion> {
        let mut expected = writes.iter();
        let holds = |write: &SlotWrite| match &self.rows[write.slot] {
            (_, SlotRow::Absent) => write.expected == EraVersion::absent(self.era),
            (version, _) => *version == write.expected,
        };
        if !expected.all(holds) {
            return None;
        }
        self.version += 1;
        let version = EraVersion::new(self.era, RowVersion(self.version));
        for write in writes {
            let row = SlotRow::Leased(write.lease.clone());
            self.rows[write.slot] = (version, row);
        }
        Some(version)
    }
}

/// One node.
#[derive(Debug)]
pub struct FleetNode {
    pub ledger: LeaseLedger,
    pub budget: RetryBudget,
    pub next_claim: Duration,
    /// Until when the store turns it away.
    pub turned_away_until: Duration,
    /// Until when it is suspended.
    pub suspended_until: Duration,
}

/// Nodes and the store that they lease from.
#[derive(Debug)]
pub struct Fleet {
    pub limits: RetryLimits,
    pub rows: LeaseRows,
    pub nodes: Vec<FleetNode>,
    /// When requests were sent, and when retries were.
    pub requests: Vec<Duration>,
    pub retries: Vec<Duration>,
    /// Retries that were wanted and not allowed.
    pub denied: usize,
}

impl Fleet {
    pub fn new(limits: RetryLimits, nodes: usize) -> Self {
        let mut fleet = Self {
            limits,
            rows: LeaseRows::new(limits.slot_count()),
            nodes: Vec::new(),
            requests: Vec::new(),
            retries: Vec::new(),
            denied: 0,
        };
        for index in 0..nodes {
            let node = fleet.started(index, Duration::ZERO);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// A process of a node that has just started.
    pub fn started(&self, index: usize, now: Duration) -> FleetNode {
        let slots = self.limits.slot_count();
        let holder = format!("n{index}");
        FleetNode {
            ledger: LeaseLedger::new(holder, slots, terms(self.limits), now),
            budget: RetryBudget::new(self.limits),
            next_claim: now + Duration::from_secs(4),
            turned_away_until: Duration::ZERO,
            suspended_until: Duration::ZERO,
        }
    }

    pub fn restart(&mut self, index: usize, now: Duration) {
        let turned_away_until = self.nodes[index].turned_away_until;
        self.nodes[index] = self.started(index, now);
        self.nodes[index].turned_away_until = turned_away_until;
    }

    /// Lets a node claim, if it is due and reaches the store; `seen` is how many nodes it counts.
    pub fn claim(&mut self, index: usize, now: Duration, seen: usize) {
        let node = &mut self.nodes[index];
        if now < node.next_claim {
            return;
        }
        if now < node.turned_away_until {
            node.next_claim = now + Duration::from_secs(4);
            return;
        }
        node.ledger.take_page(self.rows.page(now));
        let writes = node.ledger.plan(now, index % seen.max(1), seen);
        match self.rows.transact(&writes) {
            Some(version) => {
                node.ledger.record_written(&writes, version, now);
                node.next_claim = now + Duration::from_secs(20);
            }
            None => node.next_claim = now + Duration::from_secs(3),
        }
    }

    /// A client's request at a node, with `retries` attempts that fail.
    pub fn request(&mut self, index: usize, now: Duration, retries: usize) {
        let node = &mut self.nodes[index];
        self.requests.push(now);
        if now < node.suspended_until {
            return;
        }
        node.budget.record_request(now);
        for _ in 0..retries {
            let leased = u32::try_from(node.ledger.usable(now)).unwrap() * RETRIES_PER_SLOT;
            match node.budget.take(now, leased, RetryPurpose::Resume) {
                Some(_sent) => self.retries.push(now),
                None => self.denied += 1,
            }
        }
    }

    /// Retries beyond what is allowed in the window from which most are; negative if none is.
    pub fn worst_excess(&self) -> f64 {
        let window = self.limits.window;
        let count = |moments: &[Duration], from: Duration| {
            let first = moments.partition_point(|at| *at < from);
            let end = moments.partition_point(|at| *at <= from + window);
            f64::from(u32::try_from(end - first).unwrap())
        };
        let excesses = self.retries.iter().map(|from| {
            let sent = |back: Duration| count(&self.requests, from.saturating_sub(back));
            let requests = sent(Duration::ZERO).max(sent(window)).max(sent(window / 2));
            let allowed = self.limits.ratio * requests + self.limits.extra;
            count(&self.retries, *from) - allowed
        });
        excesses.fold(f64::NEG_INFINITY, f64::max)
    }
}
