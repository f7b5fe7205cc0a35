//! Assembly: which hosts of a fabric domain form which replica.
//!
//! One node acts for a fabric domain at a time, under the domain's lease. In each round it asks
//! the hosts that are not known to be well, decides on steps ([`plan_round`], without input or
//! output), commits each step in one transaction that checks the lease's epoch, and then brings
//! the engines to what the table says.
//!
//! Why no host is in two replicas. A host's slot names one replica. It is given away only while it
//! is empty, in the transaction that forms the replica, and it is emptied only when the host
//! itself reports that it runs nothing. Orders are complete and say what the engine shall be, so
//! repeating one does nothing.
//!
//! Orders of a paused holder. Targets that check fencing numbers refuse them. For targets that do
//! not, the holder sends an order only when its lease lasts longer than the order may take, reads
//! the targets' state before each round, and gets it back with each answer. What can't be
//! excluded: a process that is frozen between its look at the lease and the system's sending of
//! the bytes delivers an old order late. The host then runs an assignment that differs from its
//! plan in replica or incarnation. No evidence of wholeness names it, so nothing is dispatched to
//! the replica, and the next round of the holder orders the host anew. It costs the replica a
//! round and its running streams, and never a wrong answer.

mod chooser;
mod controller;
mod health;
mod orders;
mod round;
mod rows;
mod serving;
mod step;
mod step_events;
mod supervise;

pub use chooser::{FirstHosts, HostChooser};
pub use controller::{AssemblyContext, FabricController, run_controller};
pub use health::{FabricHealth, HostHealth};
pub use orders::{HostOrder, required_orders};
pub use round::{RoundInput, plan_round};
pub use rows::{FabricRows, ReplicaCountRow, StepError};
pub use serving::{ModelCounts, ServingReplicas};
pub use step::{AssemblyStep, DesiredVersion};
pub use supervise::{SupervisorInputs, supervise_leases};

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits of assembly. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct AssemblySettings {
    /// Time between two rounds.
    #[builder(default = 500)]
    pub round_ms: u64,
    /// Longest wait for an engine's answer to an order.
    #[builder(default = 2_000)]
    pub order_timeout_ms: u64,
    /// Longest wait for a host's report; a frozen host holds up every round for so long.
    #[builder(default = 800)]
    pub probe_timeout_ms: u64,
    /// Oldest evidence of wholeness that spares a replica's hosts the controller's own questions.
    #[builder(default = 2_000)]
    pub trust_ms: u64,
    /// Time for which a host must be silent before its replica goes on without it.
    ///
    /// Loading weights anew takes minutes; a pause of a second is not worth them. No work goes to
    /// the replica meanwhile, since evidence of wholeness is missing.
    #[builder(default = 3_000)]
    pub loss_ms: u64,
    /// Time for which a draining replica must report no stream before its hosts are taken. Load is
    /// reported with a lag, and entries learn of the drain within seconds.
    #[builder(default = 3_000)]
    pub settle_ms: u64,
    /// Longest time that a drain waits for streams.
    #[builder(default = 600_000)]
    pub drain_limit_ms: u64,
    /// Time for which a host must be empty before it joins another replica; longer than entries
    /// trust evidence of wholeness.
    #[builder(default = 3_500)]
    pub rest_ms: u64,
    /// Time between two looks at what other controllers changed.
    #[builder(default = 5_000)]
    pub refresh_ms: u64,
    /// Replicas of one fabric domain that load weights at once, for the weight store's limit.
    #[builder(default = 4)]
    pub loads_at_once: usize,
}

impl Default for AssemblySettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl AssemblySettings {
    /// Longest wait for an engine's answer.
    #[must_use]
    pub fn order_timeout(&self) -> Duration {
        Duration::from_millis(self.order_timeout_ms)
    }
}
