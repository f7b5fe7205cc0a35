//! The timeline: events of all processes in a single order.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use crate::record::EventRecord;

/// Events of one node, or the reason why they are missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEvents {
    /// Id of the node, or its address if the id is unknown.
    pub node: String,
    /// Events that the node returned, or why it returned none.
    pub events: Result<Vec<EventRecord>, String>,
}

/// Filter for events by subject. All fields that are set must match.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TimelineFilter {
    /// Id of the request.
    pub request: Option<String>,
    /// Id of the replica.
    pub replica: Option<String>,
    /// Id of the host.
    pub host: Option<String>,
    /// Id of the customer.
    pub customer: Option<String>,
    /// Name of the lease.
    pub lease: Option<String>,
}

impl TimelineFilter {
    fn matches(&self, event: &EventRecord) -> bool {
        let expected = [
            &self.request,
            &self.customer,
            &self.replica,
            &self.host,
            &self.lease,
        ];
        let actual = event.subject.fields();
        expected
            .into_iter()
            .zip(actual)
            .all(|(expected, (_, actual))| match expected {
                Some(expected) => actual == Some(expected.as_str()),
                None => true,
            })
    }
}

/// The merged events of all nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineView {
    /// Events ordered by timestamp, without duplicates.
    pub events: Vec<EventRecord>,
    /// Nodes whose events are missing, each with the reason.
    pub missing: Vec<(String, String)>,
}

impl TimelineView {
    /// Merges the events of the nodes that match the filter. Nodes without events are listed as
    /// missing.
    #[must_use]
    pub fn merge(responses: Vec<NodeEvents>, filter: &TimelineFilter) -> Self {
        let mut view = Self::default();
        for response in responses {
            match response.events {
                Ok(events) => {
                    view.events
                        .extend(events.into_iter().filter(|event| filter.matches(event)));
                }
                Err(reason) => view.missing.push((response.node, reason)),
            }
        }
        view.events.sort_by(|left, right| {
            let left_key = (left.timestamp, &left.node, left.sequence);
            left_key.cmp(&(right.timestamp, &right.node, right.sequence))
        });
        view.events.dedup();
        view
    }

    /// Renders the timeline as text, one line per event.
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

/// Formats the time of day in UTC, with milliseconds.
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

/// Formats the subject of an event as `name=value` pairs in one line.
#[must_use]
pub fn format_subject(event: &EventRecord) -> String {
    let mut parts = Vec::new();
    for (name, value) in event.subject.fields() {
        let Some(value) = value else { continue };
        parts.push(format!("{name}={value}"));
    }
    parts.join(" ")
}
