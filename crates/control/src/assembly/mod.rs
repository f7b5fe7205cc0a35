//! Assembly: which hosts of a fabric domain form which replica.
//!
//! One node acts for a fabric domain at a time, under the domain's lease. In each round it asks the
//! hosts that are not known to be healthy, decides on steps ([`plan_round`], without input or
//! output), commits each step in one transaction that checks the lease's epoch, and then sends
//! orders to engines that differ from the table.
//!
//! Why no host is in two replicas. A host's slot names one replica. It is assigned only while it is
//! empty, in the transaction that forms the replica, and it is emptied only when the host itself
//! reports that it runs nothing. Orders contain the complete desired state of an engine, so
//! repeating one has no effect.
//!
//! Orders of a paused holder. Targets that check fencing tokens refuse them. For targets that do
//! not, the holder sends an order only when its lease outlasts the order's timeout, reads the
//! targets' state before each round, and gets it back with each response. One case is not excluded:
//! a process that is suspended between checking the lease and the operating system sending the
//! bytes delivers an old order late. The host then runs an assignment that differs from its plan in
//! replica or incarnation. No health evidence names it, so nothing is dispatched to the replica,
//! and the holder's next round sends the host a new order. This costs the replica a round and its
//! running streams, but never leads to a wrong result.

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

/// Timing and limits of assembly. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, bon::Builder)]
#[serde(default, deny_unknown_fields)]
pub struct AssemblySettings {
    /// Interval between two rounds.
    #[builder(default = 500)]
    pub round_ms: u64,
    /// Timeout of an order to an engine.
    #[builder(default = 2_000)]
    pub order_timeout_ms: u64,
    /// Timeout of a host's state request; an unresponsive host delays every round by this time.
    #[builder(default = 800)]
    pub probe_timeout_ms: u64,
    /// Maximum age of health evidence for which the controller need not ask a replica's hosts
    /// itself.
    #[builder(default = 2_000)]
    pub trust_ms: u64,
    /// Time for which a host must be silent before its replica continues without it.
    ///
    /// Loading weights again takes minutes, so a pause of a second does not justify it. Meanwhile
    /// nothing is dispatched to the replica, since health evidence is missing.
    #[builder(default = 3_000)]
    pub loss_ms: u64,
    /// Time for which a draining replica must report no stream before its hosts are taken. Load is
    /// reported with a delay, and entry nodes learn of the drain within seconds.
    #[builder(default = 3_000)]
    pub settle_ms: u64,
    /// Maximum time that a drain waits for streams.
    #[builder(default = 600_000)]
    pub drain_limit_ms: u64,
    /// Time for which a host must be empty before it joins another replica; longer than entry nodes
    /// use health evidence.
    #[builder(default = 3_500)]
    pub rest_ms: u64,
    /// Interval between two checks for changes made by other controllers.
    #[builder(default = 5_000)]
    pub refresh_ms: u64,
    /// Replicas of one fabric domain that load weights concurrently, limited by the weight store.
    #[builder(default = 4)]
    pub loads_at_once: usize,
}

impl Default for AssemblySettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl AssemblySettings {
    /// [`Self::order_timeout_ms`] as a duration.
    #[must_use]
    pub fn order_timeout(&self) -> Duration {
        Duration::from_millis(self.order_timeout_ms)
    }
}
