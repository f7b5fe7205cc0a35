//! How loaded targets are, from this node's own sends, their reports and other nodes' hints.

use std::time::Duration;

use domain::HostId;
use serving::TargetLoad;

use super::GatewayNode;
use crate::hints::HostHash;

impl GatewayNode {
    /// A target's load.
    #[must_use]
    pub fn load(&self, id: &HostId) -> TargetLoad {
        self.loads.borrow().get(id).copied().unwrap_or_default()
    }

    /// Changes a target's load.
    pub fn with_load(&self, id: &HostId, change: impl FnOnce(&mut TargetLoad)) {
        change(self.loads.borrow_mut().entry(id.clone()).or_default());
    }

    /// Time until a head has read the prompts that were sent to it; `rate` is what it reads, in
    /// tokens a second.
    #[must_use]
    pub fn unread_wait(&self, head: &HostId, rate: f64) -> Duration {
        let unread = self.unread.borrow().get(head).copied();
        unread.unwrap_or_default().wait(self.now(), rate)
    }

    /// Notes a prompt that was sent to a head, by this node or another one.
    pub fn note_prompt(&self, head: &HostId, tokens: u32, rate: f64) {
        let now = self.now();
        let mut unread = self.unread.borrow_mut();
        unread
            .entry(head.clone())
            .or_default()
            .add(tokens, now, rate);
    }

    /// Whether this node hears of all prompts that are sent. One that knows its own alone would go by
    /// a small part of them, and is better off with chance.
    #[must_use]
    pub fn hints_reach_all(&self) -> bool {
        self.hints.listeners() + 1 >= self.nodes.borrow().len().max(1)
    }

    /// Notes a request that another node sent to a head.
    pub fn hear_sent(&self, head: HostHash, tokens: u32) {
        let Some(head) = self.marked_host(head) else {
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
        self.note_prompt(&head, tokens, rate.unwrap_or(0.0));
    }

    /// Notes what a head reported to another node.
    pub fn hear_report(&self, head: HostHash, requests: u32, served: bool) {
        let Some(head) = self.marked_host(head) else {
            return;
        };
        let now = self.now();
        if served {
            self.served_others.borrow_mut().insert(head.clone(), now);
        }
        self.with_load(&head, |load| load.record_report(requests, now));
    }

    fn marked_host(&self, mark: HostHash) -> Option<HostId> {
        self.marks.borrow().get(&mark).cloned()
    }
}
