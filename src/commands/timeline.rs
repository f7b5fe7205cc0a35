//! `timeline`: the events of all nodes in one order.

use events::page::timeline_page;
use events::{TimelineFilter, TimelineView};

use super::CommandEnd;
use crate::client::AdminClient;
use crate::options::{OperatorAccess, OutputFormat};
use crate::output::print_json;

/// Prints the time line; a node that does not answer is named in it.
///
/// # Errors
///
/// When no node answers at all.
pub async fn print_timeline(
    access: &OperatorAccess,
    filter: &TimelineFilter,
) -> eyre::Result<CommandEnd> {
    let client = AdminClient::new(access)?;
    let answers = client.all_events().await;
    if answers.iter().all(|answer| answer.events.is_err()) {
        let reasons: Vec<String> = answers
            .into_iter()
            .filter_map(|answer| {
                answer
                    .events
                    .err()
                    .map(|reason| format!("{}: {reason}", answer.node))
            })
            .collect();
        eyre::bail!("no node gave its events: {}", reasons.join("; "));
    }
    let view = TimelineView::merge(answers, filter);
    match access.format {
        OutputFormat::Text => print!("{}", view.text()),
        OutputFormat::Json => print_json(&view)?,
        OutputFormat::Html => print!("{}", timeline_page(&view)),
    }
    Ok(CommandEnd::Done)
}
