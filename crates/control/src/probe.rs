//! Probing a replica's hosts once.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use domain::{HealthEvidence, HostId, ReplicaPlan};
use futures::future::join_all;
use target::EngineClient;
use web::ClientError;
use wire::engine::{EngineLoad, EngineState};

use crate::directory::HostDirectory;

/// Result of one probe.
#[derive(Debug, Clone, PartialEq)]
pub enum ProbeOutcome {
    /// Evidence for or against the replica's health, and the leading host's load.
    Evidence(HealthEvidence, Option<EngineLoad>),
    /// Some hosts did not respond and no response contradicts the plan. A missing response is no
    /// evidence: the host may be gone, or this node may be partitioned from it while others reach
    /// it.
    Inconclusive,
}

/// Asks every host of a replica for its state.
pub async fn probe_replica<E: EngineClient>(
    engine: &E,
    plan: &ReplicaPlan,
    directory: &HostDirectory,
    timeout: Duration,
) -> ProbeOutcome {
    let started = Instant::now();
    let probes = plan.hosts.iter().map(|host| {
        let address = directory.hosts.get(host).map(|entry| entry.address);
        probe_host(engine, address, timeout)
    });
    let reports = join_all(probes).await;
    // The age counts from before the first request: the responses describe an unknown time after
    // it.
    evaluate_reports(plan, &reports, started.elapsed())
}

/// Result of asking one host for its state.
#[derive(Debug, Clone, PartialEq)]
pub enum HostReport {
    /// The state that its engine reported.
    State(Box<EngineState>),
    /// The host refused the connection: no engine runs there.
    Refused,
    /// No response. The host may be gone, or unreachable from this node only.
    NoResponse,
}

impl HostReport {
    fn state(&self) -> Option<&EngineState> {
        match self {
            Self::State(state) => Some(state),
            Self::Refused | Self::NoResponse => None,
        }
    }
}

async fn probe_host<E: EngineClient>(
    engine: &E,
    address: Option<SocketAddr>,
    timeout: Duration,
) -> HostReport {
    let Some(address) = address else {
        return HostReport::NoResponse;
    };
    match engine.state(address, timeout).await {
        Ok(state) => HostReport::State(Box::new(state)),
        Err(ClientError::Refused(_)) => HostReport::Refused,
        Err(_) => HostReport::NoResponse,
    }
}

/// Combines the reports of a replica's hosts, given in the order of its hosts.
#[must_use]
pub fn evaluate_reports(plan: &ReplicaPlan, reports: &[HostReport], age: Duration) -> ProbeOutcome {
    let mut evidence = HealthEvidence {
        replica: plan.id.clone(),
        incarnation: plan.incarnation,
        hosts: Vec::with_capacity(plan.hosts.len()),
        leaving: false,
        age,
    };
    let mut contradicted = false;
    for (host, report) in plan.hosts.iter().zip(reports) {
        contradicted |= *report == HostReport::Refused;
        let Some(state) = report.state() else {
            continue;
        };
        if !runs_rank(plan, host, state) {
            contradicted = true;
            continue;
        }
        evidence.hosts.push(host.clone());
        evidence.leaving |= state.leaving;
    }
    let complete = evidence.hosts.len() == plan.hosts.len();
    if !complete && !contradicted && !evidence.leaving {
        return ProbeOutcome::Inconclusive;
    }
    let load = reports.first().and_then(HostReport::state);
    ProbeOutcome::Evidence(evidence, load.map(|state| state.load))
}

/// Whether a host runs the replica's current incarnation and is ready.
fn runs_rank(plan: &ReplicaPlan, host: &HostId, state: &EngineState) -> bool {
    let Some(assignment) = &state.assignment else {
        return false;
    };
    state.ready
        && state.host == *host
        && assignment.replica == plan.id
        && assignment.incarnation == plan.incarnation
}
