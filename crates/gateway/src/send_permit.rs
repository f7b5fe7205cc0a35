//! The last step before a request leaves for a target.

use std::rc::Rc;

use serving::{SentRequest, TargetEntry, TargetProcess};

use crate::node::GatewayNode;

/// A request that leaves for a target; counts as waiting for its response until that is recorded or the
/// permit is dropped.
#[derive(Debug)]
pub struct SendPermit {
    node: Rc<GatewayNode>,
    process: TargetProcess,
    /// `None` once the response is recorded.
    sent: Option<SentRequest>,
}

impl SendPermit {
    /// Counts a request that is about to be sent.
    #[must_use]
    pub fn take(node: &Rc<GatewayNode>, target: &TargetEntry) -> Self {
        let process = TargetProcess {
            host: target.id.clone(),
            boot: target.boot,
        };
        Self {
            node: Rc::clone(node),
            sent: Some(node.record_request_sent(&process)),
            process,
        }
    }

    /// Records the response. `accepted`: the target did not reject the request.
    pub fn record_response(mut self, accepted: bool) {
        self.end(accepted);
    }

    fn end(&mut self, accepted: bool) {
        if let Some(sent) = self.sent.take() {
            self.node
                .record_request_answered(&self.process, sent, accepted);
        }
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        self.end(false);
    }
}
