//! Confirms failures of targets that this node can't vouch for.
//!
//! A node that has heard nothing from any target lately may be partitioned from all, and the nodes that
//! it asks may be, too. Neither may then take a target for lost: others would lose a replica that
//! serves them.

use std::rc::Rc;
use std::time::Duration;

use domain::HostId;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use serving::hashing::stable_hash;
use serving::target_paths::PathLoss;
use web::HttpConnection;

use super::connect::connect_target;
use super::connection::ConnectLimits;
use super::relays::connect_through_relay;
use crate::node::{GatewayNode, TargetDoubt};

/// Number of other targets that are tried to learn whether this node reaches any.
const CONTACT_TARGETS: usize = 3;

/// Timeout for these connections.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(150);

/// Whether this node reaches any target other than `except` itself, so that the path to that one alone
/// may be lost in this way.
pub(super) async fn confirm_contact(node: &GatewayNode, except: &HostId, loss: PathLoss) -> bool {
    if node.has_contact(loss) {
        return true;
    }
    let mut tried: FuturesUnordered<_> = other_targets(node, except)
        .into_iter()
        .map(|(id, address)| async move {
            let connected = HttpConnection::connect(address, CONTACT_TIMEOUT).await;
            connected.is_ok().then_some(id)
        })
        .collect();
    while let Some(connected) = tried.next().await {
        if let Some(id) = connected {
            node.record_path_connected(&id);
            return true;
        }
    }
    false
}

/// A few targets, others each time.
fn other_targets(node: &GatewayNode, except: &HostId) -> Vec<(HostId, std::net::SocketAddr)> {
    let now = node.now();
    let mut others: Vec<(HostId, std::net::SocketAddr)> = node.registry(|registry| {
        let targets = registry.targets().filter(|entry| entry.id != *except);
        let targets = targets.filter(|entry| !node.is_suspected(&entry.id));
        targets
            .map(|entry| (entry.id.clone(), entry.address))
            .collect()
    });
    others.sort_by_cached_key(|(id, _)| stable_hash(&(id.as_str(), now)));
    others.truncate(CONTACT_TARGETS);
    others
}

/// Confirms doubts about targets, or drops them; never returns.
pub async fn confirm_doubts(node: Rc<GatewayNode>) {
    loop {
        let doubted = node.doubted.notified();
        for doubt in node.take_doubts() {
            tokio::task::spawn_local(confirm_doubt(Rc::clone(&node), doubt));
        }
        doubted.await;
    }
}

async fn confirm_doubt(node: Rc<GatewayNode>, doubt: TargetDoubt) {
    let id = &doubt.host;
    let loss = doubt.failure.into();
    if confirm_contact(&node, id, loss).await {
        node.suspect(id, doubt.failure, &doubt.reason);
        return;
    }
    let limits = ConnectLimits::both(CONTACT_TIMEOUT);
    match connect_through_relay(&node, id, limits).await {
        Ok(_) => node.record_path_lost(id, loss),
        Err(denial) if denial.is_of_target() => {
            node.record_target_denied(id);
            node.suspect(id, doubt.failure, &doubt.reason);
        }
        Err(_) => {}
    }
    // What other nodes tell of further targets shows whether this one is partitioned from all.
    for (other, address) in other_targets(&node, id) {
        drop(connect_target(&node, &other, address, limits).await);
    }
}
