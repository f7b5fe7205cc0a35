//! What a gateway knows of its deployment and what it decides from it.
//!
//! Everything here is plain data with rules: no input, output, clocks or hidden randomness. A
//! time is a [`std::time::Duration`] since the start of the process, on its own monotonic clock.

pub mod choose;
pub mod events;
pub mod hashing;
pub mod plan;
pub mod poison;
pub mod prompt_backlog;
pub mod registry;
pub mod retry_budget;
pub mod route;
pub mod shutdown;
pub mod stall;
pub mod target;
pub mod timing;

pub use choose::{ChoiceLimits, TargetLoad, choose_target};
pub use events::EventSplitter;
pub use poison::{CrashedRequest, PoisonDetector, PoisonVerdict, RequestFingerprint, TargetCrash};
pub use prompt_backlog::PromptBacklog;
pub use registry::{ReplicaView, TargetRegistry};
pub use retry_budget::RetryBudget;
pub use route::{
    GatewayConfig, KeyOwner, ModelConfig, RequestLimits, Route, RouteKind, ServiceConfig,
};
pub use shutdown::ShutdownPlan;
pub use target::{MemberState, ReplicaMembership, TargetEntry, TargetState};
pub use timing::ReplicaTiming;
