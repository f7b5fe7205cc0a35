//! What a node knows of the orders that engines accepted, and the engines with pending orders.

use std::cell::RefCell;
use std::time::Duration;

use domain::{BootNumber, FastMap, FastSet, HostId};
use serving::MembershipKey;

use crate::planned_order::PlannedOrder;

/// Time for which the response to this node's last order replaces a report. Reports lag by some
/// hundred milliseconds, so a new one may predate that order.
const RESPONSE_VALIDITY: Duration = Duration::from_millis(1200);

#[derive(Debug, Clone)]
struct KnownOrderCount {
    boot: BootNumber,
    orders: u64,
    /// The last of these orders, if it came from this node.
    acceptance: Option<OrderAcceptance>,
}

/// Acceptance of an order of this node.
#[derive(Debug, Clone)]
struct OrderAcceptance {
    at: Duration,
    /// Membership of the engine after the order.
    membership: Option<MembershipKey>,
}

/// State of an engine after this node's last order, if that was accepted recently.
#[derive(Debug)]
pub(crate) struct RecentAcceptance {
    pub(crate) boot: BootNumber,
    pub(crate) orders: u64,
    pub(crate) membership: Option<MembershipKey>,
}

/// Accepted order counts per engine, and the engines with pending orders.
#[derive(Debug, Default)]
pub struct OrderTracker {
    /// Accepted orders per engine, as known to this node. A report may be older than the response
    /// to the last order.
    accepted: RefCell<FastMap<HostId, KnownOrderCount>>,
    /// Engines that are reserved for an order that is not settled.
    pending: RefCell<FastSet<HostId>>,
}

impl OrderTracker {
    /// Whether an engine has a pending order.
    #[must_use]
    pub fn is_pending(&self, id: &HostId) -> bool {
        self.pending.borrow().contains(id)
    }

    /// Reserves all given engines, or none if any is already reserved; returns whether it did.
    pub fn reserve(&self, ids: &[HostId]) -> bool {
        let mut pending = self.pending.borrow_mut();
        if ids.iter().any(|id| pending.contains(id)) {
            return false;
        }
        pending.extend(ids.iter().cloned());
        true
    }

    /// Releases reserved engines.
    pub fn release(&self, ids: &[HostId]) {
        let mut pending = self.pending.borrow_mut();
        for id in ids {
            pending.remove(id);
        }
    }

    /// Updates the known count from a report, which may be out of date; returns the count to use.
    pub(crate) fn record_report(&self, id: &HostId, boot: BootNumber, orders: u64) -> u64 {
        let mut accepted = self.accepted.borrow_mut();
        let reported = KnownOrderCount {
            boot,
            orders,
            acceptance: None,
        };
        let known = accepted.entry(id.clone());
        let known = known.or_insert_with(|| reported.clone());
        if known.boot != boot || known.orders < orders {
            *known = reported;
        }
        known.orders
    }

    pub(crate) fn record_accepted(
        &self,
        planned: &PlannedOrder,
        boot: BootNumber,
        orders: u64,
        now: Duration,
    ) {
        let known = KnownOrderCount {
            boot,
            orders,
            acceptance: Some(OrderAcceptance {
                at: now,
                membership: planned.membership_after(),
            }),
        };
        let id = planned.host.clone();
        self.accepted.borrow_mut().insert(id, known);
    }

    /// What is known of an engine, if this node's last order was accepted recently.
    pub(crate) fn recent_acceptance(&self, id: &HostId, now: Duration) -> Option<RecentAcceptance> {
        let accepted = self.accepted.borrow();
        let known = accepted.get(id)?;
        let acceptance = known.acceptance.as_ref()?;
        let recent = now.saturating_sub(acceptance.at) < RESPONSE_VALIDITY;
        recent.then(|| RecentAcceptance {
            boot: known.boot,
            orders: known.orders,
            membership: acceptance.membership.clone(),
        })
    }

    pub(crate) fn forget(&self, id: &HostId) {
        self.accepted.borrow_mut().remove(id);
    }
}
