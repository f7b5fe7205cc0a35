//! Connects to a target directly, or through another node if the direct path is lost.

use std::net::SocketAddr;
use std::time::Duration;

use adapter::HostConnector;
use domain::HostId;
use serving::target_paths::PathLoss;
use tokio::time::timeout;
use web::{ConnectionError, HttpConnection};
use wire::tunnel::TunnelDenial;

use super::relays::connect_through_relay;
use crate::node::GatewayNode;

/// Time after which other nodes are asked while a direct connection is not established. Targets are
/// less than a millisecond away.
const DIRECT_HEAD_START: Duration = Duration::from_millis(100);

/// A connection to a target.
#[derive(Debug)]
pub struct TargetConnection {
    /// The connection.
    pub http: HttpConnection,
    /// Whether it leads through another node. Such a connection is used for one request: the other
    /// node may stop once it carries none.
    pub is_tunnelled: bool,
}

impl TargetConnection {
    /// A connection of this node's own.
    #[must_use]
    pub fn direct(http: HttpConnection) -> Self {
        Self {
            http,
            is_tunnelled: false,
        }
    }

    fn tunnelled(http: HttpConnection) -> Self {
        Self {
            http,
            is_tunnelled: true,
        }
    }
}

/// Connects to a target; a direct connection must be established within `connect_limit`, and a tunnel
/// is used for at most `lifetime`.
///
/// # Errors
///
/// [`ConnectionError`] if neither this node nor one of those asked reaches the target; nothing was
/// sent. [`ConnectionError::Refused`] if it refuses the connections of those that it responds to.
pub async fn connect_target(
    node: &GatewayNode,
    id: &HostId,
    address: SocketAddr,
    connect_limit: Duration,
    lifetime: Duration,
) -> Result<TargetConnection, ConnectionError> {
    if node.is_path_lost(id) {
        match connect_through_relay(node, id, lifetime).await {
            Ok(http) => return Ok(TargetConnection::tunnelled(http)),
            Err(TunnelDenial::Unavailable) => {}
            Err(_) => node.record_target_denied(id),
        }
        return connect_directly(node, id, address, connect_limit).await;
    }
    let direct = connect_directly(node, id, address, connect_limit);
    tokio::pin!(direct);
    let error = match timeout(DIRECT_HEAD_START, direct.as_mut()).await {
        Ok(Ok(connection)) => return Ok(connection),
        Ok(Err(error)) => error,
        Err(_) => {
            // A path that is only slow, or lost one packet, is used once it is established.
            let relayed = relay_lost(node, id, PathLoss::Silent, lifetime);
            tokio::pin!(relayed);
            let denied = tokio::select! {
                connection = direct.as_mut() => match connection {
                    Ok(connection) => return Ok(connection),
                    Err(error) => {
                        let relayed = relayed.as_mut().await;
                        return relayed.map_err(|denial| merge_errors(error, denial));
                    }
                },
                relayed = relayed.as_mut() => relayed,
            };
            return match denied {
                Ok(connection) => Ok(connection),
                Err(denial) => direct.await.map_err(|error| merge_errors(error, denial)),
            };
        }
    };
    let loss = match error {
        ConnectionError::Refused => PathLoss::Refused,
        _ => PathLoss::Silent,
    };
    let relayed = relay_lost(node, id, loss, lifetime).await;
    relayed.map_err(|denial| merge_errors(error, denial))
}

async fn connect_directly(
    node: &GatewayNode,
    id: &HostId,
    address: SocketAddr,
    limit: Duration,
) -> Result<TargetConnection, ConnectionError> {
    let http = HttpConnection::connect(address, limit).await?;
    node.record_path_connected(id);
    Ok(TargetConnection::direct(http))
}

/// Connects through another node to a target whose direct path seems lost, and records whether it is.
async fn relay_lost(
    node: &GatewayNode,
    id: &HostId,
    loss: PathLoss,
    lifetime: Duration,
) -> Result<TargetConnection, TunnelDenial> {
    if node.is_target_denied(id) {
        return Err(TunnelDenial::Unavailable);
    }
    match connect_through_relay(node, id, lifetime).await {
        Ok(http) => {
            node.record_path_lost(id, loss);
            Ok(TargetConnection::tunnelled(http))
        }
        Err(denial) => {
            if denial != TunnelDenial::Unavailable {
                node.record_target_denied(id);
            }
            Err(denial)
        }
    }
}

/// The error of a target that neither this node nor another one reaches. A refusal tells more than
/// silence, which may be a loss on the path of either.
fn merge_errors(own: ConnectionError, denial: TunnelDenial) -> ConnectionError {
    match denial {
        TunnelDenial::TargetRefuses => ConnectionError::Refused,
        TunnelDenial::Unavailable | TunnelDenial::TargetUnreachable => own,
    }
}

impl HostConnector for GatewayNode {
    async fn connect(
        &self,
        id: &HostId,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<HttpConnection, ConnectionError> {
        let connection = connect_target(self, id, address, limit, limit).await?;
        Ok(connection.http)
    }
}
