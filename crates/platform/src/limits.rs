//! Settings of a process's share of the table's limits.

use serde::{Deserialize, Serialize};

/// The table's limits for all nodes together, and how one node uses its share of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetSettings {
    /// Reads a second of all nodes; the table gives about 2,000.
    #[builder(default = 1_600)]
    pub reads_a_second: u32,
    /// Transactions a second of all nodes; the table gives several hundred.
    #[builder(default = 400)]
    pub writes_a_second: u32,
    /// How many times its even share a node may use. Nodes are seldom busy together: one that
    /// holds leases or takes a rush of payments needs more than one that does not.
    #[builder(default = 3)]
    pub oversubscription: u32,
    /// Time whose share may be used at once, in milliseconds: a take-over reads a whole fabric
    /// domain's hosts.
    #[builder(default = 2_000)]
    pub burst_ms: u64,
    /// Share of the burst, in percent, that only urgent calls may use. Polling that fills the
    /// budget would otherwise cost a lease or a payment.
    #[builder(default = 50)]
    pub reserve_percent: u32,
    /// Longest wait for the budget, in milliseconds; a call is then refused, unsent.
    #[builder(default = 1_000)]
    pub wait_ms: u64,
    /// Failures in a row that open the circuit.
    #[builder(default = 5)]
    pub open_after: u32,
    /// First time for which the circuit stays open, in milliseconds; it doubles, and each time is
    /// shortened at random by up to a half.
    #[builder(default = 200)]
    pub first_open_ms: u64,
    /// Longest time for which the circuit stays open, in milliseconds. It must stay well below a
    /// lease's time to live.
    #[builder(default = 1_500)]
    pub longest_open_ms: u64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
