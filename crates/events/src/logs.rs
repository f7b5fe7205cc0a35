//! Logs as lines of JSON on standard error.

use log::LevelFilter;
use logforth::append;
use logforth::layout::JsonLayout;
use logforth::record::LevelFilter as AppendFilter;

use crate::code::{EventCode, EventLevel};
use crate::recorder::{EventRecord, EventSubject};

/// Starts logging of events at `level` and above; a second call changes the level only.
pub fn start_logs(level: EventLevel) {
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(AppendFilter::All)
                .append(append::Stderr::default().with_layout(JsonLayout::default()))
        })
        .try_apply();
    // A logger of an embedding test may stand already; its events then go there.
    drop(started);
    log::set_max_level(LevelFilter::from(level));
}

impl From<EventLevel> for LevelFilter {
    fn from(level: EventLevel) -> Self {
        match level {
            EventLevel::Debug => Self::Debug,
            EventLevel::Info => Self::Info,
            EventLevel::Warn => Self::Warn,
            EventLevel::Error => Self::Error,
        }
    }
}

impl From<EventLevel> for log::Level {
    fn from(level: EventLevel) -> Self {
        match level {
            EventLevel::Debug => Self::Debug,
            EventLevel::Info => Self::Info,
            EventLevel::Warn => Self::Warn,
            EventLevel::Error => Self::Error,
        }
    }
}

/// Writes an event to the log.
pub(crate) fn log_event(event: &EventRecord) {
    let code: EventCode = event.code;
    let subject: &EventSubject = &event.subject;
    log::log!(
        target: "bramleyspring",
        log::Level::from(code.level()),
        number = code.number(),
        event = code.name(),
        node = event.node.as_str(),
        subject:serde = subject;
        "{}",
        event.detail
    );
}
