//! The command `timeline`, which merges the events of all nodes.

use events::page::timeline_page;
use events::{TimelineFilter, TimelineView};

use super::CommandStatus;
use crate::client::AdminClient;
use crate::options::{AdminAccess, OutputFormat};
use crate::output::print_json;

/// Prints the timeline. A node that can't be reached is listed in it as missing.
///
/// # Errors
///
/// When no node can be reached.
pub async fn print_timeline(
    access: &AdminAccess,
    filter: &TimelineFilter,
) -> eyre::Result<CommandStatus> {
    let client = AdminClient::new(access)?;
    let node_events = client.all_events().await;
    if node_events.iter().all(|node| node.events.is_err()) {
        let reasons: Vec<String> = node_events
            .into_iter()
            .filter_map(|node| {
                node.events
                    .err()
                    .map(|reason| format!("{}: {reason}", node.node))
            })
            .collect();
        eyre::bail!("no node sent its events: {}", reasons.join("; "));
    }
    let view = TimelineView::merge(node_events, filter);
    match access.format {
        OutputFormat::Text => print!("{}", view.text()),
        OutputFormat::Json => print_json(&view)?,
        OutputFormat::Html => print!("{}", timeline_page(&view)),
    }
    Ok(CommandStatus::Success)
}
