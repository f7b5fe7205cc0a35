//! Requests in flight at targets.

use std::rc::Rc;

use domain::{CustomerId, HostId, ModelName, ServiceName};
use serving::TargetEntry;

use crate::admitted::AdmittedRequest;
use crate::hint_channel::LoadHint;
use crate::node::GatewayNode;

/// Counts a request as in flight at a target until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    node: Rc<GatewayNode>,
    host: HostId,
    /// Whether the target is the head of a replica. Only heads are probed for lack of progress: a
    /// call to a plain service sends nothing until its end, however long it runs.
    is_head: bool,
    tokens: u64,
    service: ServiceName,
    customer: Option<CustomerId>,
    /// Requested model, if rejected clients return as its requests end.
    controlled_model: Option<ModelName>,
}

impl InFlightGuard {
    /// Counts a request that is about to be sent to a target.
    #[must_use]
    pub fn new(node: &Rc<GatewayNode>, request: &AdmittedRequest, target: &TargetEntry) -> Self {
        let now = node.now();
        if let Some(customer) = &request.customer {
            node.with_customer_shares(&request.service, |shares| shares.record_sent(customer));
        }
        let is_head = target.membership.is_some();
        node.with_load(&target.id, serving::TargetLoad::record_sent);
        if is_head {
            node.with_stall_detector(&target.id, |detector| detector.request_started(now));
            record_sent_prompt(node, request, &target.id);
            node.begin_tokens(&target.id, request.tokens());
        }
        Self {
            node: Rc::clone(node),
            host: target.id.clone(),
            is_head,
            tokens: request.tokens(),
            service: request.service.clone(),
            customer: request.customer.clone(),
            controlled_model: controlled_model(node, request),
        }
    }

    /// Records that response bytes arrived.
    pub fn record_progress(&self) {
        let now = self.node.now();
        if self.is_head {
            self.node
                .with_stall_detector(&self.host, |detector| detector.record_progress(now));
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node
            .with_load(&self.host, serving::TargetLoad::record_end);
        if let Some(customer) = &self.customer {
            self.node
                .with_customer_shares(&self.service, |shares| shares.record_ended(customer));
        }
        if let Some(model) = &self.controlled_model {
            let now = self.node.now();
            self.node.overload.record_end(&self.service, model, now);
        }
        if self.is_head {
            self.node.end_tokens(&self.host, self.tokens);
            self.node
                .with_stall_detector(&self.host, serving::stall::StallDetector::request_ended);
        }
        self.node.record_request_ended(&self.host);
    }
}

fn controlled_model(node: &GatewayNode, request: &AdmittedRequest) -> Option<ModelName> {
    let config = node.config()?;
    let service = config.services.get(&request.service)?;
    let (model, _) = request.controlled_model(service)?;
    Some(model.clone())
}

fn record_sent_prompt(node: &GatewayNode, request: &AdmittedRequest, head: &HostId) {
    let rate = node.config().and_then(|config| {
        let service = config.services.get(&request.service)?;
        Some(request.prefill_rate(service))
    });
    node.record_prompt(head, request.prompt_tokens, rate.unwrap_or(0.0));
    node.hints.send(LoadHint::Sent {
        head: head.into(),
        tokens: request.prompt_tokens,
    });
}
