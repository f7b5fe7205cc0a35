//! Planning of replicas: which hosts form them, and when they open and close.
//!
//! The plan is a pure function of the state in the registry, so any node may act on it at any time,
//! and a node that takes over continues where a failed one stopped. Safety does not depend on which
//! node acts: each order names the host state that it was planned for, and the host refuses it in
//! any other state (see [`PlanStep`]).

mod counts;
mod coverage;
mod fabric;
mod forming;
mod layout;
mod rebalance;
mod replica_status;
mod spares;
mod staging;
mod state;
mod step;

pub use fabric::{FabricPlan, FabricSummary, ModelSummary, plan_fabric};
pub use layout::{FabricCapacity, FabricLayout, compute_layout};
pub use replica_status::CLOSE_TIMEOUT;
pub use spares::{SPARE_PREFIX, spare_prefix};
pub use state::{FabricState, HostLifecycle, HostState};
pub use step::{CloseMode, PlanStep};
