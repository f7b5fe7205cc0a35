//! The path of a connection on which a response arrives.

use domain::HostId;
use serving::stall::PROGRESS_WINDOW;

use crate::node::GatewayNode;
use crate::tunnel::TargetConnection;

/// Path of a connection on which a response arrives.
#[derive(Debug)]
pub struct ConnectionPath {
    /// Target that the node's own connection leads to; `None` for a tunnel.
    own_to: Option<HostId>,
}

impl ConnectionPath {
    /// Path of a connection to a target.
    #[must_use]
    pub fn of(host: &HostId, connection: &TargetConnection) -> Self {
        Self {
            own_to: (!connection.is_tunnelled()).then(|| host.clone()),
        }
    }

    /// Completes once the connection is probably dead: it is the node's own, its path is lost, and it
    /// has been silent since.
    pub async fn silent(&self, node: &GatewayNode) {
        match &self.own_to {
            Some(host) => node.path_silent(host).await,
            None => std::future::pending().await,
        }
        tokio::time::sleep(PROGRESS_WINDOW).await;
    }
}
