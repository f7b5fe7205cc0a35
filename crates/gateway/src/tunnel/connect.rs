//! Connects to a target directly, or through another node if the direct path is lost.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use adapter::{HostConnector, TargetStatements};
use domain::HostId;
use http::StatusCode;
use serving::TargetEntry;
use serving::target_paths::PathLoss;
use tokio::time::timeout;
use web::{ConnectionError, HttpConnection};
use wire::tunnel::TunnelDenial;

use super::connection::{ConnectLimits, TargetConnection};
use super::relays::connect_through_relay;
use crate::node::{FailureKind, GatewayNode};

/// Time after which other nodes are asked while a direct connection is not established. Targets are
/// less than a millisecond away.
const DIRECT_HEAD_START: Duration = Duration::from_millis(100);

/// Connects to a target.
///
/// # Errors
///
/// [`ConnectionError`] if neither this node nor one of those asked reaches the target; nothing was
/// sent. [`ConnectionError::Refused`] if it refuses the connections of those that it responds to.
pub async fn connect_target(
    node: &GatewayNode,
    id: &HostId,
    address: SocketAddr,
    limits: ConnectLimits<'_>,
) -> Result<TargetConnection, ConnectionError> {
    if node.is_path_lost(id) {
        return connect_lost(node, id, address, limits).await;
    }
    let direct = connect_directly(node, id, address, limits.connect);
    tokio::pin!(direct);
    match timeout(DIRECT_HEAD_START, direct.as_mut()).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => {
            let loss = FailureKind::from(&error).into();
            let relayed = relay_failed(node, id, loss, limits).await;
            relayed.map_err(|denial| merge_errors(error, denial))
        }
        Err(_) => {
            let relayed = relay_failed(node, id, PathLoss::Silent, limits);
            first_connected(direct, relayed).await
        }
    }
}

/// Connects to a target whose direct path is known to be lost.
async fn connect_lost(
    node: &GatewayNode,
    id: &HostId,
    address: SocketAddr,
    limits: ConnectLimits<'_>,
) -> Result<TargetConnection, ConnectionError> {
    match connect_through_relay(node, id, limits).await {
        Ok(connection) => return Ok(connection),
        Err(denial) if denial.is_of_target() => node.record_target_denied(id),
        Err(_) => {}
    }
    connect_directly(node, id, address, limits.connect).await
}

/// The first of the two connections that is established. A direct path that is only slow, or has lost one
/// packet, is used once it works.
async fn first_connected(
    mut direct: Pin<&mut impl Future<Output = Result<TargetConnection, ConnectionError>>>,
    relayed: impl Future<Output = Result<TargetConnection, TunnelDenial>>,
) -> Result<TargetConnection, ConnectionError> {
    tokio::pin!(relayed);
    tokio::select! {
        connected = direct.as_mut() => match connected {
            Ok(connection) => Ok(connection),
            Err(error) => relayed.await.map_err(|denial| merge_errors(error, denial)),
        },
        connected = relayed.as_mut() => match connected {
            Ok(connection) => Ok(connection),
            Err(denial) => direct.await.map_err(|error| merge_errors(error, denial)),
        },
    }
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

/// Connects through another node to a target to which a direct connection failed, and records whether
/// the path to it is lost or the target itself.
async fn relay_failed(
    node: &GatewayNode,
    id: &HostId,
    loss: PathLoss,
    limits: ConnectLimits<'_>,
) -> Result<TargetConnection, TunnelDenial> {
    if node.is_target_denied(id) {
        return Err(TunnelDenial::Unavailable);
    }
    match connect_through_relay(node, id, limits).await {
        Ok(connection) => {
            node.record_path_lost(id, loss);
            Ok(connection)
        }
        Err(denial) => {
            if denial.is_of_target() {
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
        TunnelDenial::Unavailable
        | TunnelDenial::TargetBarred
        | TunnelDenial::TargetUnreachable => own,
    }
}

impl HostConnector for GatewayNode {
    async fn connect(
        &self,
        id: &HostId,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<HttpConnection, ConnectionError> {
        let connection = connect_target(self, id, address, ConnectLimits::both(limit)).await?;
        Ok(connection.http)
    }

    fn may_call(&self, id: &HostId) -> bool {
        self.take_call(id).is_ok()
    }

    fn record_statements(&self, id: &HostId, status: StatusCode, statements: &TargetStatements) {
        let process = self.registry(|registry| registry.get(id).map(TargetEntry::process));
        if let Some(process) = process {
            self.record_process_statements(&process, status, statements);
        }
    }
}
