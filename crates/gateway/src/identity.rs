//! Targets at whose address something answered that is not known to be the target.

use std::rc::Rc;
use std::time::Duration;

use adapter::ResponseHeaders;
use domain::{HostId, RequestId};
use events::{EventCode, LogLine};
use http::{HeaderMap, StatusCode, header};
use serving::TargetEntry;
use serving::answer_proof::ProofGap;
use serving::probe_schedule::identity_interval;

use crate::admitted::AdmittedRequest;
use crate::node::{FailureKind, GatewayNode};
use crate::probe::{order_target, probe};

/// Time limit for a target to name itself. At a busy one, the question waits for a slot.
const IDENTITY_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles a response that does not show that its target made it: nothing that it says is believed, and
/// the target gets no requests until it has shown itself.
pub fn record_unproved(
    node: &Rc<GatewayNode>,
    request: &AdmittedRequest,
    target: &TargetEntry,
    (status, headers): (StatusCode, &HeaderMap),
    gap: ProofGap,
) {
    let now = node.now();
    node.with_load(&target.id, |load| load.record_failure(now));
    node.metrics
        .record_unproved(request.service.as_str(), gap, status);
    let parsed = ResponseHeaders::from(headers);
    let server = headers.get(header::SERVER);
    let server = server.and_then(|server| server.to_str().ok());
    let line = LogLine::new(EventCode::ResponseUnproved)
        .kept()
        .text("request", request.id.as_ref().map_or("", RequestId::as_str))
        .text("route", &request.route)
        .text("service", request.service.as_str())
        .number("status", u64::from(status.as_u16()))
        .text("gap", gap.label())
        .text("host", target.id.as_str())
        .text("address", &target.address.to_string())
        .number("boot", target.boot.0)
        .number("signed", u64::from(parsed.signed))
        .text("named", parsed.request.as_deref().unwrap_or(""))
        .text("server", server.unwrap_or(""));
    node.log(&line);
    if target.membership.is_some() {
        // An engine reports its state, which nothing else at its address can.
        tokio::task::spawn_local(probe(Rc::clone(node), target.id.clone()));
        return;
    }
    if node.is_suspected(&target.id) {
        return;
    }
    node.suspect(&target.id, FailureKind::Foreign, &gap.to_string());
    if node.proves_identity(&target.id) {
        tokio::task::spawn_local(await_identity(Rc::clone(node), target.id.clone()));
    }
}

/// Asks a suspected target for its id until it names itself or is removed.
async fn await_identity(node: Rc<GatewayNode>, id: HostId) {
    for probes in 0.. {
        let (Some(target), Some(path)) = (order_target(&node, &id), node.health_path(&id)) else {
            return;
        };
        let checked = target.check_identity(&*node, &path, IDENTITY_TIMEOUT).await;
        if checked.is_ok() {
            node.clear_suspicion(&id);
        }
        if !node.is_suspected(&id) {
            return;
        }
        tokio::time::sleep(identity_interval(probes)).await;
    }
}

impl GatewayNode {
    /// Path at which a target of a plain service tells its id, if the configuration states one.
    fn health_path(&self, id: &HostId) -> Option<String> {
        let service = self.registry(|registry| {
            let entry = registry.get(id).filter(|entry| entry.fabric.is_none())?;
            Some(entry.service.clone())
        })?;
        let config = self.config()?;
        config.services.get(&service)?.health_path.clone()
    }

    /// Whether a suspected target is asked for its id, so that no request of a client has to try it.
    #[must_use]
    pub fn proves_identity(&self, id: &HostId) -> bool {
        self.suspected_failure(id) == Some(FailureKind::Foreign) && self.health_path(id).is_some()
    }
}
