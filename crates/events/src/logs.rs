//! Logs as lines of JSON on standard error.

use log::LevelFilter;
use log::kv::{Error as KvError, Key, Source, Value, VisitSource};
use logforth::append;
use logforth::layout::JsonLayout;
use logforth::record::LevelFilter as AppendFilter;

use crate::code::{EventCode, EventLevel};
use crate::record::EventRecord;

/// Starts logging of events at `level` and above; a second call changes the level only.
pub fn init_logging(level: EventLevel) {
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
    let level = log::Level::from(event.code.level());
    if level > log::max_level() {
        return;
    }
    log::logger().log(
        &log::Record::builder()
            .target("bramleyspring")
            .level(level)
            .key_values(&EventPairs { event })
            .args(format_args!("{}", event.detail))
            .build(),
    );
}

/// Logs an error that calls for nothing, at the level of [`EventCode::StepSkipped`].
///
/// For steps that are repeated anyway, or that only spare others a wait: each failure alone is no
/// event, but whoever looks for a cause finds it here.
pub fn log_skipped<T, E: std::fmt::Display>(step: &str, result: Result<T, E>) {
    let Err(problem) = result else { return };
    let code = EventCode::StepSkipped;
    let level = log::Level::from(code.level());
    if level > log::max_level() {
        return;
    }
    let pairs = [
        ("number", Value::from(code.number())),
        ("event", Value::from(code.name())),
        ("step", Value::from(step)),
    ];
    log::logger().log(
        &log::Record::builder()
            .target("bramleyspring")
            .level(level)
            .key_values(&pairs)
            .args(format_args!("{problem}"))
            .build(),
    );
}

/// The parts of an event that stand as pairs in its line; absent ones are left out.
struct EventPairs<'event> {
    event: &'event EventRecord,
}

impl Source for EventPairs<'_> {
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
