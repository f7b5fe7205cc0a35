//! Sends orders to engines so that each takes effect at most once.
//!
//! An order carries the number of orders that the engine must have accepted before it. An
//! order without a response may still be executed seconds later; resending the identical order
//! resolves this, because only one of the two can match that number. The number also replaces a
//! lease: if two nodes plan for the same engine, one order is accepted and the other rejected.

use std::rc::Rc;
use std::time::Duration;

use adapter::orders::HostOrder;
use adapter::{HostError, OrderResponse};
use domain::{BootNumber, EraVersion};
use events::{EventCode, LogLine};
use serving::{MemberState, MembershipKey, ReplicaMembership};

use crate::node::{FailureKind, GatewayNode};
use crate::order_tracker::OrderTracker;
use crate::planned_order::PlannedOrder;
use crate::probe::order_target;

/// Timeout for the response to an order or a report request; both usually take milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(180);

/// Maximum number of times an order is sent. With a third of the responses lost, one order in a
/// thousand stays unresolved.
const MAX_ORDER_ATTEMPTS: u32 = 6;

/// Delay before an order without a response is resent.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Number of report requests without a response after which an engine is suspected.
const MAX_REPORT_ATTEMPTS: u32 = 2;

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order took effect.
    Done,
    /// The engine is not in the state that the order was planned for.
    Stale,
    /// The engine did not respond.
    Unresponsive,
}

impl OrderOutcome {
    fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Stale => "stale",
            Self::Unresponsive => "silent",
        }
    }
}

/// Sends an order and waits until its outcome is settled.
pub async fn execute_order(
    node: &Rc<GatewayNode>,
    order_tracker: &OrderTracker,
    planned: &PlannedOrder,
) -> OrderOutcome {
    let started_at = node.now();
    let (outcome, attempts, detail) = send_until_settled(node, order_tracker, planned).await;
    let line = LogLine::new(EventCode::OrderEnded)
        .text("host", planned.host.as_str())
        .text("order", planned.order.name())
        .text("outcome", outcome.name())
        .text("detail", &detail)
        .number("tries", u64::from(attempts))
        .millis("took_ms", node.now().saturating_sub(started_at));
    node.log(&line);
    let took = node.now().saturating_sub(started_at);
    node.metrics
        .record_order(planned.order.name(), outcome.name(), took);
    if outcome == OrderOutcome::Done {
        apply_effect(node, planned);
    }
    outcome
}

/// Applies the expected effect of an accepted order to the node's view.
fn apply_effect(node: &GatewayNode, planned: &PlannedOrder) {
    node.apply_order(&planned.host, |entry| match &planned.order {
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
        // The engine reports these two states itself once they are reached.
        HostOrder::Open { .. } | HostOrder::Stage { .. } => {}
    });
}

async fn send_until_settled(
    node: &Rc<GatewayNode>,
    order_tracker: &OrderTracker,
    planned: &PlannedOrder,
) -> (OrderOutcome, u32, String) {
    let (boot, accepted) = match check_precondition(node, order_tracker, planned).await {
        Ok(state) => state,
        Err((outcome, detail)) => return (outcome, 0, detail),
    };
    let fence = node.settings.bounds.fencing.then(|| current_fence(node));
    let mut detail = String::new();
    for attempt in 1..=MAX_ORDER_ATTEMPTS {
        let Some(target) = order_target(node, &planned.host) else {
            return (OrderOutcome::Stale, attempt, "engine is unknown".to_owned());
        };
        let response = target
            .send(&**node, &planned.order, accepted, fence, ORDER_TIMEOUT)
            .await;
        match response {
            Ok(OrderResponse::Begun) => {
                order_tracker.record_accepted(planned, boot, accepted + 1, node.now());
                return (
                    OrderOutcome::Done,
                    attempt,
                    format!("accepted as order {}", accepted + 1),
                );
            }
            Ok(OrderResponse::Holds) => {
                // A leave order takes effect before its response, so it counts like one that has
                // begun.
                if matches!(planned.order, HostOrder::Leave { .. }) {
                    order_tracker.record_accepted(planned, boot, accepted + 1, node.now());
                }
                return (OrderOutcome::Done, attempt, "holds".to_owned());
            }
            Ok(OrderResponse::Conflict) => {
                order_tracker.forget(&planned.host);
                // An earlier copy of the order may have been executed and its response lost.
                let done = attempt > 1 && took_effect(node, planned).await;
                let outcome = if done {
                    OrderOutcome::Done
                } else {
                    OrderOutcome::Stale
                };
                return (outcome, attempt, format!("conflict after order {accepted}"));
            }
            Ok(other) => {
                order_tracker.forget(&planned.host);
                return (OrderOutcome::Stale, attempt, format!("{other:?}"));
            }
            Err(error) if error.is_refused() => {
                node.suspect(&planned.host, (&error).into(), &error.to_string());
                return (OrderOutcome::Unresponsive, attempt, error.to_string());
            }
            // Nothing was sent. An order that was sent before is resent until it is settled.
            Err(error @ HostError::Barred) if attempt == 1 => {
                return (OrderOutcome::Stale, attempt, error.to_string());
            }
            Err(error) => detail = error.to_string(),
        }
        tokio::time::sleep(ORDER_RETRY_DELAY).await;
    }
    // The order count is unknown now: the last order may still take effect.
    order_tracker.forget(&planned.host);
    (OrderOutcome::Unresponsive, MAX_ORDER_ATTEMPTS, detail)
}

fn current_fence(node: &GatewayNode) -> u64 {
    node.registry_version()
        .map_or(0, EraVersion::fencing_number)
}

/// Boot number and accepted orders of the engine, if its membership is the expected one.
async fn check_precondition(
    node: &Rc<GatewayNode>,
    order_tracker: &OrderTracker,
    planned: &PlannedOrder,
) -> Result<(BootNumber, u64), (OrderOutcome, String)> {
    if let Some(known) = order_tracker.recent_acceptance(&planned.host, node.now()) {
        // The plan may rest on an entry older than this node's own order. The order count alone
        // would admit the new order then, and a host that serves would join another replica.
        if known.membership != planned.expected {
            return Err(stale_membership(known.membership.as_ref()));
        }
        return Ok((known.boot, known.orders));
    }
    let mut detail = String::new();
    let mut failure = FailureKind::Unresponsive;
    for _ in 0..MAX_REPORT_ATTEMPTS {
        let Some(target) = order_target(node, &planned.host) else {
            return Err((OrderOutcome::Stale, "engine is unknown".to_owned()));
        };
        match target.fetch_report(&**node, ORDER_TIMEOUT).await {
            Ok(report) => {
                let found = report
                    .status
                    .membership
                    .as_ref()
                    .map(ReplicaMembership::key);
                if found != planned.expected {
                    return Err(stale_membership(found.as_ref()));
                }
                let orders =
                    order_tracker.record_report(&planned.host, report.boot(), report.orders);
                return Ok((report.boot(), orders));
            }
            Err(error @ HostError::Barred) => {
                return Err((OrderOutcome::Stale, error.to_string()));
            }
            Err(error) => {
                failure = (&error).into();
                detail = error.to_string();
            }
        }
    }
    node.suspect(&planned.host, failure, &detail);
    Err((OrderOutcome::Unresponsive, detail))
}

fn stale_membership(found: Option<&MembershipKey>) -> (OrderOutcome, String) {
    let found = found.map_or("none", |(replica, _)| replica.as_str());
    (OrderOutcome::Stale, format!("engine is in replica {found}"))
}

/// Whether the engine's report shows the effect of an order.
async fn took_effect(node: &Rc<GatewayNode>, planned: &PlannedOrder) -> bool {
    let Some(target) = order_target(node, &planned.host) else {
        return false;
    };
    let Ok(report) = target.fetch_report(&**node, ORDER_TIMEOUT).await else {
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
