//! Which hosts form which replicas.
//!
//! The plan is a pure function of what the registry says, so any node may act on it at any time,
//! and a node that takes over goes on where another one died. Safety does not rest on who acts:
//! each order names the state of the host that it was planned for, and the host refuses it in any
//! other (see [`PlanStep`]).

mod cover;
mod exchange;
mod fabric;
mod fate;
mod forming;
mod layout;
mod spares;
mod staging;
mod state;
mod step;
mod tally;

pub use fabric::{FabricPlan, FabricSummary, ModelSummary, plan_fabric};
pub use fate::CLOSE_TIMEOUT;
pub use layout::{FabricCapacity, FabricLayout, compute_layout};
pub use spares::{SPARE_PREFIX, spare_prefix};
pub use state::{FabricState, HostLifecycle, HostState};
pub use step::{CloseMode, PlanStep};
