//! The connection of one attempt: an idle one, one of the node's own, or a tunnel.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::body::Incoming;
use serving::TargetEntry;
use web::ConnectionError;

use crate::admitted::AdmittedRequest;
use crate::attempt_outcome::AttemptOutcome;
use crate::node::{FailureKind, GatewayNode};
use crate::probe::probe;
use crate::tunnel::{ConnectLimits, TargetConnection, connect_target, watch_path};

/// Connection time after which an engine is probed. Targets are less than a millisecond away.
const SLOW_CONNECT_THRESHOLD: Duration = Duration::from_millis(100);

/// Timeout for connecting to a target. One that is gone does not respond at all, and the request should
/// be tried elsewhere while its client still waits.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Whether an attempt may use an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// The most recently used one, if there is any.
    Allowed,
    /// A connection has just broken. Whatever did that, as a partition does, may have broken the idle ones
    /// as well, which shows only when they are used.
    Never,
}

impl ConnectionReuse {
    /// What an attempt may use now. Idle connections are preferred, since busy targets reset new ones.
    #[must_use]
    pub fn now(node: &GatewayNode) -> Self {
        if node.has_connection_broken() {
            Self::Never
        } else {
            Self::Allowed
        }
    }
}

/// Sends a request on a connection and waits for the response head.
///
/// # Errors
///
/// [`AttemptOutcome::Ambiguous`] if the connection is probably dead and the request may be sent again;
/// waiting on would leave it no time for another target.
pub async fn send_watched(
    node: &Rc<GatewayNode>,
    request: &AdmittedRequest,
    target: &TargetEntry,
    connection: &mut TargetConnection,
    outgoing: Request<Full<Bytes>>,
) -> Result<Result<http::Response<Incoming>, ConnectionError>, AttemptOutcome> {
    let is_tunnelled = connection.is_tunnelled();
    let sending = connection.http.send(outgoing);
    if is_tunnelled {
        return Ok(sending.await);
    }
    tokio::select! {
        biased;
        sent = sending => Ok(sent),
        () = watch_path(node, request, target) => {
            Err(AttemptOutcome::Ambiguous("the path to the target is lost".to_owned()))
        }
    }
}

/// Takes a connection to a target from the pool or opens one. While a connection to an engine is
/// slow, the engine is probed concurrently; probing only after the connection failed would delay
/// the streams of a dead head by another third of a second.
///
/// # Errors
///
/// [`ConnectionError`]; nothing was sent.
pub async fn acquire_connection(
    node: &Rc<GatewayNode>,
    request: &AdmittedRequest,
    target: &TargetEntry,
    reuse: ConnectionReuse,
) -> Result<TargetConnection, ConnectionError> {
    if reuse == ConnectionReuse::Allowed
        && let Some(idle) = node.pool.take_idle(&target.id)
    {
        return Ok(TargetConnection::direct(idle));
    }
    let connecting = connect(node, request, target);
    tokio::pin!(connecting);
    if let Ok(connected) = tokio::time::timeout(SLOW_CONNECT_THRESHOLD, connecting.as_mut()).await {
        return connected;
    }
    if target.membership.is_some() {
        tokio::task::spawn_local(probe(Rc::clone(node), target.id.clone()));
    }
    connecting.await
}

/// Opens a connection without looking for an idle one.
///
/// # Errors
///
/// [`ConnectionError`]; nothing was sent.
pub async fn connect(
    node: &GatewayNode,
    request: &AdmittedRequest,
    target: &TargetEntry,
) -> Result<TargetConnection, ConnectionError> {
    let lifetime = request.time_left(node.now());
    let limits = ConnectLimits {
        connect: CONNECT_TIMEOUT,
        lifetime,
        regions: request.regions.as_ref(),
    };
    connect_target(node, &target.id, target.address, limits).await
}

/// Handles a failed connection: the process is gone, the host is gone, or the network lost the
/// connection attempt.
pub fn record_unreachable(
    node: &Rc<GatewayNode>,
    target: &TargetEntry,
    error: &ConnectionError,
) -> AttemptOutcome {
    let failure = FailureKind::from(error);
    // The engine is being probed already, and suspecting it affects a whole replica, so the probe
    // decides.
    if failure == FailureKind::Unresponsive && target.membership.is_some() {
        let now = node.now();
        node.with_load(&target.id, |load| load.record_unreachable(now));
        node.share_silence(&target.id);
    } else {
        node.suspect(&target.id, failure, &error.to_string());
    }
    AttemptOutcome::Unsent(error.to_string())
}
