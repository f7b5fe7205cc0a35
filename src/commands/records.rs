//! The commands `get`, `history` and `diff`, which read records.

use wire::admin::RecordBody;
use wire::record::RecordEnvelope;

use super::CommandStatus;
use super::files::read_files;
use crate::client::{AdminClient, AdminError};
use crate::options::{ApplyCommand, OutputFormat, RecordCommand};
use crate::output::{TextTable, print_json};

/// Prints a record, or lists records.
///
/// # Errors
///
/// When no node can be reached or the record does not exist.
pub async fn get_records(command: &RecordCommand) -> eyre::Result<CommandStatus> {
    let client = AdminClient::new(&command.access)?;
    if let (Some(kind), Some(name)) = (command.kind, &command.name) {
        print_json(&client.record(kind, name).await?)?;
        return Ok(CommandStatus::Success);
    }
    let records = client.records(command.kind).await?;
    if command.access.format == OutputFormat::Json {
        print_json(&records)?;
        return Ok(CommandStatus::Success);
    }
    let mut table = TextTable::new(
        &["KIND", "NAME", "SCHEMA", "REVISION"],
        command.access.terminal,
    );
    for RecordBody { revision, record } in records {
        table.row(vec![
            record.kind.as_str().to_owned(),
            record.name,
            record.schema.to_string(),
            revision.to_string(),
        ]);
    }
    print!("{}", table.text());
    Ok(CommandStatus::Success)
}

/// Prints changes, newest first.
///
/// # Errors
///
/// When no node can be reached.
pub async fn print_history(command: &RecordCommand) -> eyre::Result<CommandStatus> {
    let client = AdminClient::new(&command.access)?;
    let changes = client
        .history(command.kind, command.name.as_deref())
        .await?;
    if command.access.format == OutputFormat::Json {
        print_json(&changes)?;
        return Ok(CommandStatus::Success);
    }
    let header = ["REVISION", "KIND", "NAME", "CHANGE", "OPERATOR"];
    let mut table = TextTable::new(&header, command.access.terminal);
    for change in changes {
        let action = if change.record.is_some() {
            "written"
        } else {
            "deleted"
        };
        table.row(vec![
            change.revision.to_string(),
            change.kind.as_str().to_owned(),
            change.name,
            action.to_owned(),
            change.operator,
        ]);
    }
    print!("{}", table.text());
    Ok(CommandStatus::Success)
}

/// Compares records in files with the stored ones; the result is a failure if any differ.
///
/// # Errors
///
/// When a file is invalid or no node can be reached.
pub async fn print_diff(command: &ApplyCommand) -> eyre::Result<CommandStatus> {
    let client = AdminClient::new(&command.access)?;
    let mut status = CommandStatus::Success;
    for record in read_files(&command.files)? {
        let label = format!("{} {}", record.kind.as_str(), record.name);
        let current = match client.record(record.kind, &record.name).await {
            Ok(current) => Some(current),
            Err(AdminError::RecordNotFound) => None,
            Err(error) => return Err(error.into()),
        };
        let Some(current) = current else {
            println!("{label}: new");
            status = CommandStatus::Failed;
            continue;
        };
        if current.record == record {
            println!("{label}: unchanged");
            continue;
        }
        println!("{label}: differs from revision {}", current.revision);
        print_line_diff(&current.record, &record)?;
        status = CommandStatus::Failed;
    }
    Ok(status)
}

/// Prints a line diff of two records as formatted JSON.
fn print_line_diff(current: &RecordEnvelope, new: &RecordEnvelope) -> eyre::Result<()> {
    let current = serde_json::to_string_pretty(current)?;
    let new = serde_json::to_string_pretty(new)?;
    for line in similar::TextDiff::from_lines(&current, &new).iter_all_changes() {
        let sign = match line.tag() {
            similar::ChangeTag::Delete => '-',
            similar::ChangeTag::Insert => '+',
            similar::ChangeTag::Equal => ' ',
        };
        print!("  {sign} {line}");
    }
    println!();
    Ok(())
}
