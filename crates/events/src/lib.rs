//! Numbered events, the time line, logs and metrics.

pub mod code;
pub mod recorder;

pub use code::{EventCode, EventLevel};
pub use recorder::{EventRecord, EventRecorder, EventSubject};
