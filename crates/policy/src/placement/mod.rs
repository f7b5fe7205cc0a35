//! Choosing the target for an attempt by its predicted time to the first token.

mod affinity;
mod choose;
mod health;
mod pool;
mod request;
mod state;
mod survey;

pub use affinity::PrefixIndex;
pub use health::{HealthSettings, TargetHealth};
pub use pool::TargetPool;
pub use request::{CandidateList, PlacementChoice, PlacementRequest, PlacementSettings};
pub use state::{AttemptOutcome, TargetLoad, TargetProperties};
