//! Events, the timeline, logs and metrics.

pub mod clock;
pub mod code;
pub mod lines;
pub mod logs;
pub mod metrics;
pub mod page;
pub mod record;
pub mod recorder;
pub mod timeline;

pub use clock::{HybridClock, HybridTimestamp};
pub use code::{EventCode, EventLevel};
pub use lines::{LogLine, LogSink};
pub use logs::log_skipped;
pub use metrics::NodeMetrics;
pub use record::{EventRecord, EventSubject};
pub use recorder::EventRecorder;
pub use timeline::{NodeEvents, TimelineFilter, TimelineView};
