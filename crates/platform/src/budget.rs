//! Rate limits for this process's calls to the table, and a circuit breaker for outages.
//!
//! The table accepts several hundred writes and about two thousand reads a second from all nodes
//! together. Without a limit per node, a busy node would use up the capacity that the leases and
//! claims of others need, and leases would be lost throughout the system whenever one node polls
//! heavily. After an outage the backlogs of all nodes would arrive at once and overload the table
//! again.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use domain::RowVersion;

use crate::circuit::{CircuitBreaker, CircuitState};
use crate::error::StoreError;
use crate::limits::BudgetSettings;
use crate::table::{CommitOutcome, RowRead, TableRow, TableStore, WriteBatch};

/// Minimum reads a second of a node, enough to poll the configuration and the replicas.
const MIN_READS_PER_SECOND: u32 = 10;

/// Minimum transactions a second of a node, enough to renew a lease and to claim calls.
const MIN_WRITES_PER_SECOND: u32 = 3;

/// Priority of a call when the budget is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPriority {
    /// Operators' amendments. They are rare and sent even while the circuit is open, so that the
    /// operator gets a definite result and need not guess whether to repeat the amendment.
    Operator,
    /// Claims and leases.
    High,
    /// Polling and housekeeping.
    Normal,
}

/// A token bucket that is refilled at a constant rate.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    reserve: f64,
    tokens: f64,
    refilled: Instant,
}

impl TokenBucket {
    /// Creates a full bucket; `rate` is in tokens a second.
    #[must_use]
    pub fn new(rate: u32, settings: BudgetSettings, now: Instant) -> Self {
        let mut bucket = Self {
            rate: 0.0,
            capacity: 0.0,
            reserve: 0.0,
            tokens: 0.0,
            refilled: now,
        };
        bucket.set_rate(rate, settings);
        bucket.tokens = bucket.capacity;
        bucket
    }

    /// Changes the rate. The tokens in the bucket stay, up to the new capacity.
    pub fn set_rate(&mut self, rate: u32, settings: BudgetSettings) {
        let burst = Duration::from_millis(settings.burst_ms).as_secs_f64();
        self.rate = f64::from(rate.max(1));
        self.capacity = (self.rate * burst).max(1.0);
        self.reserve = self.capacity * f64::from(settings.reserve_percent.min(100)) / 100.0;
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// The time to wait until a token may be available.
    pub fn take(&mut self, priority: CallPriority, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.capacity);
        self.refilled = self.refilled.max(now);
        // The reserve leaves at least one token, otherwise normal calls of a small budget would
        // starve.
        let reserved = match priority {
            CallPriority::Operator | CallPriority::High => 0.0,
            CallPriority::Normal => self.reserve.min(self.capacity - 1.0),
        };
        if self.tokens - reserved >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - (self.tokens - reserved);
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

/// Limits the calls to a table. Clones share the budget, whatever their priority.
#[derive(Debug, Clone)]
pub struct BudgetedTable<T> {
    table: T,
    priority: CallPriority,
    shared: Arc<SharedBudget>,
}

impl<T: TableStore> BudgetedTable<T> {
    /// Limits calls to a table, with normal priority. Until [`Self::set_node_count`] is called,
    /// the node may use half of the limits.
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

    /// Returns the same table and budget for claims and leases.
    #[must_use]
    pub fn with_high_priority(&self) -> Self {
        self.with_priority(CallPriority::High)
    }

    /// Returns the same table and budget for operators' amendments.
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

    /// Divides the limits by the number of nodes, including this one.
    pub fn set_node_count(&self, nodes: usize) {
        let settings = self.shared.settings;
        let reads = node_share(settings.reads_a_second, settings, nodes).max(MIN_READS_PER_SECOND);
        let writes =
            node_share(settings.writes_a_second, settings, nodes).max(MIN_WRITES_PER_SECOND);
        lock(&self.shared.reads).set_rate(reads, settings);
        lock(&self.shared.writes).set_rate(writes, settings);
    }

    /// Returns the state of the circuit breaker.
    #[must_use]
    pub fn circuit(&self) -> CircuitState {
        lock(&self.shared.circuit).state(Instant::now())
    }

    /// Waits for a token, unless the circuit is open or the wait would exceed the timeout.
    async fn admit(&self, bucket: &Mutex<TokenBucket>) -> Result<(), StoreError> {
        let deadline = Instant::now() + Duration::from_millis(self.shared.settings.wait_ms);
        loop {
            let now = Instant::now();
            if self.priority != CallPriority::Operator {
                lock(&self.shared.circuit).admit(now)?;
            }
            let taken = lock(bucket).take(self.priority, now);
            let Err(wait) = taken else { return Ok(()) };
            if now + wait > deadline {
                return Err(StoreError::Throttled { retry_after: wait });
            }
            tokio::time::sleep(wait).await;
        }
    }

    fn record<R>(&self, result: Result<R, StoreError>) -> Result<R, StoreError> {
        let mut circuit = lock(&self.shared.circuit);
        match &result {
            Ok(_) => circuit.record_success(),
            Err(error) => circuit.record_failure(error, Instant::now(), rand::random()),
        }
        result
    }
}

/// Returns a node's share of a limit; at most half, so that no single node uses all of it.
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
        self.record(self.table.read(key, known).await)
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        self.admit(&self.shared.reads).await?;
        self.record(self.table.scan(prefix).await)
    }

    async fn scan_page(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, StoreError> {
        self.admit(&self.shared.reads).await?;
        self.record(self.table.scan_page(prefix, after, limit).await)
    }

    async fn commit(&self, batch: &WriteBatch) -> Result<CommitOutcome, StoreError> {
        self.admit(&self.shared.writes).await?;
        self.record(self.table.commit(batch).await)
    }
}
