//! Asking the members of silent replicas, and suspected targets, whether they live.

use std::rc::Rc;
use std::time::Duration;

use adapter::{HostReport, OrderTarget};
use domain::HostId;
use serving::ReplicaView;

use crate::node::{GatewayNode, LossSign};

/// Pause between two looks at the replicas' pulses.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for a report. Engines answer one within milliseconds, whatever they run.
const REPORT_LIMIT: Duration = Duration::from_millis(160);

/// Pause before a suspected target is asked again.
const SUSPECT_PAUSE: Duration = Duration::from_millis(700);

/// Longest time by which a report is behind.
const REPORT_LAG: Duration = Duration::from_millis(600);

/// How long nothing is sent to a plain service's target that could not be reached.
const PLAIN_SUSPECT_TIME: Duration = Duration::from_secs(2);

/// Looks for replicas that stand still.
pub async fn watch_replicas(node: Rc<GatewayNode>) {
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        for head in node.silent_heads() {
            ask_members(&node, &head);
        }
    }
}

fn ask_members(node: &Rc<GatewayNode>, head: &HostId) {
    let replica = node.registry(|registry| {
        let membership = registry.get(head)?.membership.as_ref()?;
        registry.replica(membership).cloned()
    });
    let size = replica.as_ref().and_then(|replica| size_of(node, replica));
    let Some(replica) =
        replica.filter(|replica| size.is_some_and(|size| replica.is_complete(size)))
    else {
        // A member left for another replica, or is gone: nothing will move again.
        node.raise_loss(head);
        return;
    };
    for member in replica.members.into_values() {
        if node.is_retired(&member) {
            // It does not work on for its head: it is gone.
            node.suspect(&member, LossSign::Silent, "its replica stands still");
            continue;
        }
        tokio::task::spawn_local(ask(Rc::clone(node), member));
    }
}

fn size_of(node: &GatewayNode, replica: &ReplicaView) -> Option<usize> {
    let config = node.config()?;
    let service = config.services.get(&replica.service)?;
    let model = service.model(replica.model.as_ref()?)?;
    Some(model.size)
}

/// Asks an engine, unless it is suspected or being asked already.
pub async fn ask(node: Rc<GatewayNode>, id: HostId) {
    if node.is_suspect(&id) || !node.begin_asking(&id) {
        return;
    }
    ask_twice(&node, &id).await;
    node.end_asking(&id);
}

/// Asks a target twice before it is suspected: one lost packet is not the end of a host.
async fn ask_twice(node: &GatewayNode, id: &HostId) -> Option<HostReport> {
    let mut reason = String::new();
    let mut sign = LossSign::Silent;
    for _ in 0..2 {
        let target = order_target(node, id)?;
        match target.fetch_report(REPORT_LIMIT).await {
            Ok(report) => return Some(report),
            Err(error) => {
                let refused = error.is_refused();
                sign = (&error).into();
                reason = error.to_string();
                if refused {
                    break;
                }
            }
        }
    }
    node.suspect(id, sign, &reason);
    None
}

/// Asks suspected targets again until they answer or are gone.
pub async fn ask_suspects(node: Rc<GatewayNode>) {
    loop {
        tokio::time::sleep(SUSPECT_PAUSE).await;
        let now = node.now();
        for (id, since) in node.suspects() {
            // Targets of plain services give no reports; a request shows whether one is back.
            let plain = node.registry(|registry| {
                registry
                    .get(&id)
                    .is_some_and(|entry| entry.fabric.is_none())
            });
            if !plain {
                tokio::task::spawn_local(ask_suspect(Rc::clone(&node), id));
            } else if now.saturating_sub(since) > PLAIN_SUSPECT_TIME {
                node.trust(&id);
            }
        }
    }
}

/// Asks targets that the registry names no more until they don't answer, or no request needs them;
/// then they are gone.
pub async fn ask_unlisted(node: Rc<GatewayNode>) {
    loop {
        tokio::time::sleep(SUSPECT_PAUSE).await;
        for id in node.long_retired() {
            node.remove_target(&id);
        }
        for id in node.unlisted() {
            tokio::task::spawn_local(ask_unlisted_one(Rc::clone(&node), id));
        }
    }
}

/// Asks one such target.
pub async fn ask_unlisted_one(node: Rc<GatewayNode>, id: HostId) {
    let report = ask_twice(&node, &id).await;
    // A report may tell of the time before an order that this node saw take effect: taken as news,
    // a head that closes would seem open again and be closed anew.
    if let Some(report) = report.filter(|_| node.membership_age(&id) > REPORT_LAG) {
        take_report(&node, &id, report);
    }
    if node.is_unlisted(&id) && !node.holds_requests(&id) {
        node.remove_target(&id);
    }
}

async fn ask_suspect(node: Rc<GatewayNode>, id: HostId) {
    let Some(target) = order_target(&node, &id) else {
        node.trust(&id);
        return;
    };
    if target.fetch_report(REPORT_LIMIT).await.is_ok() {
        node.trust(&id);
    }
}

/// Asks an engine about its replica, ahead of the registry; one that does not answer is suspected.
pub async fn ask_host(node: &GatewayNode, target: OrderTarget) {
    match target.fetch_report(REPORT_LIMIT).await {
        Ok(report) => take_report(node, &target.id, report),
        Err(error) => node.suspect(&target.id, (&error).into(), &error.to_string()),
    }
}

/// Takes what an engine says of itself, ahead of the registry.
fn take_report(node: &GatewayNode, id: &HostId, report: HostReport) {
    node.foresee(id, |entry| {
        entry.boot = report.status.boot;
        entry.loaded = report.status.loaded;
        entry.staged = report.status.staged;
        entry.membership = report.status.membership;
    });
}

/// Asks an engine that refused a request as no head of a serving replica.
pub fn ask_refusing(node: &Rc<GatewayNode>, id: &HostId) {
    let Some(target) = order_target(node, id) else {
        return;
    };
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move { ask_host(&node, target).await });
}

/// Where a known target takes orders and questions.
pub fn order_target(node: &GatewayNode, id: &HostId) -> Option<OrderTarget> {
    node.registry(|registry| {
        let entry = registry.get(id)?;
        Some(OrderTarget {
            id: entry.id.clone(),
            address: entry.address,
        })
    })
}
