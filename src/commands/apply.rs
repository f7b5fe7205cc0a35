//! The commands `apply`, `delete` and `drain`, which amend records.

use std::time::{Duration, Instant, SystemTime};

use domain::record::RecordKind;
use domain::{ConfigRevision, WriteToken};
use serde_json::json;
use wire::admin::{AmendRequest, AmendResponse, ExpectBody};
use wire::record::RecordEnvelope;

use super::CommandStatus;
use super::files::read_files;
use crate::client::{AdminClient, AdminError};
use crate::options::{ApplyCommand, DrainCommand, OutputFormat, RecordCommand};
use crate::output::print_json;

/// Timeout of waiting until a change is in force on every node; the design goal is 16 s.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval at which the nodes' status is polled while waiting.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Number of times that the history is searched after a lost response.
const HISTORY_LOOKUPS: u32 = 10;

/// Delay before each search of the history.
const HISTORY_LOOKUP_DELAY: Duration = Duration::from_millis(500);

/// Writes the records in files, one amendment each.
///
/// # Errors
///
/// When a file is invalid, in which case no record is written, or when no node can be reached.
pub async fn apply_files(command: &ApplyCommand) -> eyre::Result<CommandStatus> {
    let records = read_files(&command.files)?;
    let client = AdminClient::new(&command.access)?;
    let mut status = CommandStatus::Success;
    let mut newest = None;
    for record in records {
        let body = AmendRequest {
            kind: record.kind,
            name: record.name.clone(),
            record: Some(record),
            expect: expectation(command.expect),
            operator: command.operator.clone(),
            token: unique_token()?,
        };
        let amended = amend_and_resolve(&client, &body, command.access.format).await;
        let (amended, revision) = match amended {
            Ok(amended) => amended,
            // Scripts go by the exit code: it must tell that an earlier record may be applied.
            Err(error) if status == CommandStatus::Unknown => {
                eprintln!("bramleyspring: {error:#}");
                return Ok(status);
            }
            Err(error) => return Err(error),
        };
        status = status.worse(amended);
        newest = newest.max(revision);
    }
    match newest {
        Some(revision) if command.wait => {
            Ok(status.worse(wait_until_in_force(&client, revision).await))
        }
        _ => Ok(status),
    }
}

/// Deletes a record.
///
/// # Errors
///
/// When the kind or the name is missing or no node can be reached.
pub async fn delete_record(command: &RecordCommand) -> eyre::Result<CommandStatus> {
    let (Some(kind), Some(name)) = (command.kind, command.name.clone()) else {
        eyre::bail!("specify the record to delete: KIND NAME");
    };
    let client = AdminClient::new(&command.access)?;
    let body = AmendRequest {
        kind,
        name,
        record: None,
        expect: expectation(command.expect),
        operator: command.operator.clone(),
        token: unique_token()?,
    };
    let (status, _) = amend_and_resolve(&client, &body, command.access.format).await?;
    Ok(status)
}

/// Writes a drain record with the given hosts and failure domains.
///
/// # Errors
///
/// When no node can be reached.
pub async fn write_drain(command: &DrainCommand) -> eyre::Result<CommandStatus> {
    let client = AdminClient::new(&command.access)?;
    let record = RecordEnvelope {
        schema: 1,
        kind: RecordKind::Drain,
        name: command.name.clone(),
        spec: json!({ "hosts": command.hosts, "domains": command.domains }),
    };
    let body = AmendRequest {
        kind: RecordKind::Drain,
        name: command.name.clone(),
        record: Some(record),
        expect: ExpectBody::Any,
        operator: command.operator.clone(),
        token: unique_token()?,
    };
    let (status, revision) = amend_and_resolve(&client, &body, command.access.format).await?;
    match revision {
        Some(revision) if command.wait => {
            Ok(status.worse(wait_until_in_force(&client, revision).await))
        }
        _ => Ok(status),
    }
}

fn expectation(expect: Option<ConfigRevision>) -> ExpectBody {
    match expect {
        Some(ConfigRevision(0)) => ExpectBody::Absent,
        Some(revision) => ExpectBody::Revision { revision },
        None => ExpectBody::Any,
    }
}

/// Returns a token that no other amendment has, made of the process id and the time.
fn unique_token() -> eyre::Result<WriteToken> {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    Ok(format!("op.{}.{}", std::process::id(), since_epoch.as_nanos()).parse()?)
}

/// Sends an amendment. If the response is lost, the history shows whether it was accepted.
async fn amend_and_resolve(
    client: &AdminClient,
    body: &AmendRequest,
    format: OutputFormat,
) -> eyre::Result<(CommandStatus, Option<ConfigRevision>)> {
    let label = format!("{} {}", body.kind.as_str(), body.name);
    match client.amend(body).await {
        Ok(response) => {
            if format == OutputFormat::Json {
                print_json(&response)?;
            } else {
                print_response(&label, &response);
            }
            Ok(status_and_revision(&response))
        }
        Err(error @ (AdminError::ResponseLost(_) | AdminError::Undecodable { .. })) => {
            eprintln!("{label}: {error}; searching the history");
            Ok(find_in_history(client, body, &label).await)
        }
        Err(error) => Err(error.into()),
    }
}

fn status_and_revision(response: &AmendResponse) -> (CommandStatus, Option<ConfigRevision>) {
    match response {
        AmendResponse::Accepted { revision, .. } => (CommandStatus::Success, Some(*revision)),
        AmendResponse::Conflict { .. }
        | AmendResponse::Refused { .. }
        | AmendResponse::Unavailable { .. } => (CommandStatus::Failed, None),
        AmendResponse::Unsettled { .. } => (CommandStatus::Unknown, None),
    }
}

fn print_response(label: &str, response: &AmendResponse) {
    match response {
        AmendResponse::Accepted { revision, warnings } => {
            println!("{label}: accepted as revision {revision}");
            for finding in warnings.as_slice() {
                eprintln!("{label}: warning: {}: {}", finding.path, finding.problem);
            }
        }
        AmendResponse::Conflict { current, change } => {
            let state = current.as_ref().map_or_else(
                || "the record does not exist".to_owned(),
                |record| format!("its current revision is {}", record.revision),
            );
            let author = change.as_ref().map_or_else(String::new, |change| {
                format!(", written by {}", change.operator)
            });
            eprintln!(
                "{label}: not accepted: {state}{author}; compare with `diff` and apply it again"
            );
        }
        AmendResponse::Refused { findings } => eprintln!("{label}: refused:\n{findings}"),
        AmendResponse::Unavailable { reason } => {
            eprintln!("{label}: not accepted, nothing was changed: {reason}");
        }
        AmendResponse::Unsettled { revision, reason } => {
            eprintln!("{label}: unknown whether it was accepted as revision {revision}: {reason}");
        }
    }
}

/// Searches the history for the token of an amendment whose response was lost. A token of a retry
/// has the number of the attempt appended after a dot.
async fn find_in_history(
    client: &AdminClient,
    body: &AmendRequest,
    label: &str,
) -> (CommandStatus, Option<ConfigRevision>) {
    let retry_prefix = format!("{}.", body.token);
    for _ in 0..HISTORY_LOOKUPS {
        tokio::time::sleep(HISTORY_LOOKUP_DELAY).await;
        let Ok(changes) = client.history(Some(body.kind), Some(&body.name)).await else {
            continue;
        };
        let found = changes.iter().find(|change| {
            change.token == body.token.as_str() || change.token.starts_with(&retry_prefix)
        });
        if let Some(change) = found {
            println!("{label}: accepted as revision {}", change.revision);
            return (CommandStatus::Success, Some(change.revision));
        }
    }
    eprintln!(
        "{label}: unknown whether it was accepted: token {} is not in the history yet; check with \
         `history` before applying it again",
        body.token
    );
    (CommandStatus::Unknown, None)
}

/// Waits until the revision is in force on every node; prints the nodes that are behind at the
/// timeout.
async fn wait_until_in_force(client: &AdminClient, revision: ConfigRevision) -> CommandStatus {
    let started = Instant::now();
    loop {
        let nodes = client.all_nodes().await;
        let mut behind = Vec::new();
        for address in &nodes {
            match client.status_of(*address).await {
                Ok(status) if status.revision >= revision => {}
                Ok(status) => behind.push(format!("{} at {}", status.node, status.revision)),
                Err(error) => behind.push(format!("{address}: {error}")),
            }
        }
        if behind.is_empty() {
            println!(
                "revision {revision} is in force on {} nodes after {:.1} s",
                nodes.len(),
                started.elapsed().as_secs_f64()
            );
            return CommandStatus::Success;
        }
        if started.elapsed() > WAIT_TIMEOUT {
            eprintln!(
                "revision {revision} was accepted; not yet in force on: {}",
                behind.join(", ")
            );
            return CommandStatus::Failed;
        }
        tokio::time::sleep(WAIT_POLL_INTERVAL).await;
    }
}
