//! Probes the members of stalled replicas and suspected targets.

use std::rc::Rc;
use std::time::Duration;

use adapter::{HostError, HostReport, OrderTarget};
use domain::HostId;
use serving::confirmed::MAX_REPORT_AGE;
use serving::probe_schedule::PROBE_INTERVAL;
use serving::stall::StallProbe;
use serving::{MembershipKey, ReplicaMembership, ReplicaView};

use crate::node::{FailureKind, GatewayNode};

/// Interval for checking replicas for lack of progress.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for a report. Engines respond within milliseconds under any load.
const REPORT_TIMEOUT: Duration = Duration::from_millis(160);

/// How long a plain service's target gets no requests after a failed connection.
const PLAIN_SUSPECT_DURATION: Duration = Duration::from_secs(2);

/// Probes the members of replicas that make no progress; never returns.
pub async fn watch_for_stalls(node: Rc<GatewayNode>) {
    loop {
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        for (head, stalled) in node.heads_to_probe() {
            if stalled == StallProbe::Head {
                tokio::task::spawn_local(probe(Rc::clone(&node), head));
                continue;
            }
            if node.receives_nothing() {
                // This node may be partitioned; if it told the others, they would avoid a head that
                // serves them.
                tokio::task::spawn_local(share_confirmed_silence(Rc::clone(&node), head.clone()));
            } else {
                node.share_silence(&head);
            }
            probe_members(&node, &head);
        }
    }
}

/// Tells the other nodes that a head makes no progress, once this node has reached it itself.
async fn share_confirmed_silence(node: Rc<GatewayNode>, head: HostId) {
    let Some(target) = order_target(&node, &head) else {
        return;
    };
    let reached = target.fetch_report(&*node, REPORT_TIMEOUT).await.is_ok();
    if reached && !node.is_path_lost(&head) {
        node.share_silence(&head);
    }
}

fn probe_members(node: &Rc<GatewayNode>, head: &HostId) {
    let replica = node.registry(|registry| {
        let membership = registry.get(head)?.membership.as_ref()?;
        registry.replica(membership).cloned()
    });
    let size = replica
        .as_ref()
        .and_then(|replica| replica_size(node, replica));
    let Some(replica) =
        replica.filter(|replica| size.is_some_and(|size| replica.is_complete(size)))
    else {
        // A member has joined another replica or is gone, so the replica can't make progress again.
        node.signal_lost_replica(head);
        return;
    };
    for member in replica.members.into_values() {
        if node.is_retired(&member) {
            // It has stopped accepting connections, and its replica is stalled: it is gone.
            node.suspect(&member, FailureKind::Unresponsive, "replica stalled");
            continue;
        }
        tokio::task::spawn_local(probe(Rc::clone(node), member));
    }
}

fn replica_size(node: &GatewayNode, replica: &ReplicaView) -> Option<usize> {
    let config = node.config()?;
    let service = config.services.get(&replica.service)?;
    let model = service.model(replica.model.as_ref()?)?;
    Some(model.size)
}

/// Probes an engine, unless it is already suspected or being probed.
pub async fn probe(node: Rc<GatewayNode>, id: HostId) {
    if node.is_suspected(&id) || !node.begin_probe(&id) {
        return;
    }
    probe_twice(&node, &id).await;
    node.end_probe(&id);
}

/// Probes a target and suspects it after two failures, since one may be a lost packet.
async fn probe_twice(node: &GatewayNode, id: &HostId) -> Option<HostReport> {
    let mut reason = String::new();
    let mut failure = FailureKind::Unresponsive;
    for _ in 0..2 {
        let target = order_target(node, id)?;
        match target.fetch_report(node, REPORT_TIMEOUT).await {
            Ok(report) => return Some(report),
            // It has shown that it is alive.
            Err(HostError::Barred) => return None,
            Err(error) => {
                let refused = error.is_refused();
                failure = (&error).into();
                reason = error.to_string();
                if refused {
                    break;
                }
            }
        }
    }
    node.suspect(id, failure, &reason);
    None
}

/// Probes suspected targets until they respond or are removed, and hosts whose entries contradict
/// what they confirmed; never returns.
pub async fn probe_suspects(node: Rc<GatewayNode>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let now = node.now();
        for id in node.contradicted_hosts() {
            refresh_contradicted(&node, &id);
        }
        for (id, since) in node.suspected_targets() {
            // Targets of plain services report no state; the next request shows whether one is back,
            // unless it is asked for its id.
            let is_plain = node.registry(|registry| {
                registry
                    .get(&id)
                    .is_some_and(|entry| entry.fabric.is_none())
            });
            if !is_plain {
                if !node.begin_suspect_probe(&id) {
                    continue;
                }
                tokio::task::spawn_local(probe_suspect(Rc::clone(&node), id));
            } else if now.saturating_sub(since) > PLAIN_SUSPECT_DURATION
                && !node.proves_identity(&id)
            {
                node.clear_suspicion(&id);
            }
        }
    }
}

/// Probes targets that are no longer in the registry, and removes them once they don't respond or
/// no request needs them, or nothing may be sent to them any more; never returns.
pub async fn probe_all_unlisted(node: Rc<GatewayNode>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        for id in node.retired_too_long() {
            node.remove_target(&id);
        }
        node.remove_unsendable();
        for id in node.unlisted() {
            if node.begin_unlisted_probe(&id) {
                tokio::task::spawn_local(probe_unlisted(Rc::clone(&node), id));
            } else if !node.holds_requests(&id) {
                node.remove_target(&id);
            }
        }
    }
}

/// Probes one target that is no longer in the registry.
pub async fn probe_unlisted(node: Rc<GatewayNode>, id: HostId) {
    let requested_at = node.now();
    let report = probe_twice(&node, &id).await;
    // A report may predate an order whose effect this node has already applied. Using it would make
    // a closing head look open again and have it closed twice.
    if let Some(report) = report.filter(|_| node.membership_age(&id) > MAX_REPORT_AGE) {
        apply_report(&node, &id, requested_at, report);
    }
    if node.is_unlisted(&id) && !node.holds_requests(&id) {
        node.remove_target(&id);
    }
}

async fn probe_suspect(node: Rc<GatewayNode>, id: HostId) {
    let Some(target) = order_target(&node, &id) else {
        node.clear_suspicion(&id);
        return;
    };
    if target.fetch_report(&*node, REPORT_TIMEOUT).await.is_ok() {
        node.clear_suspicion(&id);
    }
}

/// Reads an engine's state directly, ahead of the registry. Returns the membership that it reports,
/// or `None` if it does not respond; it is suspected then, unless it has asked for a backoff.
pub async fn refresh_host(
    node: &GatewayNode,
    target: OrderTarget,
) -> Option<Option<MembershipKey>> {
    let requested_at = node.now();
    match target.fetch_report(node, REPORT_TIMEOUT).await {
        Ok(report) => {
            let membership = report.status.membership.as_ref();
            let membership = membership.map(ReplicaMembership::key);
            apply_report(node, &target.id, requested_at, report);
            Some(membership)
        }
        Err(HostError::Barred) => None,
        Err(error) => {
            node.suspect(&target.id, (&error).into(), &error.to_string());
            None
        }
    }
}

/// Applies an engine's report ahead of the registry.
fn apply_report(node: &GatewayNode, id: &HostId, requested_at: Duration, report: HostReport) {
    node.apply_host_report(id, requested_at, |entry| {
        entry.boot = report.status.boot;
        entry.loaded = report.status.loaded;
        entry.staged = report.status.staged;
        entry.membership = report.status.membership;
    });
}

/// Reads the state of an engine that rejected a request because it is not the head of a serving
/// replica.
pub fn refresh_refusing(node: &Rc<GatewayNode>, id: &HostId) {
    spawn_refresh(node, id);
}

/// Reads the state of an engine whose registry entry contradicts what it confirmed.
pub fn refresh_contradicted(node: &Rc<GatewayNode>, id: &HostId) {
    if !node.is_suspected(id) {
        spawn_refresh(node, id);
    }
}

fn spawn_refresh(node: &Rc<GatewayNode>, id: &HostId) {
    let Some(target) = order_target(node, id) else {
        return;
    };
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        refresh_host(&node, target).await;
    });
}

/// Address for orders and reports of a known target; `None` if it is unknown.
pub fn order_target(node: &GatewayNode, id: &HostId) -> Option<OrderTarget> {
    node.registry(|registry| {
        let entry = registry.get(id)?;
        Some(OrderTarget {
            id: entry.id.clone(),
            address: entry.address,
        })
    })
}
