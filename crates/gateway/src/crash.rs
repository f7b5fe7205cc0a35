//! Detects crashed targets and records which requests ran there.
//!
//! A connection that breaks during a response is not proof of a crash: a link may have dropped it
//! or a router may have reset it. If the target then refuses connections, its process has exited,
//! and the requests that ran there are kept as evidence. Unresponsive targets and stalled replicas
//! are not counted: their host lost power or its network, whatever it was running.

use std::rc::Rc;
use std::time::Duration;

use domain::{BootNumber, FastMap, HostId};
use events::{EventCode, LogLine};
use serving::{CrashedRequest, TargetCrash};
use web::ConnectionError;

use crate::admitted::AdmittedRequest;
use crate::crash_records::publish_crash;
use crate::node::GatewayNode;
use crate::tunnel::{ConnectLimits, connect_target};

/// Time to wait for the other connections to a crashed target to break as well.
const COLLECT_WINDOW: Duration = Duration::from_millis(40);

/// Timeout for the connection attempt that tests whether a target has crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(160);

/// Maximum number of request fingerprints in a log line; the line's `requests` field has the total.
const MAX_LOGGED_FINGERPRINTS: usize = 6;

/// Interrupted requests at targets that are not yet known to have crashed.
#[derive(Debug, Default)]
pub struct InterruptedRequests {
    by_target: FastMap<(HostId, BootNumber), Vec<CrashedRequest>>,
}

impl InterruptedRequests {
    /// Adds a request; returns whether it is the first one for this target process.
    fn add(&mut self, host: &HostId, boot: BootNumber, request: CrashedRequest) -> bool {
        let requests = self.by_target.entry((host.clone(), boot)).or_default();
        requests.push(request);
        requests.len() == 1
    }

    fn take(&mut self, host: &HostId, boot: BootNumber) -> Vec<CrashedRequest> {
        let key = (host.clone(), boot);
        self.by_target.remove(&key).unwrap_or_default()
    }
}

/// Records that the connection to a target broke while it ran a request. `response_age` is the
/// time since the response began, `None` if it had not.
pub fn record_interrupted(
    node: &Rc<GatewayNode>,
    request: &AdmittedRequest,
    (host, boot): (&HostId, BootNumber),
    response_age: Option<Duration>,
) {
    let fingerprint = request.fingerprint();
    let crashed = CrashedRequest {
        fingerprint,
        response_age,
    };
    let is_first = node.with_interrupted(|interrupted| interrupted.add(host, boot, crashed));
    if is_first {
        let node = Rc::clone(node);
        tokio::task::spawn_local(confirm_crash(node, host.clone(), boot));
    }
}

async fn confirm_crash(node: Rc<GatewayNode>, host: HostId, boot: BootNumber) {
    tokio::time::sleep(COLLECT_WINDOW).await;
    let exited = has_exited(&node, &host, boot).await;
    let requests = node.with_interrupted(|interrupted| interrupted.take(&host, boot));
    if !exited {
        return;
    }
    log_crash(&node, &host, boot, &requests);
    let crash = TargetCrash { host, boot };
    let now = node.now();
    node.update_crashes(|detector| detector.record(crash.clone(), now, &requests));
    publish_crash(&node, &crash, &requests).await;
}

/// Whether a target's process has exited: its address refuses connections, or the registry lists a
/// newer process for the host.
async fn has_exited(node: &GatewayNode, host: &HostId, boot: BootNumber) -> bool {
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
    // A partition may reset and refuse the connections of this node alone.
    let limits = ConnectLimits::both(CONNECT_TIMEOUT);
    let connected = connect_target(node, host, address, limits).await;
    matches!(connected, Err(ConnectionError::Refused))
}

fn log_crash(node: &GatewayNode, host: &HostId, boot: BootNumber, requests: &[CrashedRequest]) {
    let named = requests
        .iter()
        .take(MAX_LOGGED_FINGERPRINTS)
        .map(|request| {
            let response_age = request.response_age.map(|age| age.as_millis().to_string());
            let fingerprint = request.fingerprint.to_string();
            format!(
                "{}:{}",
                &fingerprint[..8],
                response_age.as_deref().unwrap_or("-")
            )
        });
    let named: Vec<String> = named.collect();
    let line = LogLine::new(EventCode::TargetEnded)
        .text("host", host.as_str())
        .number("boot", boot.0)
        .number(
            "requests",
            u64::try_from(requests.len()).unwrap_or(u64::MAX),
        )
        .text("marks", &named.join(" "));
    node.log(&line);
}
