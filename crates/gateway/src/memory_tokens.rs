//! Requests and the memory of the replicas that run them.

use serving::memory_tokens::{RequestTooLarge, check_size, fits_beside};
use serving::{GatewayConfig, ServiceConfig, TargetEntry};

use crate::admitted::AdmittedRequest;
use crate::node::GatewayNode;

impl AdmittedRequest {
    /// Tokens that it takes in the memory of a replica: those of the prompt and the most of the response.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens)
    }

    /// Checks that a replica of its service can hold it.
    ///
    /// # Errors
    ///
    /// [`RequestTooLarge`] if none can.
    pub fn check_memory(&self, config: &GatewayConfig) -> Result<(), RequestTooLarge> {
        let service = config.services.get(&self.service);
        let capacity = service.and_then(|service| service.memory_tokens);
        check_size(self.tokens(), capacity)
    }

    /// Leaves the heads that can hold it beside the requests that this node has sent to them; returns
    /// whether there were others.
    pub fn retain_fitting(
        &self,
        node: &GatewayNode,
        service: &ServiceConfig,
        entries: &mut Vec<TargetEntry>,
    ) -> bool {
        let before = entries.len();
        entries.retain(|entry| {
            let running = node.running_tokens(&entry.id);
            fits_beside(self.tokens(), running, service.memory_tokens)
        });
        entries.len() < before
    }
}
