//! Passes on the changes of the store to the nodes that follow this one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use domain::{FastMap, StoreEra};
use events::{EventCode, LogLine};
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, StatusCode};
use peers::auth::FrameAuthenticator;
use peers::error::LinkError;
use peers::transport::{self, MAX_STREAMS, read_stream, respond_error, respond_ok};
use peers::tunnel::verify_request;
use peers::{AcceptedConnections, ConnectionPlace, STATEMENT_PATH, TUNNEL_PATH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use wire::feed::{
    FeedDelta, FeedLane, FeedRequest, FeedResponse, FeedTable, MAX_FEED_REQUEST_BYTES,
    MAX_FEED_TABLES,
};
use wire::packed::encode_packed;
use wire::peer::{MAX_HELLO_BYTES, PeerHello, decode_message, encode_message, negotiate_version};
use wire::tunnel::MAX_TUNNEL_REQUEST_BYTES;

use super::messages::{encode_delta, encode_millis, known_version};
use crate::accept::{ConnectionAcceptor, ListenFace};
use crate::node::GatewayNode;
use crate::tunnel::{record_tunnel_statement, serve_tunnel};

/// Maximum time that a response waits for a change, whatever the request says.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Difference from which a confirmation counts as a newer one; the times of one and the same differ by
/// its way through the nodes.
const MIN_CONFIRMATION_STEP: Duration = Duration::from_millis(100);

/// When the copies that were passed on last had been confirmed, by table.
type PassedOn = FastMap<FeedTable, Duration>;

/// State of an accepted connection.
struct LinkSession {
    place: ConnectionPlace,
    /// None before the hello.
    auth: Option<FrameAuthenticator>,
    passed_on: PassedOn,
}

/// Accepts links of other nodes; never returns.
pub async fn serve_links(node: Rc<GatewayNode>, listener: TcpListener) {
    let connections = AcceptedConnections::default();
    let mut acceptor = ConnectionAcceptor::new(&node, listener, ListenFace::Links);
    loop {
        let (stream, address) = acceptor.accept().await;
        let node = Rc::clone(&node);
        connections.admit(|place| {
            let serving = async move {
                let outcome = serve_link(&node, stream, place).await;
                // Links also end when the other node stops or changes its source.
                if let Err(error @ (LinkError::Auth(_) | LinkError::TooLarge(_))) = outcome {
                    log_refused(&node, address, &error);
                }
            };
            tokio::task::spawn_local(serving).abort_handle()
        });
    }
}

async fn serve_link(
    node: &GatewayNode,
    stream: TcpStream,
    place: ConnectionPlace,
) -> Result<(), LinkError> {
    let proof = place.proof();
    let session = Mutex::new(LinkSession {
        place,
        auth: None,
        passed_on: FastMap::default(),
    });
    let session = &session;
    transport::serve_requests(
        stream,
        MAX_STREAMS,
        &proof,
        |request, responder| async move {
            let state = session.lock().await;
            match request.uri().path() {
                TUNNEL_PATH => handle_tunnel(node, state, request, responder).await,
                STATEMENT_PATH => handle_statement(node, state, &request, responder),
                _ => handle_request(node, state, request, responder).await,
            }
        },
    )
    .await
}

async fn handle_request(
    node: &GatewayNode,
    mut session: MutexGuard<'_, LinkSession>,
    request: Request<RecvStream>,
    responder: SendResponse<Bytes>,
) -> Result<(), LinkError> {
    let session = &mut *session;
    let path = request.uri().path().to_owned();
    let body = request.into_body();
    match (path.as_str(), &mut session.auth) {
        ("/hello", empty @ None) => {
            let bytes = read_stream(body, MAX_HELLO_BYTES).await?;
            let hello: PeerHello = decode_message::<_, MAX_HELLO_BYTES>(&bytes)?;
            let Some(version) = negotiate_version(&hello) else {
                return respond_error(responder, StatusCode::UPGRADE_REQUIRED);
            };
            let own = &node.settings.node;
            let (auth, welcome) = transport::accept_hello(&node.feed.key, own, &hello, version);
            *empty = Some(auth);
            respond_ok(responder, encode_message(&welcome)?)
        }
        (path, Some(auth)) => {
            let Some(lane) = FeedLane::from_path(path) else {
                return respond_error(responder, StatusCode::NOT_FOUND);
            };
            let bytes = read_stream(body, MAX_FEED_REQUEST_BYTES).await?;
            let frame = auth.verify::<MAX_FEED_REQUEST_BYTES>(&bytes)?;
            if !session.place.record_proof() {
                return respond_error(responder, StatusCode::SERVICE_UNAVAILABLE);
            }
            let request: FeedRequest = decode_message::<_, MAX_FEED_REQUEST_BYTES>(&frame.payload)?;
            let received_at = node.now();
            observe_eras(node, &request);
            let passed_on = &mut session.passed_on;
            wait_for_change(node, &request, lane, passed_on).await;
            let response = build_response(node, &request, lane, received_at);
            record_passed_on(node, &request, passed_on);
            respond_ok(responder, auth.sign(encode_packed(&response)?)?)
        }
        _ => respond_error(responder, StatusCode::NOT_FOUND),
    }
}

/// Serves a tunnel. Its bytes pass beside the other requests of the link.
async fn handle_tunnel(
    node: &GatewayNode,
    mut session: MutexGuard<'_, LinkSession>,
    request: Request<RecvStream>,
    responder: SendResponse<Bytes>,
) -> Result<(), LinkError> {
    let Some(auth) = &mut session.auth else {
        return respond_error(responder, StatusCode::NOT_FOUND);
    };
    let payload = verify_request::<MAX_TUNNEL_REQUEST_BYTES>(auth, request.headers())?;
    if !session.place.record_proof() {
        return respond_error(responder, StatusCode::SERVICE_UNAVAILABLE);
    }
    drop(session);
    let tunnel = decode_message::<_, MAX_TUNNEL_REQUEST_BYTES>(&payload)?;
    serve_tunnel(node, tunnel, request.into_body(), responder).await;
    Ok(())
}

/// Takes in what a target stated on a tunnel through this node.
fn handle_statement(
    node: &GatewayNode,
    mut session: MutexGuard<'_, LinkSession>,
    request: &Request<RecvStream>,
    responder: SendResponse<Bytes>,
) -> Result<(), LinkError> {
    let Some(auth) = &mut session.auth else {
        return respond_error(responder, StatusCode::NOT_FOUND);
    };
    let payload = verify_request::<MAX_TUNNEL_REQUEST_BYTES>(auth, request.headers())?;
    let statement = decode_message::<_, MAX_TUNNEL_REQUEST_BYTES>(&payload)?;
    record_tunnel_statement(node, &statement);
    respond_ok(responder, Vec::new())
}

/// Takes in the eras of the store that another node knows, which may have been shown to it first.
fn observe_eras(node: &GatewayNode, request: &FeedRequest) {
    for position in &request.tables {
        let era = StoreEra(position.era);
        if era > node.eras.current() {
            node.eras.observe_node(era, "a node that follows this one");
        }
    }
}

/// Waits until there is something to pass on that the sender should know at once.
async fn wait_for_change(
    node: &GatewayNode,
    request: &FeedRequest,
    lane: FeedLane,
    passed_on: &PassedOn,
) {
    let wait = Duration::from_millis(u64::from(request.wait_ms)).min(MAX_WAIT);
    let changed = async {
        loop {
            let advanced = node.feed.advanced.notified();
            if node.feed.is_lane_cut_off(lane) || has_news(node, request, passed_on) {
                return;
            }
            advanced.await;
        }
    };
    drop(tokio::time::timeout(wait, changed).await);
}

/// Whether a table has changed, or was confirmed again. The followers' copies would otherwise be older by
/// their wait at each level of the tree.
fn has_news(node: &GatewayNode, request: &FeedRequest, passed_on: &PassedOn) -> bool {
    request.tables.iter().any(|position| {
        let is_urgent = position.table != FeedTable::Nodes;
        let known = known_version(*position);
        let copy = node.feed.copy(position.table).borrow();
        let is_confirmed = passed_on
            .get(&position.table)
            .is_some_and(|before| copy.confirmed_at() > *before + MIN_CONFIRMATION_STEP);
        is_urgent && (is_confirmed || copy.has_news(known))
    })
}

fn record_passed_on(node: &GatewayNode, request: &FeedRequest, passed_on: &mut PassedOn) {
    for position in &request.tables {
        let confirmed_at = node.feed.copy(position.table).borrow().confirmed_at();
        passed_on.insert(position.table, confirmed_at);
    }
}

fn build_response(
    node: &GatewayNode,
    request: &FeedRequest,
    lane: FeedLane,
    received_at: Duration,
) -> FeedResponse {
    let now = node.now();
    let mut tables: Vec<FeedDelta> = Vec::new();
    for position in request.tables.iter().take(MAX_FEED_TABLES) {
        let copy = node.feed.copy(position.table).borrow();
        tables.extend(encode_delta(&copy, *position, now));
    }
    let failed_at = node.feed.outages.borrow().failed_at();
    let failed_ago = failed_at.map(|at| now.saturating_sub(at));
    FeedResponse {
        is_cut_off: node.feed.is_lane_cut_off(lane),
        held_ms: encode_millis(now.saturating_sub(received_at)),
        failed_ms_ago: failed_ago.map(encode_millis),
        tables,
    }
}

fn log_refused(node: &GatewayNode, address: SocketAddr, error: &LinkError) {
    node.metrics.record_link_refused();
    let line = LogLine::new(EventCode::FeedLinkRefused)
        .text("address", &address.to_string())
        .text("reason", &error.to_string());
    node.log(&line);
}
