//! Logs and counts what was read and not taken, and why.

use domain::EraVersion;
use events::{EventCode, LogLine};
use serving::feed::{DeltaOutcome, StoreRow, TakenDelta};
use wire::feed::FeedTable;

use super::direct::store_table;
use crate::node::GatewayNode;

/// Adds the era and the number of a version to a line.
pub(super) fn version_fields(line: LogLine, version: EraVersion) -> LogLine {
    let era = version.era();
    let number = version.within(era).map_or(0, |number| number.0);
    line.number("row_version", number).number("era", era.0)
}

/// Logs and counts a row that a node does not act on.
pub(super) fn log_not_taken(node: &GatewayNode, table: FeedTable, row: &StoreRow, reason: &str) {
    let line = LogLine::new(EventCode::ChangeNotTaken)
        .text("table", store_table(table))
        .text("key", &row.key)
        .text("reason", reason);
    node.metrics.record_not_taken(store_table(table), reason);
    node.log(&with_knowledge(node, version_fields(line, row.version)));
}

/// Counts a row whose value can't be read, which has a line of its own kind.
pub(super) fn count_unreadable(node: &GatewayNode, table: FeedTable) {
    node.metrics
        .record_not_taken(store_table(table), "unreadable");
}

/// Logs and counts the rows of a delta that a copy did not take, and a delta that it did not take as a whole.
pub fn log_refused(node: &GatewayNode, table: FeedTable, version: EraVersion, taken: &TakenDelta) {
    let reason = match taken.outcome {
        DeltaOutcome::Taken => None,
        DeltaOutcome::Stale => Some("stale_read"),
        DeltaOutcome::Outdated => Some("earlier_era"),
    };
    let name = store_table(table);
    if let Some(reason) = reason {
        node.metrics.record_not_taken(name, reason);
        let line = LogLine::new(EventCode::ChangeNotTaken)
            .text("table", name)
            .text("reason", reason);
        node.log(&with_knowledge(node, version_fields(line, version)));
    }
    for row in &taken.refused {
        let reason = row.reason.label();
        node.metrics.record_not_taken(name, reason);
        let held = row.held.map_or_else(String::new, |held| held.to_string());
        let line = LogLine::new(EventCode::ChangeNotTaken)
            .text("table", name)
            .text("key", &row.key)
            .text("reason", reason)
            .text("held", &held);
        node.log(&with_knowledge(node, version_fields(line, row.version)));
    }
}

/// Adds what the node knows of the configuration: what proves it, and when it last read the whole table.
fn with_knowledge(node: &GatewayNode, line: LogLine) -> LogLine {
    let now = node.now();
    let line = line
        .number("known_era", node.eras.current().0)
        .millis("config_age_ms", node.feed.config_age(now));
    match node.feed.config_read_age(now) {
        Some(age) => line.millis("config_read_ms", age),
        None => line,
    }
}
