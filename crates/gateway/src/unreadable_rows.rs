//! Logs and counts rows of the store that can't be decoded.

use adapter::UnreadableRow;
use events::{EventCode, LogLine};

use crate::node::GatewayNode;

/// Number of rows of a response that have a line of their own. A table may be full of such rows.
const MAX_LINES: usize = 8;

/// Logs and counts the rows of a response that can't be decoded.
pub fn log_unreadable_rows(node: &GatewayNode, table: &'static str, rows: &[UnreadableRow]) {
    if rows.is_empty() {
        return;
    }
    node.metrics.record_rows_unreadable(table, rows.len());
    let untold = rows.len().saturating_sub(MAX_LINES);
    for row in rows.iter().take(MAX_LINES) {
        let line = LogLine::new(EventCode::RowUnreadable)
            .text("table", table)
            .text("key", row.key.as_deref().unwrap_or_default())
            .text("reason", &row.reason)
            .number("untold", u64::try_from(untold).unwrap_or(u64::MAX));
        node.log(&line);
    }
}
