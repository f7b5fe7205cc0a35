//! `apply`, `delete` and `drain`: amending records.

use std::time::{Duration, Instant, SystemTime};

use domain::record::RecordKind;
use domain::{ConfigRevision, WriteToken};
use serde_json::json;
use wire::admin::{AmendRequest, AmendResponse, ExpectBody};
use wire::record::RecordEnvelope;

use super::CommandEnd;
use super::files::read_files;
use crate::client::{AdminClient, AdminError};
use crate::options::{ApplyPlan, DrainPlan, NamePlan, OutputFormat};
use crate::output::print_json;

/// Longest wait until a change is in force everywhere; the design's goal is 16 s.
const WAIT_LIMIT: Duration = Duration::from_mins(1);

/// Time between two looks at the nodes.
const WAIT_POLL: Duration = Duration::from_millis(200);

/// Looks at the history after a lost answer, and the time between two.
const SETTLE_LOOKS: u32 = 10;
const SETTLE_POLL: Duration = Duration::from_millis(500);

/// Writes the records of files, one amendment each.
///
/// # Errors
///
/// When a file can't be used; then nothing is written at all.
pub async fn apply_files(plan: &ApplyPlan) -> eyre::Result<CommandEnd> {
    let frames = read_files(&plan.files)?;
    let client = AdminClient::new(&plan.access)?;
    let mut end = CommandEnd::Done;
    let mut newest = None;
    for frame in frames {
        let body = AmendRequest {
            kind: frame.kind,
            name: frame.name.clone(),
            record: Some(frame),
            expect: expectation(plan.expect),
            operator: plan.operator.clone(),
            token: fresh_token()?,
        };
        let (step, revision) = amend_settled(&client, &body, plan.access.format).await?;
        end = end.and(step);
        newest = newest.max(revision);
    }
    match newest {
        Some(revision) if plan.wait => Ok(end.and(wait_in_force(&client, revision).await)),
        _ => Ok(end),
    }
}

/// Deletes a record.
///
/// # Errors
///
/// When no node can be reached.
pub async fn delete_record(plan: &NamePlan) -> eyre::Result<CommandEnd> {
    let (Some(kind), Some(name)) = (plan.kind, plan.name.clone()) else {
        eyre::bail!("write which record to delete: KIND NAME");
    };
    let client = AdminClient::new(&plan.access)?;
    let body = AmendRequest {
        kind,
        name,
        record: None,
        expect: expectation(plan.expect),
        operator: plan.operator.clone(),
        token: fresh_token()?,
    };
    let (end, _) = amend_settled(&client, &body, plan.access.format).await?;
    Ok(end)
}

/// Writes a drain record.
///
/// # Errors
///
/// When no node can be reached.
pub async fn write_drain(plan: &DrainPlan) -> eyre::Result<CommandEnd> {
    let client = AdminClient::new(&plan.access)?;
    let record = RecordEnvelope {
        schema: 1,
        kind: RecordKind::Drain,
        name: plan.name.clone(),
        spec: json!({ "hosts": plan.hosts, "domains": plan.domains }),
    };
    let body = AmendRequest {
        kind: RecordKind::Drain,
        name: plan.name.clone(),
        record: Some(record),
        expect: ExpectBody::Any,
        operator: plan.operator.clone(),
        token: fresh_token()?,
    };
    let (end, revision) = amend_settled(&client, &body, plan.access.format).await?;
    match revision {
        Some(revision) if plan.wait => Ok(end.and(wait_in_force(&client, revision).await)),
        _ => Ok(end),
    }
}

fn expectation(expect: Option<ConfigRevision>) -> ExpectBody {
    match expect {
        Some(ConfigRevision(0)) => ExpectBody::Absent,
        Some(revision) => ExpectBody::Revision { revision },
        None => ExpectBody::Any,
    }
}

/// A token that no other amendment has: process, time, and nothing else that could repeat.
fn fresh_token() -> eyre::Result<WriteToken> {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    Ok(format!("op.{}.{}", std::process::id(), since_epoch.as_nanos()).parse()?)
}

/// Sends an amendment and settles a lost answer by the token in the history.
async fn amend_settled(
    client: &AdminClient,
    body: &AmendRequest,
    format: OutputFormat,
) -> eyre::Result<(CommandEnd, Option<ConfigRevision>)> {
    let what = format!("{} {}", body.kind.as_str(), body.name);
    match client.amend(body).await {
        Ok(answer) => {
            if format == OutputFormat::Json {
                print_json(&answer)?;
            } else {
                print_answer(&what, &answer);
            }
            Ok(judge_answer(&answer))
        }
        Err(AdminError::ResponseLost(address)) => {
            eprintln!("{what}: the answer of {address} is lost; looking into the history");
            Ok(settle_lost(client, body, &what).await)
        }
        Err(error) => Err(error.into()),
    }
}

fn judge_answer(answer: &AmendResponse) -> (CommandEnd, Option<ConfigRevision>) {
    match answer {
        AmendResponse::Accepted { revision, .. } => (CommandEnd::Done, Some(*revision)),
        AmendResponse::Conflict { .. }
        | AmendResponse::Refused { .. }
        | AmendResponse::Unavailable { .. } => (CommandEnd::Failed, None),
        AmendResponse::Unsettled { .. } => (CommandEnd::Unknown, None),
    }
}

fn print_answer(what: &str, answer: &AmendResponse) {
    match answer {
        AmendResponse::Accepted { revision, warnings } => {
            println!("{what}: accepted as revision {revision}");
            for finding in warnings.as_slice() {
                eprintln!("{what}: warning: {}: {}", finding.path, finding.problem);
            }
        }
        AmendResponse::Conflict { current, change } => {
            let now = current.as_ref().map_or_else(
                || "it does not exist now".to_owned(),
                |record| format!("revision {} is in force now", record.revision),
            );
            let by = change.as_ref().map_or_else(String::new, |change| {
                format!(", written by {}", change.operator)
            });
            eprintln!("{what}: not accepted: {now}{by}; compare with `diff` and apply it again");
        }
        AmendResponse::Refused { findings } => eprintln!("{what}: refused:\n{findings}"),
        AmendResponse::Unavailable { reason } => {
            eprintln!("{what}: not accepted, nothing took effect: {reason}");
        }
        AmendResponse::Unsettled { revision, reason } => {
            eprintln!("{what}: not known whether it is revision {revision}: {reason}");
        }
    }
}

async fn settle_lost(
    client: &AdminClient,
    body: &AmendRequest,
    what: &str,
) -> (CommandEnd, Option<ConfigRevision>) {
    let own = format!("{}.", body.token);
    for _ in 0..SETTLE_LOOKS {
        tokio::time::sleep(SETTLE_POLL).await;
        let Ok(changes) = client.history(Some(body.kind), Some(&body.name)).await else {
            continue;
        };
        let found = changes
            .iter()
            .find(|change| change.token == body.token.as_str() || change.token.starts_with(&own));
        if let Some(change) = found {
            println!("{what}: accepted as revision {}", change.revision);
            return (CommandEnd::Done, Some(change.revision));
        }
    }
    eprintln!(
        "{what}: not known whether it is accepted: token {} is not in the history yet; look with \
         `history` before applying it again",
        body.token
    );
    (CommandEnd::Unknown, None)
}

/// Waits until every node has the revision in force, and names those that are behind.
async fn wait_in_force(client: &AdminClient, revision: ConfigRevision) -> CommandEnd {
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
            return CommandEnd::Done;
        }
        if started.elapsed() > WAIT_LIMIT {
            eprintln!(
                "revision {revision} is accepted; behind: {}",
                behind.join(", ")
            );
            return CommandEnd::Failed;
        }
        tokio::time::sleep(WAIT_POLL).await;
    }
}
