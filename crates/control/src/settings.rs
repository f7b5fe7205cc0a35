//! Settings of the control plane.

use serde::{Deserialize, Serialize};

use crate::assembly::AssemblySettings;
use crate::housekeeping::HousekeepingSettings;
use crate::lease::LeaseSettings;
use crate::ledger::LedgerSettings;
use crate::prober::ProbeSettings;

/// Settings of the control plane. Times are in milliseconds; every field has a default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// Timing and candidates of the leases.
    #[builder(default)]
    pub leases: LeaseSettings,
    /// Timing and limits of replica assembly.
    #[builder(default)]
    pub assembly: AssemblySettings,
    /// Timing of the health probes of replicas.
    #[builder(default)]
    pub watch: ProbeSettings,
    /// Batching and timeouts of the ledger of non-idempotent calls.
    #[builder(default)]
    pub ledger: LedgerSettings,
    /// Retention and pace of the claim cleanup.
    #[builder(default)]
    pub housekeeping: HousekeepingSettings,
    /// Interval between two reads of the host list, shortened at random by up to a fifth.
    #[builder(default = 1_000)]
    pub hosts_ms: u64,
    /// Interval between two reads of the replica plans in the table, shortened likewise.
    #[builder(default = 2_000)]
    pub plans_ms: u64,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
