//! What ran at a target whose process ended.
//!
//! A connection that breaks in the middle of an answer says little: a link may have lost it, or a
//! router reset it. Where the target then takes no connections, its process has ended, and what ran
//! there is kept as evidence. A target that is silent, or a replica that stands still, is none: its
//! host lost power or its network, whatever it ran.

use std::rc::Rc;
use std::time::Duration;

use domain::{BootNumber, FastMap, HostId};
use events::{EventCode, EventLine};
use serving::{CrashedRequest, TargetCrash};
use web::{HttpLink, LinkError};

use crate::admitted::AdmittedRequest;
use crate::ends::share_end;
use crate::node::GatewayNode;

/// Time in which the connections to a target that ended break one after the other.
const GATHER_TIME: Duration = Duration::from_millis(40);

/// Longest wait for a connection to a target that may have ended.
const CONNECT_LIMIT: Duration = Duration::from_millis(160);

/// Marks named in a log line; the count tells of the others.
const LOGGED_MARKS: usize = 6;

/// Runs that broke off at targets of which it is not known yet whether they ended.
#[derive(Debug, Default)]
pub struct BrokenRuns {
    by_target: FastMap<(HostId, BootNumber), Vec<CrashedRequest>>,
}

impl BrokenRuns {
    /// Adds a run; whether it is the first at its target.
    fn add(&mut self, host: &HostId, boot: BootNumber, run: CrashedRequest) -> bool {
        let runs = self.by_target.entry((host.clone(), boot)).or_default();
        runs.push(run);
        runs.len() == 1
    }

    fn take(&mut self, host: &HostId, boot: BootNumber) -> Vec<CrashedRequest> {
        let key = (host.clone(), boot);
        self.by_target.remove(&key).unwrap_or_default()
    }
}

/// Notes that the connection to a target broke while a request was there; `ran` is how long its
/// answer had been under way.
pub fn note_broken_run(
    node: &Rc<GatewayNode>,
    request: &AdmittedRequest,
    (host, boot): (&HostId, BootNumber),
    ran: Option<Duration>,
) {
    let mark = request.fingerprint();
    let run = CrashedRequest {
        fingerprint: mark,
        answer_age: ran,
    };
    let is_first = node.with_broken_runs(|broken| broken.add(host, boot, run));
    if is_first {
        let node = Rc::clone(node);
        tokio::task::spawn_local(settle_end(node, host.clone(), boot));
    }
}

async fn settle_end(node: Rc<GatewayNode>, host: HostId, boot: BootNumber) {
    tokio::time::sleep(GATHER_TIME).await;
    let ended = has_ended(&node, &host, boot).await;
    let runs = node.with_broken_runs(|broken| broken.take(&host, boot));
    if !ended {
        return;
    }
    log_end(&node, &host, boot, &runs);
    let end = TargetCrash { host, boot };
    let now = node.now();
    node.take_ends(|ledger| ledger.record(end.clone(), now, &runs));
    share_end(&node, &end, &runs).await;
}

/// Whether a target's process has ended: nobody listens at its address, or another one does.
async fn has_ended(node: &GatewayNode, host: &HostId, boot: BootNumber) -> bool {
    let known = node.registry(|registry| {
        let entry = registry.get(host)?;
        Some((entry.address, entry.boot))
    });
    let Some((address, now)) = known else {
        return false;
    };
    if now != boot {
        return true;
    }
    let connected = HttpLink::connect(address, CONNECT_LIMIT).await;
    matches!(connected, Err(LinkError::Refused))
}

fn log_end(node: &GatewayNode, host: &HostId, boot: BootNumber, runs: &[CrashedRequest]) {
    let named = runs.iter().take(LOGGED_MARKS).map(|run| {
        let ran = run.answer_age.map(|ran| ran.as_millis().to_string());
        let mark = run.fingerprint.to_string();
        format!("{}:{}", &mark[..8], ran.as_deref().unwrap_or("-"))
    });
    let named: Vec<String> = named.collect();
    let line = EventLine::new(EventCode::TargetEnded)
        .text("host", host.as_str())
        .number("boot", boot.0)
        .number("requests", u64::try_from(runs.len()).unwrap_or(u64::MAX))
        .text("marks", &named.join(" "));
    node.log(&line);
}
