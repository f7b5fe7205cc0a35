//! What a node does when the store has been restored from an older copy.
//!
//! The restored store has lost what was written last, and gives out versions again. The node keeps acting on what it
//! knows, reads all tables again, and writes its own rows again.

use std::rc::Rc;
use std::time::Duration;

use adapter::EraNote;
use domain::StoreEra;
use events::{EventCode, LogLine};
use wire::feed::FeedTable;

use crate::node::GatewayNode;

/// Follows what responses show of the store's era; never returns.
pub async fn watch_eras(node: Rc<GatewayNode>) {
    loop {
        match node.eras.next_note().await {
            EraNote::Began {
                before,
                era,
                shown_by,
            } => begin_era(&node, before, era, &shown_by),
            EraNote::Outdated {
                stated,
                known,
                shown_by,
            } => {
                node.metrics.record_not_taken("any", "earlier_era");
                let line = LogLine::new(EventCode::StoreAnswerOutdated)
                    .number("era", stated.0)
                    .number("known_era", known.0)
                    .text("call", &shown_by);
                node.log(&line);
            }
        }
    }
}

fn begin_era(node: &Rc<GatewayNode>, before: Option<StoreEra>, era: StoreEra, shown_by: &str) {
    let versions = FeedTable::ALL.map(|table| {
        let version = node.feed.copy(table).borrow().version();
        version.map_or_else(|| "unread".to_owned(), |version| version.to_string())
    });
    node.feed.begin_era(era);
    let line = LogLine::new(EventCode::StoreEraBegan)
        .number("era", era.0)
        .text(
            "before",
            &before.map_or_else(String::new, |era| era.to_string()),
        )
        .text("call", shown_by)
        .text("known", &versions.join(", "))
        .number(
            "revision",
            node.config().map_or(0, |config| config.revision.0),
        );
    node.log(&line);
    if before.is_none() {
        return;
    }
    node.begin_restore();
    tokio::task::spawn_local(publish_crashes_again(Rc::clone(node)));
}

async fn publish_crashes_again(node: Rc<GatewayNode>) {
    tokio::time::sleep(restore_delay(&node)).await;
    let crashes = node.crashes.publish_again(node.evidence_time());
    log_rows_written_again(&node, "crash records", crashes);
}

/// Logs that rows of this node are written again.
pub fn log_rows_written_again(node: &GatewayNode, kind: &str, rows: usize) {
    if rows == 0 {
        return;
    }
    let line = LogLine::new(EventCode::RowsWrittenAgain)
        .text("kind", kind)
        .number("rows", u64::try_from(rows).unwrap_or(u64::MAX))
        .number("era", node.eras.current().0);
    node.log(&line);
}

impl GatewayNode {
    /// Records that the store has been restored: entries of the registry may be out of date or missing, and rows of
    /// this node are to be written again.
    fn begin_restore(&self) {
        self.metrics.record_restore();
        self.mark_restored();
        self.restored.notify_waiters();
    }
}

/// Time for which a node waits before it writes rows again, so that the nodes don't write them all at once.
#[must_use]
pub fn restore_delay(node: &GatewayNode) -> Duration {
    crate::crash::spread_delay(node)
}
