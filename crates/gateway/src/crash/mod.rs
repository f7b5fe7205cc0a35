//! What crashes targets: evidence from interrupted requests and sound answers, shared by all nodes.

mod confirm;
mod overload;
mod records;
mod rows;
mod state;
mod table;
mod trial;
mod verdict;

pub use confirm::{has_exited, record_interrupted, refuses_connections};
pub(crate) use records::spread_delay;
pub use records::{share_evidence, watch_evidence};
pub use state::{CrashState, InterruptedRequest};
pub use trial::ArrivalVerdict;
pub use verdict::describe_features;
