//! Event logging as JSON lines on standard error.

use log::LevelFilter;
use log::kv::{Error as KvError, Key, Source, Value, VisitSource};
use logforth::append;
use logforth::layout::JsonLayout;
use logforth::record::LevelFilter as AppendFilter;

use crate::code::{EventCode, EventLevel};
use crate::record::EventRecord;

/// Enables logging of events at `level` and above. A second call only changes the level.
pub fn init_logging(level: EventLevel) {
    let installed = logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(AppendFilter::All)
                .append(append::Stderr::default().with_layout(JsonLayout::default()))
        })
        .try_apply();
    // An embedding test may have installed its own logger, which receives the events then.
    drop(installed);
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

/// Writes an event to the log, unless its level is disabled.
pub(crate) fn log_event(event: &EventRecord) {
    let level = log::Level::from(event.code.level());
    if level > log::max_level() {
        return;
    }
    log::logger().log(
        &log::Record::builder()
            .target("bramleyspring")
            .level(level)
            .key_values(&EventFields { event })
            .args(format_args!("{}", event.detail))
            .build(),
    );
}

/// Logs the error of a step that needs no handling, at the level of [`EventCode::StepSkipped`].
///
/// This is for steps that are retried periodically, or that only save others a delay. A single
/// failure is not an event of its own, but it can explain why something else was late.
pub fn log_skipped<T, E: std::fmt::Display>(step: &str, result: Result<T, E>) {
    let Err(error) = result else { return };
    let code = EventCode::StepSkipped;
    let level = log::Level::from(code.level());
    if level > log::max_level() {
        return;
    }
    let fields = [
        ("number", Value::from(code.number())),
        ("event", Value::from(code.name())),
        ("step", Value::from(step)),
    ];
    log::logger().log(
        &log::Record::builder()
            .target("bramleyspring")
            .level(level)
            .key_values(&fields)
            .args(format_args!("{error}"))
            .build(),
    );
}

/// Key-value pairs of an event's log line, without subject fields that are not set.
struct EventFields<'event> {
    event: &'event EventRecord,
}

impl Source for EventFields<'_> {
    fn visit<'pair>(&'pair self, visitor: &mut dyn VisitSource<'pair>) -> Result<(), KvError> {
        let event = self.event;
        visitor.visit_pair(Key::from("number"), Value::from(event.code.number()))?;
        visitor.visit_pair(Key::from("event"), Value::from(event.code.name()))?;
        visitor.visit_pair(Key::from("node"), Value::from(event.node.as_str()))?;
        for (name, value) in event.subject.fields() {
            let Some(value) = value else { continue };
            visitor.visit_pair(Key::from(name), Value::from(value))?;
        }
        Ok(())
    }
}
