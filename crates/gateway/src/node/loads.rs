//! Target loads, from this node's own requests, reports of targets and hints from other nodes.

use std::time::Duration;

use domain::HostId;
use serving::TargetLoad;

use super::GatewayNode;
use crate::hint_channel::HostHash;

impl GatewayNode {
    /// Load of a target; zero if unknown.
    #[must_use]
    pub fn load(&self, id: &HostId) -> TargetLoad {
        self.loads.borrow().get(id).copied().unwrap_or_default()
    }

    /// Calls `change` with the load of a target, created at its first use.
    pub fn with_load(&self, id: &HostId, change: impl FnOnce(&mut TargetLoad)) {
        change(self.loads.borrow_mut().entry(id.clone()).or_default());
    }

    /// Tokens of this node's requests at a head, of prompts and responses.
    #[must_use]
    pub fn running_tokens(&self, head: &HostId) -> u64 {
        let running = self.running_tokens.borrow();
        running.get(head).copied().unwrap_or(0)
    }

    /// Counts the tokens of a request that is sent to a head.
    pub fn begin_tokens(&self, head: &HostId, tokens: u64) {
        let mut running = self.running_tokens.borrow_mut();
        let sum = running.entry(head.clone()).or_default();
        *sum = sum.saturating_add(tokens);
    }

    /// Ends the count of [`GatewayNode::begin_tokens`].
    pub fn end_tokens(&self, head: &HostId, tokens: u64) {
        let mut running = self.running_tokens.borrow_mut();
        let Some(sum) = running.get_mut(head) else {
            return;
        };
        *sum = sum.saturating_sub(tokens);
        if *sum == 0 {
            running.remove(head);
        }
    }

    /// Time until a head has processed the prompts sent to it; `rate` is in tokens per second.
    #[must_use]
    pub fn prefill_wait(&self, head: &HostId, rate: f64) -> Duration {
        let backlog = self.prompt_backlogs.borrow().get(head).copied();
        backlog.unwrap_or_default().wait(self.now(), rate)
    }

    /// Records a prompt sent to a head by this node or another one.
    pub fn record_prompt(&self, head: &HostId, tokens: u32, rate: f64) {
        let now = self.now();
        let mut backlogs = self.prompt_backlogs.borrow_mut();
        backlogs
            .entry(head.clone())
            .or_default()
            .add(tokens, now, rate);
    }

    /// Whether this node is told of all prompts that are sent. Knowing only its own would be a
    /// small part of them, and random selection is better then.
    #[must_use]
    pub fn hints_reach_all(&self) -> bool {
        self.hints.peer_count() + 1 >= self.live_nodes.borrow().len().max(1)
    }

    /// Records a request that another node sent to a head.
    pub fn apply_sent(&self, head: HostHash, tokens: u32) {
        let Some(head) = self.host_by_hash(head) else {
            return;
        };
        self.with_load(&head, TargetLoad::record_sent_elsewhere);
        let known = self.registry(|registry| {
            let entry = registry.get(&head)?;
            Some((entry.service.clone(), entry.loaded.clone()?))
        });
        let Some((service, model)) = known else {
            return;
        };
        let rate = self.config().and_then(|config| {
            let service = config.services.get(&service)?;
            let model = service.model(&model)?;
            Some(service.replica_timing(model).prefill_rate)
        });
        self.record_prompt(&head, tokens, rate.unwrap_or(0.0));
    }

    /// Records a load that a head reported to another node.
    pub fn apply_report(&self, head: HostHash, requests: u32, served: bool) {
        let Some(head) = self.host_by_hash(head) else {
            return;
        };
        let now = self.now();
        if served {
            self.served_others_at.borrow_mut().insert(head.clone(), now);
        }
        self.with_load(&head, |load| load.record_report(requests, now));
    }

    /// Records that a head does not respond to another node.
    pub fn apply_silence(&self, head: HostHash) {
        if let Some(head) = self.host_by_hash(head) {
            self.mark_silent(&head);
        }
    }

    /// Avoids a head that makes no progress, for as long as nothing better is known of it.
    pub fn mark_silent(&self, head: &HostId) {
        let now = self.now();
        self.with_load(head, |load| load.record_unreachable(now));
    }

    /// Target that a hash in a hint stands for; `None` if it is not known.
    #[must_use]
    pub fn host_by_hash(&self, hash: HostHash) -> Option<HostId> {
        self.hosts_by_hash.borrow().get(&hash).cloned()
    }
}
