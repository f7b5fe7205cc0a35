//! Settings of the rate limits and the circuit breaker for the table.

use serde::{Deserialize, Serialize};

/// Rate limits of the table for all nodes together, a node's share of them, and the circuit
/// breaker, under `budget` in the node's settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetSettings {
    /// Reads a second of all nodes together; the table allows about 2,000.
    #[builder(default = 1_600)]
    pub reads_a_second: u32,
    /// Transactions a second of all nodes together; the table allows several hundred.
    #[builder(default = 400)]
    pub writes_a_second: u32,
    /// Multiple of its even share that a node may use. Nodes are seldom busy at the same time: a
    /// node that holds leases or receives a burst of payments needs more than the others.
    #[builder(default = 3)]
    pub oversubscription: u32,
    /// Burst size as the time in which it refills, in milliseconds. Taking over a lease reads all
    /// hosts of a fabric domain at once.
    #[builder(default = 2_000)]
    pub burst_ms: u64,
    /// Part of the burst, in percent, that is reserved for claims, leases and amendments, so that
    /// polling can't use up the budget and cost a lease or a payment.
    #[builder(default = 50)]
    pub reserve_percent: u32,
    /// Maximum wait for the budget, in milliseconds; a call that would wait longer is refused
    /// without being sent.
    #[builder(default = 1_000)]
    pub wait_ms: u64,
    /// Consecutive failures that open the circuit.
    #[builder(default = 5)]
    pub open_after: u32,
    /// Initial time for which the circuit stays open, in milliseconds. It doubles each time the
    /// circuit opens again, and is shortened at random by up to a half.
    #[builder(default = 200)]
    pub first_open_ms: u64,
    /// Maximum time for which the circuit stays open, in milliseconds; must be well below a
    /// lease's time to live.
    #[builder(default = 1_500)]
    pub longest_open_ms: u64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
