//! Settings of control.

use serde::{Deserialize, Serialize};

use crate::assembly::AssemblySettings;
use crate::housekeeping::HousekeepingSettings;
use crate::lease::LeaseSettings;
use crate::ledger::LedgerSettings;
use crate::prober::ProbeSettings;

/// Settings of control. Times are in milliseconds; everything has a default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// Leases.
    #[builder(default)]
    pub leases: LeaseSettings,
    /// Assembly of replicas.
    #[builder(default)]
    pub assembly: AssemblySettings,
    /// Evidence of wholeness.
    #[builder(default)]
    pub watch: ProbeSettings,
    /// The ledger of non-idempotent calls.
    #[builder(default)]
    pub ledger: LedgerSettings,
    /// Housekeeping.
    #[builder(default)]
    pub housekeeping: HousekeepingSettings,
    /// Time between two looks at the host list.
    #[builder(default = 1_000)]
    pub hosts_ms: u64,
    /// Time between two looks at the replicas in the table.
    #[builder(default = 2_000)]
    pub plans_ms: u64,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}
