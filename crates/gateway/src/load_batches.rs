//! Passes on the loads that heads report, in a deployment that is too large for a hint to every
//! node.
//!
//! Each node sends the loads that it hears to the first nodes of its failure domain, which pass them
//! on in batches, to the domain and to the same nodes of the other domains. Without them a node
//! hears from a given head once in many seconds, and requests wait at full replicas while others
//! have room. Like hints, lost or forged batches only degrade the choice of targets.

use std::rc::Rc;
use std::time::Duration;

use domain::HostId;
use serving::load_board::HeadReport;

use crate::hint_channel::{HeadHint, HintReport, HostHash, LoadHint};
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
            let hints = encode_hints(&batches.for_domain);
            node.hints.send_to_domain(LoadHint::DomainBatch(hints));
        }
        if !batches.for_others.is_empty() {
            let hints = encode_hints(&batches.for_others);
            node.hints.send_to_others(LoadHint::OtherBatch(hints));
        }
    }
}

fn encode_hints(reports: &[(HostHash, HeadReport)]) -> Vec<HeadHint> {
    let hints = reports.iter().map(|(head, report)| HeadHint {
        head: *head,
        report: (*report).into(),
    });
    hints.collect()
}

impl From<HeadReport> for HintReport {
    fn from(report: HeadReport) -> Self {
        match report {
            HeadReport::Load { requests, served } => Self::Load { requests, served },
            HeadReport::Silent => Self::Silent,
        }
    }
}

impl From<HintReport> for HeadReport {
    fn from(report: HintReport) -> Self {
        match report {
            HintReport::Load { requests, served } => Self::Load { requests, served },
            HintReport::Silent => Self::Silent,
        }
    }
}

impl GatewayNode {
    /// Applies what another node heard of heads.
    pub fn apply_hints(&self, hints: &[HeadHint]) {
        for hint in hints {
            match hint.report {
                HintReport::Load { requests, served } => {
                    self.apply_report(hint.head, requests, served);
                }
                HintReport::Silent => self.apply_silence(hint.head),
            }
        }
    }

    /// Keeps what was heard of a head in this failure domain, to pass it on.
    pub fn collect_own(&self, hint: HeadHint) {
        if self.hints.is_collector() {
            let mut board = self.load_board.borrow_mut();
            board.record_own(hint.head, hint.report.into());
        }
    }

    /// Keeps what another failure domain passed on, to pass it on in this one.
    pub fn collect_others(&self, hints: &[HeadHint]) {
        if !self.hints.is_collector() {
            return;
        }
        let mut board = self.load_board.borrow_mut();
        for hint in hints {
            board.record_other(hint.head, hint.report.into());
        }
    }

    /// Tells the other nodes of a load that a head reported to this one.
    pub fn share_load(&self, head: &HostId, requests: u32, served: bool) {
        let head = head.into();
        if self.hints.has_collectors() {
            self.share_report(head, HintReport::Load { requests, served });
        } else {
            self.hints.send(LoadHint::Reported {
                head,
                requests,
                served,
            });
        }
    }

    /// Avoids a head that does not serve this node, and tells the others. Only in a large deployment,
    /// where a node chooses heads by what others tell.
    pub fn share_silence(&self, head: &HostId) {
        if self.hints.has_collectors() {
            self.mark_silent(head);
            self.share_report(head.into(), HintReport::Silent);
        }
    }

    /// Tells the other nodes to prefer other heads, since this one has asked this node for a backoff.
    pub fn share_backoff(&self, head: &HostId) {
        let head = head.into();
        if self.hints.has_collectors() {
            self.share_report(head, HintReport::Silent);
        } else {
            let report = HintReport::Silent;
            self.hints.send(LoadHint::Heard(HeadHint { head, report }));
        }
    }

    fn share_report(&self, head: HostHash, report: HintReport) {
        let hint = HeadHint { head, report };
        self.collect_own(hint);
        self.hints.send_to_collectors(LoadHint::Heard(hint));
    }
}
