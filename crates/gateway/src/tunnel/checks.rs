//! Checks paths: those that are lost until they work again, and those on which requests hang.

use std::rc::Rc;
use std::time::Duration;

use domain::HostId;
use serving::TargetEntry;
use serving::stall::PROGRESS_WINDOW;
use web::HttpConnection;

use super::connect::connect_target;
use super::connection::ConnectLimits;
use crate::admitted::AdmittedRequest;
use crate::node::GatewayNode;

/// Interval for looking for paths that are due for a check.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for the connection that checks a path.
const CHECK_TIMEOUT: Duration = Duration::from_millis(350);

/// Time after which the path to a plain target is checked that has not responded to a call. Heads are
/// probed for lack of progress.
const SLOW_CALL_DELAY: Duration = Duration::from_millis(300);

/// Checks lost paths until they work again; never returns.
pub async fn check_lost_paths(node: Rc<GatewayNode>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        for id in node.due_path_checks() {
            tokio::task::spawn_local(check_directly(Rc::clone(&node), id));
        }
    }
}

async fn check_directly(node: Rc<GatewayNode>, id: HostId) {
    let address = node.registry(|registry| registry.get(&id).map(|entry| entry.address));
    let Some(address) = address else {
        node.forget_path(&id);
        return;
    };
    if HttpConnection::connect(address, CHECK_TIMEOUT)
        .await
        .is_ok()
    {
        node.record_path_connected(&id);
    }
}

/// Watches a request that waits for a response on a connection of this node's own; completes once the
/// connection is probably dead and the request may be sent again.
pub async fn watch_path(node: &Rc<GatewayNode>, request: &AdmittedRequest, target: &TargetEntry) {
    if target.membership.is_none() {
        tokio::time::sleep(SLOW_CALL_DELAY).await;
        if node.receives_nothing() {
            tokio::task::spawn_local(check_slow_target(Rc::clone(node), target.clone()));
        }
    }
    if !request.is_retryable() {
        // It may have been executed, and its response may still come.
        return std::future::pending().await;
    }
    node.path_silent(&target.id).await;
    tokio::time::sleep(PROGRESS_WINDOW).await;
}

async fn check_slow_target(node: Rc<GatewayNode>, target: TargetEntry) {
    // The connection is closed at once; what it shows is recorded with the path.
    let limits = ConnectLimits::both(CHECK_TIMEOUT);
    let connected = connect_target(&node, &target.id, target.address, limits).await;
    drop(connected);
}
