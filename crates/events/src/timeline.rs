//! The time line: events of all processes in one order.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use crate::record::EventRecord;

/// What one node answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEvents {
    /// Name or address of the node.
    pub node: String,
    /// Its events, or why it gave none.
    pub events: Result<Vec<EventRecord>, String>,
}

/// Which events are wanted; every part that is given must match.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TimelineFilter {
    /// Request.
    pub request: Option<String>,
    /// Replica.
    pub replica: Option<String>,
    /// Host.
    pub host: Option<String>,
    /// Customer.
    pub customer: Option<String>,
    /// Lease.
    pub lease: Option<String>,
}

impl TimelineFilter {
    fn matches(&self, event: &EventRecord) -> bool {
        let wanted = [
            &self.request,
            &self.customer,
            &self.replica,
            &self.host,
            &self.lease,
        ];
        let given = event.subject.fields();
        wanted
            .into_iter()
            .zip(given)
            .all(|(wanted, (_, given))| match wanted {
                Some(wanted) => given == Some(wanted.as_str()),
                None => true,
            })
    }
}

/// Events of all nodes in one order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineView {
    /// The events.
    pub events: Vec<EventRecord>,
    /// Nodes that gave none, each with the reason: what they saw is missing here.
    pub missing: Vec<(String, String)>,
}

impl TimelineView {
    /// Merges what the nodes answered; one that gave nothing is named, not waited for.
    #[must_use]
    pub fn merge(answers: Vec<NodeEvents>, filter: &TimelineFilter) -> Self {
        let mut view = Self::default();
        for answer in answers {
            match answer.events {
                Ok(events) => {
                    view.events
                        .extend(events.into_iter().filter(|event| filter.matches(event)));
                }
                Err(reason) => view.missing.push((answer.node, reason)),
            }
        }
        view.events.sort_by(|left, right| {
            let left_key = (left.timestamp, &left.node, left.sequence);
            left_key.cmp(&(right.timestamp, &right.node, right.sequence))
        });
        view.events.dedup();
        view
    }

    /// The time line as text, an event a line.
    #[must_use]
    pub fn text(&self) -> String {
        let mut out = String::new();
        for event in &self.events {
            let _ = writeln!(
                out,
                "{} {:<10} {} {:<18} {} {}",
                format_time_of_day(event.timestamp.millis),
                event.node,
                event.code.number(),
                event.code.name(),
                format_subject(event),
                event.detail,
            );
        }
        for (node, reason) in &self.missing {
            let _ = writeln!(out, "missing: {node}: {reason}");
        }
        out
    }
}

/// Time of day in UTC, with milliseconds.
#[must_use]
pub fn format_time_of_day(millis: u64) -> String {
    let seconds = millis / 1_000;
    let (hours, minutes) = (seconds / 3_600 % 24, seconds / 60 % 60);
    format!(
        "{hours:02}:{minutes:02}:{:02}.{:03}",
        seconds % 60,
        millis % 1_000
    )
}

/// What an event is about, in one line.
#[must_use]
pub fn format_subject(event: &EventRecord) -> String {
    let mut parts = Vec::new();
    for (name, value) in event.subject.fields() {
        let Some(value) = value else { continue };
        parts.push(format!("{name}={value}"));
    }
    parts.join(" ")
}
