//! An order to an engine, as it is planned.

use adapter::orders::HostOrder;
use domain::HostId;
use serving::MembershipKey;

/// An order with the state that it was planned for.
#[derive(Debug, Clone)]
pub struct PlannedOrder {
    /// Engine that gets the order.
    pub host: HostId,
    /// Order to send, resent unchanged until it is settled.
    pub order: HostOrder,
    /// Membership that the engine must still have; `None` for no replica.
    pub expected: Option<MembershipKey>,
}

impl PlannedOrder {
    /// Membership of the engine once the order was accepted.
    pub(crate) fn membership_after(&self) -> Option<MembershipKey> {
        match &self.order {
            HostOrder::Join { replica, epoch, .. } => Some((replica.clone(), *epoch)),
            HostOrder::Leave { .. } => None,
            HostOrder::Open { .. } | HostOrder::Close { .. } | HostOrder::Stage { .. } => {
                self.expected.clone()
            }
        }
    }
}
