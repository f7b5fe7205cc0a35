//! This process's share of the table's limits, and a circuit that opens while the table is down.
//!
//! The table takes several hundred writes and about two thousand reads a second from all nodes
//! together. Without a share in the code, one busy node would take what the others' leases and
//! claims need, and after an outage everybody's backlog would come at once and bring the table
//! down again. Seen as leases that are lost all over the system whenever one node polls hard.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use domain::RowVersion;

use crate::circuit::{CircuitBreaker, CircuitState};
use crate::error::StoreError;
use crate::limits::BudgetSettings;
use crate::table::{CommitOutcome, RowRead, TableRow, TableStore, WriteBatch};

/// Least reads a second of a node: it must be able to follow configuration and replicas.
const LEAST_READS: u32 = 10;

/// Least transactions a second of a node: it must be able to renew a lease and to claim.
const LEAST_WRITES: u32 = 3;

/// Who goes first when the budget is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPriority {
    /// Operators' amendments: rare, and never refused for an open circuit, because the person
    /// behind one must not guess whether to repeat it.
    Operator,
    /// Claims and leases.
    High,
    /// Polling and housekeeping.
    Normal,
}

/// A bucket of tokens that fills at a steady rate.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    reserve: f64,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// A full bucket.
    #[must_use]
    pub fn new(rate: u32, settings: BudgetSettings, now: Instant) -> Self {
        let mut bucket = Self {
            rate: 0.0,
            capacity: 0.0,
            reserve: 0.0,
            tokens: 0.0,
            filled: now,
        };
        bucket.set_rate(rate, settings);
        bucket.tokens = bucket.capacity;
        bucket
    }

    /// Changes the rate; what is in the bucket stays, up to the new size.
    pub fn set_rate(&mut self, rate: u32, settings: BudgetSettings) {
        let burst = Duration::from_millis(settings.burst_ms).as_secs_f64();
        self.rate = f64::from(rate.max(1));
        self.capacity = (self.rate * burst).max(1.0);
        self.reserve = self.capacity * f64::from(settings.reserve_percent.min(100)) / 100.0;
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Takes a token, or says how long to wait for one.
    ///
    /// # Errors
    ///
    /// The time until there may be one.
    pub fn take(&mut self, priority: CallPriority, now: Instant) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.capacity);
        self.filled = self.filled.max(now);
        // At most what leaves room for one token, or routine calls of a small budget would starve.
        let kept = match priority {
            CallPriority::Operator | CallPriority::High => 0.0,
            CallPriority::Normal => self.reserve.min(self.capacity - 1.0),
        };
        if self.tokens - kept >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - (self.tokens - kept);
        Err(Duration::from_secs_f64(missing / self.rate))
    }
}

#[derive(Debug)]
struct SharedBudget {
    reads: Mutex<TokenBucket>,
    writes: Mutex<TokenBucket>,
    circuit: Mutex<CircuitBreaker>,
    settings: BudgetSettings,
}

/// A table within a budget. Clones share the budget, whatever their priority.
#[derive(Debug, Clone)]
pub struct BudgetedTable<T> {
    table: T,
    priority: CallPriority,
    shared: Arc<SharedBudget>,
}

impl<T: TableStore> BudgetedTable<T> {
    /// A table within a budget, for routine calls.
    #[must_use]
    pub fn new(table: T, settings: BudgetSettings) -> Self {
        let now = Instant::now();
        let shared = SharedBudget {
            reads: Mutex::new(TokenBucket::new(settings.reads_a_second / 2, settings, now)),
            writes: Mutex::new(TokenBucket::new(
                settings.writes_a_second / 2,
                settings,
                now,
            )),
            circuit: Mutex::new(CircuitBreaker::new(settings)),
            settings,
        };
        Self {
            table,
            priority: CallPriority::Normal,
            shared: Arc::new(shared),
        }
    }

    /// The same table and budget for urgent calls.
    #[must_use]
    pub fn with_high_priority(&self) -> Self {
        self.with_priority(CallPriority::High)
    }

    /// The same table and budget for operators' amendments.
    #[must_use]
    pub fn with_operator_priority(&self) -> Self {
        self.with_priority(CallPriority::Operator)
    }

    fn with_priority(&self, priority: CallPriority) -> Self {
        Self {
            priority,
            ..self.clone()
        }
    }

    /// Shares the limits among so many nodes, this one included.
    pub fn set_node_count(&self, nodes: usize) {
        let settings = self.shared.settings;
        let reads = node_share(settings.reads_a_second, settings, nodes).max(LEAST_READS);
        let writes = node_share(settings.writes_a_second, settings, nodes).max(LEAST_WRITES);
        lock(&self.shared.reads).set_rate(reads, settings);
        lock(&self.shared.writes).set_rate(writes, settings);
    }

    /// Whether calls pass at the moment.
    #[must_use]
    pub fn circuit(&self) -> CircuitState {
        lock(&self.shared.circuit).state(Instant::now())
    }

    /// Waits for the budget, unless the circuit is open.
    async fn admit(&self, bucket: &Mutex<TokenBucket>) -> Result<(), StoreError> {
        let limit = Instant::now() + Duration::from_millis(self.shared.settings.wait_ms);
        loop {
            let now = Instant::now();
            if self.priority != CallPriority::Operator {
                lock(&self.shared.circuit).admit(now)?;
            }
            let taken = lock(bucket).take(self.priority, now);
            let Err(wait) = taken else { return Ok(()) };
            if now + wait > limit {
                return Err(StoreError::Throttled { retry_after: wait });
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn note<R>(&self, result: Result<R, StoreError>) -> Result<R, StoreError> {
        let mut circuit = lock(&self.shared.circuit);
        match &result {
            Ok(_) => circuit.record_success(),
            Err(error) => circuit.record_failure(error, Instant::now(), rand::random()),
        }
        result
    }
}

/// A node's share of a limit; never more than half, so that no single node takes all.
fn node_share(limit: u32, settings: BudgetSettings, nodes: usize) -> u32 {
    let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
    let share = limit.saturating_mul(settings.oversubscription) / nodes;
    share.min(limit / 2)
}

fn lock<G>(mutex: &Mutex<G>) -> MutexGuard<'_, G> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<T: TableStore> TableStore for BudgetedTable<T> {
    async fn read(&self, key: &str, known: Option<RowVersion>) -> Result<RowRead, StoreError> {
        self.admit(&self.shared.reads).await?;
        self.note(self.table.read(key, known).await)
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        self.admit(&self.shared.reads).await?;
        self.note(self.table.scan(prefix).await)
    }

    async fn scan_page(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, StoreError> {
        self.admit(&self.shared.reads).await?;
        self.note(self.table.scan_page(prefix, after, limit).await)
    }

    async fn commit(&self, batch: &WriteBatch) -> Result<CommitOutcome, StoreError> {
        self.admit(&self.shared.writes).await?;
        self.note(self.table.commit(batch).await)
    }
}
