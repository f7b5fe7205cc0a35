//! What crashes targets: evidence from interrupted requests and sound answers, shared by all nodes.

mod confirm;
mod records;
mod state;

pub use confirm::record_interrupted;
pub use records::watch_crash_records;
pub use state::CrashState;
