//! A gateway's view of its deployment, and the decisions that it derives from it.
//!
//! The code is deterministic and free of side effects: no I/O, no clocks and no random numbers.
//! Times are passed in as a [`std::time::Duration`] since the start of the process, measured on
//! its monotonic clock.

pub mod answer_proof;
pub mod choose;
pub mod choose_by_room;
pub mod choose_sampled;
pub mod closed_listener;
pub mod cold_senders;
pub mod cold_targets;
pub mod confirmed;
pub mod demand;
pub mod departed;
pub mod evacuation;
pub mod event_stream;
pub mod eventless_time;
pub mod feed;
pub mod hashing;
pub mod held_bytes;
pub mod lease;
pub mod load_board;
pub mod load_budget;
pub mod memory_tokens;
pub mod missing_targets;
pub mod plan;
pub mod poison;
pub mod probe_schedule;
pub mod prompt_backlog;
pub mod regions;
pub mod registry;
pub mod relay_order;
pub mod replica_history;
pub mod retry_budget;
pub mod return_times;
pub mod route;
pub mod shutdown;
pub mod stall;
pub mod target;
pub mod target_limit;
pub mod target_paths;
pub mod target_statements;
pub mod timing;

pub use choose::{ChoiceLimits, TargetLoad, choose_target};
pub use cold_senders::{SenderNode, SenderStanding, cold_allowance};
pub use cold_targets::{ColdAllowance, ColdBound, ColdLedger, ColdTerms};
pub use confirmed::ConfirmedMembership;
pub use evacuation::EvacuationLedger;
pub use event_stream::EventSplitter;
pub use poison::{
    BarredSet, CrashedFeature, PoisonDetector, PoisonVerdict, RequestFeature, RequestFingerprint,
    TargetProcess,
};
pub use prompt_backlog::PromptBacklog;
pub use registry::{ReplicaView, TargetRegistry};
pub use retry_budget::RetryBudget;
pub use return_times::{ReturnRequest, ReturnTimes};
pub use route::{
    GatewayConfig, KeyOwner, ModelConfig, RequestLimits, Route, RouteKind, ServiceConfig,
};
pub use shutdown::ShutdownPlan;
pub use target::{MemberState, MembershipKey, ReplicaMembership, TargetEntry, TargetState};
pub use target_statements::{SendBarrier, SendGrant, StatementLedger};
pub use timing::ReplicaTiming;
