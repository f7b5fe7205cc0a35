//! Connects to targets for other nodes.

use std::time::Duration;

use bytes::Bytes;
use domain::HostId;
use events::{EventCode, LogLine};
use h2::RecvStream;
use h2::server::SendResponse;
use http::StatusCode;
use peers::tunnel::pass_on;
use serving::target_paths::PathLoss;
use tokio::net::TcpStream;
use tokio::time::timeout;
use wire::tunnel::{TunnelDenial, TunnelRequest};

use super::contact::confirm_contact;
use crate::node::GatewayNode;

/// Timeout for connecting to a target. The asking node waits a little longer for the reason.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a tunnel is kept beyond its announced lifetime, for the last bytes.
const LIFETIME_MARGIN: Duration = Duration::from_secs(1);

/// Maximum lifetime of a tunnel, whatever the request says.
const MAX_LIFETIME: Duration = Duration::from_mins(10);

/// Shortest time between two log lines about requests for tunnels that found no place.
const FULL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts a tunnel until dropped.
struct ServedTunnel<'a>(&'a GatewayNode);

impl<'a> ServedTunnel<'a> {
    fn begin(node: &'a GatewayNode) -> Self {
        node.tunnels.begin_serving();
        Self(node)
    }
}

impl Drop for ServedTunnel<'_> {
    fn drop(&mut self) {
        self.0.tunnels.end_serving();
        self.0.activity_ended.notify_waiters();
    }
}

/// Serves one tunnel to its end.
pub async fn serve_tunnel(
    node: &GatewayNode,
    request: TunnelRequest,
    body: RecvStream,
    responder: SendResponse<Bytes>,
) {
    let _served = ServedTunnel::begin(node);
    let lifetime = Duration::from_millis(u64::from(request.lifetime_ms)) + LIFETIME_MARGIN;
    let connecting = async {
        let connected = connect(node, &request.host).await;
        connected.map_err(|denial| {
            StatusCode::from_u16(denial.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
        })
    };
    pass_on(responder, body, connecting, lifetime.min(MAX_LIFETIME)).await;
}

/// Counts a request for a tunnel that found no place; the other node asks a further one.
fn record_full(node: &GatewayNode) {
    node.metrics.record_unplaced("tunnel");
    if let Some(refused) = node.tunnels.count_full(node.now(), FULL_LOG_INTERVAL) {
        let line = LogLine::new(EventCode::TunnelsFull).number("refused", refused);
        node.log(&line);
    }
}

async fn connect(node: &GatewayNode, id: &HostId) -> Result<TcpStream, TunnelDenial> {
    if node.tunnels.served() > node.max_tunnels {
        record_full(node);
        return Err(TunnelDenial::Unavailable);
    }
    let is_available = !node.is_shutting_down() && !node.is_partitioned();
    let entry = node.registry(|registry| registry.get(id).cloned());
    let Some(entry) = entry.filter(|_| is_available) else {
        return Err(TunnelDenial::Unavailable);
    };
    if node.recheck_send(&entry).is_err() {
        return Err(TunnelDenial::TargetBarred);
    }
    let address = entry.address;
    let (denial, loss) = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(target)) => {
            node.record_path_connected(id);
            // If the option can't be set, the connection still works but may add latency.
            drop(target.set_nodelay(true));
            return Ok(target);
        }
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            (TunnelDenial::TargetRefuses, PathLoss::Refused)
        }
        Ok(Err(_)) | Err(_) => (TunnelDenial::TargetUnreachable, PathLoss::Silent),
    };
    if confirm_contact(node, id, loss).await {
        Err(denial)
    } else {
        Err(TunnelDenial::Unavailable)
    }
}
