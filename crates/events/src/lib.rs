//! Numbered events, the time line, logs and metrics.

pub mod clock;
pub mod code;
pub mod lines;
pub mod logs;
pub mod metrics;
pub mod page;
pub mod recorder;
pub mod timeline;

pub use clock::{HybridClock, HybridStamp};
pub use code::{EventCode, EventLevel};
pub use lines::{EventLine, LineSink};
pub use metrics::NodeMetrics;
pub use recorder::{EventRecord, EventRecorder, EventSubject};
pub use timeline::{NodeEvents, TimelineFilter, TimelineView};
