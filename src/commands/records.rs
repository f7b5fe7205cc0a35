//! `get`, `history` and `diff`: reading records.

use wire::admin::RecordBody;
use wire::record::RecordEnvelope;

use super::CommandEnd;
use super::files::read_files;
use crate::client::{AdminClient, AdminError};
use crate::options::{ApplyPlan, NamePlan, OutputFormat};
use crate::output::{TextTable, print_json};

/// Prints records.
///
/// # Errors
///
/// When no node can be reached or there is no such record.
pub async fn get_records(plan: &NamePlan) -> eyre::Result<CommandEnd> {
    let client = AdminClient::new(&plan.access)?;
    if let (Some(kind), Some(name)) = (plan.kind, &plan.name) {
        print_json(&client.record(kind, name).await?)?;
        return Ok(CommandEnd::Done);
    }
    let records = client.records(plan.kind).await?;
    if plan.access.format == OutputFormat::Json {
        print_json(&records)?;
        return Ok(CommandEnd::Done);
    }
    let mut table = TextTable::new(
        &["KIND", "NAME", "SCHEMA", "REVISION"],
        plan.access.terminal,
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
    Ok(CommandEnd::Done)
}

/// Prints changes, newest first.
///
/// # Errors
///
/// When no node can be reached.
pub async fn print_history(plan: &NamePlan) -> eyre::Result<CommandEnd> {
    let client = AdminClient::new(&plan.access)?;
    let changes = client.history(plan.kind, plan.name.as_deref()).await?;
    if plan.access.format == OutputFormat::Json {
        print_json(&changes)?;
        return Ok(CommandEnd::Done);
    }
    let head = ["REVISION", "KIND", "NAME", "CHANGE", "OPERATOR"];
    let mut table = TextTable::new(&head, plan.access.terminal);
    for change in changes {
        let what = if change.record.is_some() {
            "written"
        } else {
            "deleted"
        };
        table.row(vec![
            change.revision.to_string(),
            change.kind.as_str().to_owned(),
            change.name,
            what.to_owned(),
            change.operator,
        ]);
    }
    print!("{}", table.text());
    Ok(CommandEnd::Done)
}

/// Compares records in files with those in force; ends as failed when they differ.
///
/// # Errors
///
/// When a file can't be used or no node can be reached.
pub async fn print_diff(plan: &ApplyPlan) -> eyre::Result<CommandEnd> {
    let client = AdminClient::new(&plan.access)?;
    let mut end = CommandEnd::Done;
    for frame in read_files(&plan.files)? {
        let what = format!("{} {}", frame.kind.as_str(), frame.name);
        let current = match client.record(frame.kind, &frame.name).await {
            Ok(current) => Some(current),
            Err(AdminError::NotFound) => None,
            Err(error) => return Err(error.into()),
        };
        let Some(current) = current else {
            println!("{what}: new");
            end = CommandEnd::Failed;
            continue;
        };
        if current.record == frame {
            println!("{what}: the same");
            continue;
        }
        println!("{what}: differs from revision {}", current.revision);
        print_lines(&current.record, &frame)?;
        end = CommandEnd::Failed;
    }
    Ok(end)
}

/// Prints the lines of either record that the other lacks, as they stand in sorted JSON.
fn print_lines(current: &RecordEnvelope, wanted: &RecordEnvelope) -> eyre::Result<()> {
    let current = serde_json::to_string_pretty(current)?;
    let wanted = serde_json::to_string_pretty(wanted)?;
    for difference in similar::TextDiff::from_lines(&current, &wanted).iter_all_changes() {
        let sign = match difference.tag() {
            similar::ChangeTag::Delete => '-',
            similar::ChangeTag::Insert => '+',
            similar::ChangeTag::Equal => ' ',
        };
        print!("  {sign} {difference}");
    }
    println!();
    Ok(())
}
