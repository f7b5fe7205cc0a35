//! Selection of the target for an attempt by its predicted time to first token.

mod affinity;
mod choose;
mod health;
mod outliers;
mod pool;
mod request;
mod state;

pub use affinity::PrefixIndex;
pub use health::{HealthSettings, TargetHealth};
pub use pool::TargetPool;
pub use request::{CandidateList, PlacementChoice, PlacementRequest, PlacementSettings};
pub use state::{AttemptOutcome, TargetLoad, TargetProperties};
