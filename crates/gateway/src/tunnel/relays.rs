//! Asks other nodes to connect to a target.

use std::time::Duration;

use domain::{HostId, NodeId};
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use peers::error::LinkError;
use peers::{TunnelLink, TunnelResponse, TunnelStream};
use tokio::net::TcpStream;
use tokio::time::timeout;
use web::HttpConnection;
use wire::peer::encode_message;
use wire::tunnel::{TunnelDenial, TunnelRequest};

use super::connection::{ConnectLimits, TargetConnection};
use super::state::RelayLink;
use crate::feed::FeedMember;
use crate::node::GatewayNode;

/// Time after which the next node is asked, while those before it have not answered. A relay that is
/// partitioned itself and doesn't know it yet answers late.
const HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Time within which a node must have connected to the target, or have opened the link and given the
/// reason why it can't.
const RELAY_TIMEOUT: Duration = Duration::from_millis(200);

/// Connects to a target through the first of a few nodes in the allowed regions that reaches it.
///
/// # Errors
///
/// What the nodes tell of the target.
pub(super) async fn connect_through_relay(
    node: &GatewayNode,
    id: &HostId,
    limits: ConnectLimits<'_>,
) -> Result<TargetConnection, TunnelDenial> {
    let known = node.tunnels.relays();
    let mut relays: Vec<&FeedMember> = Vec::new();
    for relay in known.iter() {
        let allows = |allowed| node.regions.allows_relay(allowed, &relay.domain);
        if limits.regions.is_none_or(allows) {
            relays.push(&relay.member);
        }
    }
    let names: Vec<NodeId> = relays.iter().map(|relay| relay.node.clone()).collect();
    let order = node.tunnels.order.borrow_mut().next(&names, node.now());
    let mut waiting = order.into_iter();
    let mut asked = FuturesUnordered::new();
    let mut denial = TunnelDenial::Unavailable;
    loop {
        if let Some(index) = waiting.next() {
            asked.push(ask_relay(node, relays[index], id, limits.lifetime));
        } else if asked.is_empty() {
            node.metrics.record_tunnel(denial.name());
            return Err(denial);
        }
        let has_more = waiting.len() > 0;
        tokio::select! {
            Some(answer) = asked.next() => match answer {
                Ok(connection) => {
                    node.metrics.record_tunnel("connected");
                    return Ok(connection);
                }
                Err(other) => denial = denial.max(other),
            },
            () = tokio::time::sleep(HEDGE_DELAY), if has_more => {}
        }
    }
}

async fn ask_relay(
    node: &GatewayNode,
    relay: &FeedMember,
    id: &HostId,
    lifetime: Duration,
) -> Result<TargetConnection, TunnelDenial> {
    let request = TunnelRequest {
        host: id.clone(),
        lifetime_ms: u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX),
    };
    let asking = request_tunnel(node, relay, &request);
    let denial = match timeout(RELAY_TIMEOUT, asking).await {
        Ok(Ok(TunnelResponse::Connected(stream))) => {
            node.tunnels.order.borrow_mut().record_success(&relay.node);
            let http = over_tunnel(stream).await?;
            return Ok(TargetConnection::tunnelled(http, relay.node.clone()));
        }
        Ok(Ok(TunnelResponse::Refused(status))) => TunnelDenial::from(status.as_u16()),
        Ok(Err(error)) => {
            if matches!(error, LinkError::Auth(_)) {
                // It has restarted, and its new key is in its heartbeat.
                node.feed.key_changed.notify_one();
            }
            TunnelDenial::Unavailable
        }
        Err(_) => {
            let link = node.tunnels.link(&relay.node);
            node.tunnels.forget_link(&relay.node, &link);
            TunnelDenial::Unavailable
        }
    };
    if denial == TunnelDenial::Unavailable {
        let mut order = node.tunnels.order.borrow_mut();
        order.record_failure(&relay.node, node.now());
    }
    Err(denial)
}

async fn over_tunnel(stream: TunnelStream) -> Result<HttpConnection, TunnelDenial> {
    let connection = HttpConnection::over(stream).await;
    connection.map_err(|_| TunnelDenial::Unavailable)
}

/// Requests a tunnel over the link to a relay. A link that has been idle may have been closed; nothing
/// was sent to the target then, so a new one is opened.
async fn request_tunnel(
    node: &GatewayNode,
    relay: &FeedMember,
    request: &TunnelRequest,
) -> Result<TunnelResponse, LinkError> {
    let payload = encode_message(request)?;
    let link = node.tunnels.link(&relay.node);
    let was_open = link.initialized();
    match request_on(node, relay, &link, payload.clone()).await {
        Err(_) if was_open => {
            node.tunnels.forget_link(&relay.node, &link);
            let link = node.tunnels.link(&relay.node);
            request_on(node, relay, &link, payload).await
        }
        outcome => outcome,
    }
}

async fn request_on(
    node: &GatewayNode,
    relay: &FeedMember,
    link: &RelayLink,
    payload: Vec<u8>,
) -> Result<TunnelResponse, LinkError> {
    let requested = async {
        let open = link.get_or_try_init(|| open_link(node, relay)).await?;
        open.request_stream(payload).await
    };
    let outcome = requested.await;
    if outcome.is_err() {
        node.tunnels.forget_link(&relay.node, link);
    }
    outcome
}

async fn open_link(node: &GatewayNode, relay: &FeedMember) -> Result<TunnelLink, LinkError> {
    let stream = TcpStream::connect(relay.address).await?;
    stream.set_nodelay(true)?;
    let own = &node.settings.node;
    TunnelLink::open(stream, &relay.key, own, &relay.node).await
}
