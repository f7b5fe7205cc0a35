//! Giving orders to engines so that each takes effect once or not at all.
//!
//! An order names the number of orders that the engine must have accepted before it. An order
//! that was not answered may be carried out seconds later; sending the very same order again
//! settles it, because only one of the two can fit that number. The number also stands in for a
//! lease: of two nodes that plan for the same engine, one wins and the other is refused.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use adapter::OrderResponse;
use adapter::orders::HostOrder;
use domain::{BootNumber, FastMap, FastSet, HostId, ReplicaId};
use events::{EventCode, EventLine};
use serving::{MemberState, ReplicaMembership};

use crate::node::{GatewayNode, LossSign};
use crate::probe::order_target;

/// Longest wait for an answer to an order or a report; they come within milliseconds.
const ORDER_LIMIT: Duration = Duration::from_millis(180);

/// Times that an unanswered order is sent. With a third of the answers lost, one order in a
/// thousand stays unsettled.
const ORDER_TRIES: u32 = 6;

/// Pause between two of them.
const ORDER_PAUSE: Duration = Duration::from_millis(60);

/// Reports that may go unanswered before an engine is suspected.
const REPORT_TRIES: u32 = 2;

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// It took effect.
    Done,
    /// The engine is in another state than planned for.
    Stale,
    /// The engine does not answer.
    Silent,
}

/// Time for which the answer to this node's last order stands for a report. Reports lag by some
/// hundred milliseconds, so one that is asked for now may tell of the time before that order.
const ANSWER_TIME: Duration = Duration::from_millis(1200);

#[derive(Debug, Clone, Copy)]
struct KnownOrders {
    boot: BootNumber,
    orders: u64,
    /// When an order of this node was accepted as the last one of them.
    answered: Option<Duration>,
}

impl OrderEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Stale => "stale",
            Self::Silent => "silent",
        }
    }
}

/// What is known of orders from this node.
#[derive(Debug, Default)]
pub struct OrderDesk {
    /// Accepted orders by engine, as far as this node knows. A report may be older than the
    /// answer to the last order.
    accepted: RefCell<FastMap<HostId, KnownOrders>>,
    /// Engines with an order that is not settled.
    open: RefCell<FastSet<HostId>>,
}

impl OrderDesk {
    /// Whether an order to an engine is not settled.
    #[must_use]
    pub fn is_open(&self, id: &HostId) -> bool {
        self.open.borrow().contains(id)
    }

    /// Reserves engines, or none of them.
    pub fn reserve(&self, ids: &[HostId]) -> bool {
        let mut open = self.open.borrow_mut();
        if ids.iter().any(|id| open.contains(id)) {
            return false;
        }
        open.extend(ids.iter().cloned());
        true
    }

    /// Gives reserved engines free.
    pub fn release(&self, ids: &[HostId]) {
        let mut open = self.open.borrow_mut();
        for id in ids {
            open.remove(id);
        }
    }

    /// Takes what a report says; returns the orders that count.
    fn note_report(&self, id: &HostId, boot: BootNumber, orders: u64) -> u64 {
        let mut accepted = self.accepted.borrow_mut();
        let reported = KnownOrders {
            boot,
            orders,
            answered: None,
        };
        let known = accepted.entry(id.clone()).or_insert(reported);
        if known.boot != boot || known.orders < orders {
            *known = reported;
        }
        known.orders
    }

    fn note_answer(&self, id: &HostId, boot: BootNumber, orders: u64, now: Duration) {
        let known = KnownOrders {
            boot,
            orders,
            answered: Some(now),
        };
        self.accepted.borrow_mut().insert(id.clone(), known);
    }

    /// The orders that an engine had accepted with this node's last one, if that was just now.
    fn just_answered(&self, id: &HostId, now: Duration) -> Option<(BootNumber, u64)> {
        let known = self.accepted.borrow().get(id).copied()?;
        let recent = now.saturating_sub(known.answered?) < ANSWER_TIME;
        recent.then_some((known.boot, known.orders))
    }

    fn forget(&self, id: &HostId) {
        self.accepted.borrow_mut().remove(id);
    }
}

/// An order with the state that it was planned for.
#[derive(Debug, Clone)]
pub struct PlannedOrder {
    /// Engine.
    pub host: HostId,
    /// Order.
    pub order: HostOrder,
    /// Membership that the engine must still have, by name and epoch.
    pub expected: Option<(ReplicaId, u64)>,
}

/// Gives an order and waits until it is settled.
pub async fn settle_order(
    node: &Rc<GatewayNode>,
    desk: &OrderDesk,
    planned: &PlannedOrder,
) -> OrderEnd {
    let began = node.now();
    let (end, tries, detail) = settle(node, desk, planned).await;
    let line = EventLine::new(EventCode::OrderEnded)
        .text("host", planned.host.as_str())
        .text("order", planned.order.name())
        .text("outcome", end.name())
        .text("detail", &detail)
        .number("tries", u64::from(tries))
        .millis("took_ms", node.now().saturating_sub(began));
    node.log(&line);
    let took = node.now().saturating_sub(began);
    node.metrics
        .record_order(planned.order.name(), end.name(), took);
    if end == OrderEnd::Done {
        foresee(node, planned);
    }
    end
}

/// Notes what an accepted order leads to.
fn foresee(node: &GatewayNode, planned: &PlannedOrder) {
    node.foresee(&planned.host, |entry| match &planned.order {
        HostOrder::Join {
            replica,
            epoch,
            model,
            members,
        } => {
            let rank = members.iter().position(|member| *member == planned.host);
            entry.loaded = Some(model.clone());
            entry.membership = Some(ReplicaMembership {
                replica: replica.clone(),
                epoch: *epoch,
                rank: rank.and_then(|rank| u32::try_from(rank).ok()).unwrap_or(0),
                state: MemberState::Joining,
            });
        }
        HostOrder::Close { .. } => {
            if let Some(membership) = &mut entry.membership {
                membership.state = MemberState::Closing;
            }
        }
        HostOrder::Leave { .. } => entry.membership = None,
        // It reports itself as open, and the weights as staged, once it is so.
        HostOrder::Open { .. } | HostOrder::Stage { .. } => {}
    });
}

async fn settle(
    node: &Rc<GatewayNode>,
    desk: &OrderDesk,
    planned: &PlannedOrder,
) -> (OrderEnd, u32, String) {
    let (boot, accepted) = match read_state(node, desk, planned).await {
        Ok(state) => state,
        Err((end, detail)) => return (end, 0, detail),
    };
    let fence = node.settings.bounds.fencing.then(|| fence_of(node));
    let mut detail = String::new();
    for trial in 1..=ORDER_TRIES {
        let Some(target) = order_target(node, &planned.host) else {
            return (OrderEnd::Stale, trial, "the engine is gone".to_owned());
        };
        let given = target
            .send(&planned.order, accepted, fence, ORDER_LIMIT)
            .await;
        match given {
            Ok(OrderResponse::Begun) => {
                desk.note_answer(&planned.host, boot, accepted + 1, node.now());
                return (OrderEnd::Done, trial, format!("as order {}", accepted + 1));
            }
            Ok(OrderResponse::Holds) => {
                // To leave takes effect before it is answered, and counts like an order that began.
                if matches!(planned.order, HostOrder::Leave { .. }) {
                    desk.note_answer(&planned.host, boot, accepted + 1, node.now());
                }
                return (OrderEnd::Done, trial, "holds".to_owned());
            }
            Ok(OrderResponse::Conflict) => {
                desk.forget(&planned.host);
                // The first of two equal orders may have been carried out unanswered.
                let done = trial > 1 && is_done(node, planned).await;
                let end = if done {
                    OrderEnd::Done
                } else {
                    OrderEnd::Stale
                };
                return (end, trial, format!("conflict after order {accepted}"));
            }
            Ok(answer) => {
                desk.forget(&planned.host);
                return (OrderEnd::Stale, trial, format!("{answer:?}"));
            }
            Err(error) if error.is_refused() => {
                node.suspect(&planned.host, (&error).into(), &error.to_string());
                return (OrderEnd::Silent, trial, error.to_string());
            }
            Err(error) => detail = error.to_string(),
        }
        tokio::time::sleep(ORDER_PAUSE).await;
    }
    // Its number of orders is not known any more: the last one may come into effect late.
    desk.forget(&planned.host);
    (OrderEnd::Silent, ORDER_TRIES, detail)
}

fn fence_of(node: &GatewayNode) -> u64 {
    node.registry_version().map_or(0, |version| version.0)
}

/// The engine's start and accepted orders, if its membership is the one planned for.
async fn read_state(
    node: &Rc<GatewayNode>,
    desk: &OrderDesk,
    planned: &PlannedOrder,
) -> Result<(BootNumber, u64), (OrderEnd, String)> {
    if let Some(known) = desk.just_answered(&planned.host, node.now()) {
        return Ok(known);
    }
    let mut detail = String::new();
    let mut sign = LossSign::Silent;
    for _ in 0..REPORT_TRIES {
        let Some(target) = order_target(node, &planned.host) else {
            return Err((OrderEnd::Stale, "the engine is gone".to_owned()));
        };
        match target.fetch_report(ORDER_LIMIT).await {
            Ok(report) => {
                let found = report.status.membership.as_ref().map(key);
                if found != planned.expected {
                    let found = found.map_or("none".to_owned(), |(name, _)| name.to_string());
                    return Err((OrderEnd::Stale, format!("its replica is {found}")));
                }
                let orders = desk.note_report(&planned.host, report.boot(), report.orders);
                return Ok((report.boot(), orders));
            }
            Err(error) => {
                sign = (&error).into();
                detail = error.to_string();
            }
        }
    }
    node.suspect(&planned.host, sign, &detail);
    Err((OrderEnd::Silent, detail))
}

/// The part of a membership that an order is planned for.
#[must_use]
pub fn key(membership: &ReplicaMembership) -> (ReplicaId, u64) {
    (membership.replica.clone(), membership.epoch)
}

/// Whether an engine's report shows the effect of an order.
async fn is_done(node: &Rc<GatewayNode>, planned: &PlannedOrder) -> bool {
    let Some(target) = order_target(node, &planned.host) else {
        return false;
    };
    let Ok(report) = target.fetch_report(ORDER_LIMIT).await else {
        return false;
    };
    if let HostOrder::Stage { model } = &planned.order {
        return report.status.staged.contains(model);
    }
    let found = report.status.membership;
    let (replica, epoch) = match &planned.order {
        HostOrder::Join { replica, epoch, .. }
        | HostOrder::Open { replica, epoch }
        | HostOrder::Close { replica, epoch, .. }
        | HostOrder::Leave { replica, epoch } => (replica, *epoch),
        HostOrder::Stage { .. } => return false,
    };
    let Some(found) = found.filter(|found| found.replica == *replica && found.epoch == epoch)
    else {
        return matches!(planned.order, HostOrder::Leave { .. });
    };
    match &planned.order {
        HostOrder::Join { .. } => true,
        HostOrder::Open { .. } => found.state == MemberState::Open,
        HostOrder::Close { .. } => found.state != MemberState::Open,
        HostOrder::Leave { .. } | HostOrder::Stage { .. } => false,
    }
}
