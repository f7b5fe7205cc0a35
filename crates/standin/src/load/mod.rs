//! An open-loop load generator: requests are sent on schedule, however slow the responses are.
//!
//! [`plan`] generates the requests from a seed, [`call`] sends one request, [`stats`] counts the
//! outcomes and [`report`] formats them.

pub mod call;
pub mod plan;
pub mod report;
pub mod stats;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use http::Method;
use serde_json::Value;
use tokio::sync::mpsc;
use web::WebClient;
use web::client::JsonResponse;
use wire::service::LookupBody;

use crate::options::LoadOptions;
use call::LoadCaller;
use plan::LoadPlan;
use report::LoadReport;
use stats::LoadStats;

const LOOKUP_TIMEOUT: Duration = Duration::from_secs(10);
const OUTCOME_BUFFER: usize = 1_024;

/// Runs the load and prints its report.
///
/// # Errors
///
/// Returns an error if no entry is known or the executions can't be read from the service.
pub async fn run(options: LoadOptions) -> eyre::Result<()> {
    let (entries, service) = find_addresses(&options)?;
    let plan = LoadPlan::builder()
        .deployment(options.deployment)
        .entries(entries)
        .maybe_service(service)
        .rate(options.rate)
        .duration(Duration::from_secs(options.seconds))
        .seed(options.seed)
        .payment_share(options.payments)
        .late_after(Duration::from_millis(options.late_ms))
        .build();
    let report = run_load(plan).await?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}

/// Sends the requests of a plan and waits for all outcomes.
///
/// # Errors
///
/// Returns an error if the example is malformed or the executions can't be read from the service.
pub async fn run_load(plan: LoadPlan) -> eyre::Result<LoadReport> {
    let requests = plan.requests()?;
    let started = Instant::now();
    let service = plan.service;
    let duration = plan.duration;
    let mut stats = LoadStats::new(plan.late_after);
    let (sender, mut outcomes) = mpsc::channel(OUTCOME_BUFFER);
    let caller = Arc::new(LoadCaller::new(plan)?);
    tokio::spawn(async move {
        for request in requests {
            let due = started + request.at;
            tokio::time::sleep_until(due.into()).await;
            let caller = Arc::clone(&caller);
            let sender = sender.clone();
            tokio::spawn(async move {
                let outcome = caller.send(&request, due).await;
                let _ = sender.send(outcome).await;
            });
        }
    });
    while let Some(outcome) = outcomes.recv().await {
        stats.add(outcome);
    }
    if let Some(service) = service {
        let executions = read_executions(service).await?;
        stats.reconcile(&executions);
    }
    Ok(stats.report(duration))
}

async fn read_executions(service: SocketAddr) -> eyre::Result<Vec<LookupBody>> {
    let response: JsonResponse<Vec<LookupBody>> = WebClient::default()
        .json(
            Method::GET,
            service,
            "/executions",
            None::<&()>,
            LOOKUP_TIMEOUT,
        )
        .await
        .wrap_err("can't read the executions from the service")?;
    Ok(response.value)
}

/// Returns the addresses of entries and service from the command line, or else from the files of a
/// running quickstart.
fn find_addresses(options: &LoadOptions) -> eyre::Result<(Vec<SocketAddr>, Option<SocketAddr>)> {
    if !options.entry.is_empty() {
        return Ok((options.entry.clone(), options.service));
    }
    let file = options.folder.join("processes.json");
    let entries = read_addresses(&file, "entry")
        .wrap_err("pass --entry, or run scripts/quickstart --keep at the same time")?;
    let services = read_addresses(&file, "service")?;
    Ok((entries, services.first().copied()))
}

fn read_addresses(file: &Path, role: &str) -> eyre::Result<Vec<SocketAddr>> {
    let bytes = std::fs::read(file).wrap_err_with(|| format!("can't read {}", file.display()))?;
    let processes: Vec<Value> = serde_json::from_slice(&bytes)?;
    let mut addresses = Vec::new();
    for process in processes {
        if process["role"] != role {
            continue;
        }
        let text = process["address"].as_str().unwrap_or_default();
        addresses.push(text.parse().wrap_err("invalid address of a process")?);
    }
    Ok(addresses)
}
