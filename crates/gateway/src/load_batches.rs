//! Passes on the loads that heads report, in a deployment that is too large for a hint to every
//! node.
//!
//! Each node sends the loads that it hears to the first nodes of its failure domain, which pass them
//! on in batches, to the domain and to the same nodes of the other domains. Without them a node
//! hears from a given head once in many seconds, and requests wait at full replicas while others
//! have room. Like hints, lost or forged batches only degrade the choice of targets.

use std::rc::Rc;
use std::time::Duration;

use serving::load_board::ReportedLoad;

use crate::hints::{HeadLoad, HostHash, LoadHint};
use crate::node::GatewayNode;

/// Interval between two batches of one node. Two nodes send them, so that loads are known a tenth
/// of a second after they were reported.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of loads in a batch, which fits one packet.
const MAX_BATCH_LOADS: usize = 150;

/// Passes on loads while this node collects them; never returns.
pub async fn pass_on_loads(node: Rc<GatewayNode>) {
    loop {
        tokio::time::sleep(BATCH_INTERVAL).await;
        if !node.hints.is_collector() {
            continue;
        }
        let batches = node.load_board.borrow_mut().take(MAX_BATCH_LOADS);
        if !batches.for_domain.is_empty() {
            let loads = encode_loads(&batches.for_domain);
            node.hints.send_to_domain(LoadHint::DomainLoads(loads));
        }
        if !batches.for_others.is_empty() {
            let loads = encode_loads(&batches.for_others);
            node.hints.send_to_others(LoadHint::OtherLoads(loads));
        }
    }
}

fn encode_loads(loads: &[(HostHash, ReportedLoad)]) -> Vec<HeadLoad> {
    let loads = loads.iter().map(|(head, load)| HeadLoad {
        head: *head,
        requests: load.requests,
        served: load.served,
    });
    loads.collect()
}

impl From<&HeadLoad> for ReportedLoad {
    fn from(load: &HeadLoad) -> Self {
        Self {
            requests: load.requests,
            served: load.served,
        }
    }
}

impl GatewayNode {
    /// Records the loads of a batch.
    pub fn apply_loads(&self, loads: &[HeadLoad]) {
        for load in loads {
            self.apply_report(load.head, load.requests, load.served);
        }
    }

    /// Keeps a load that was reported to a node of this failure domain, to pass it on.
    pub fn collect_own(&self, load: HeadLoad) {
        if self.hints.is_collector() {
            let mut board = self.load_board.borrow_mut();
            board.record_own(load.head, (&load).into());
        }
    }

    /// Keeps loads that another failure domain passed on, to pass them on in this one.
    pub fn collect_others(&self, loads: &[HeadLoad]) {
        if !self.hints.is_collector() {
            return;
        }
        let mut board = self.load_board.borrow_mut();
        for load in loads {
            board.record_other(load.head, load.into());
        }
    }

    /// Tells the other nodes of a load that a head reported to this one.
    pub fn share_load(&self, load: HeadLoad) {
        let hint = LoadHint::Reported {
            head: load.head,
            requests: load.requests,
            served: load.served,
        };
        if self.hints.has_collectors() {
            self.collect_own(load);
            self.hints.send_to_collectors(hint);
        } else {
            self.hints.send(hint);
        }
    }
}
