//! The accepting side of links.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use events::{EventCode, EventSubject};
use h2::server::SendResponse;
use http::{Request, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use wire::peer::{
    MAX_DIGEST_BYTES, MAX_HELLO_BYTES, PeerDigest, PeerHello, PeerWelcome, decode_message,
    encode_message, negotiate_version,
};

use crate::accepted::{AcceptedConnections, ConnectionPlace};
use crate::auth::{AuthError, FrameAuthenticator};
use crate::error::LinkError;
use crate::evidence::EvidenceExchange;
use crate::link::LinkContext;
use crate::peer_view::PeerView;
use crate::transport::{self, MAX_REQUESTS, read_stream, respond_error, respond_ok};

/// Number of responses whose send time is kept. A peer echoes the newest one that it received.
const KEPT_RESPONSES: usize = 8;

/// Maximum age of the response that a request echoes. An older one means that the request was
/// buffered while this process or its peer was suspended, so its heartbeats are out of date.
const MAX_ECHO_AGE: Duration = Duration::from_secs(6);

/// Delay before each response to a digest, so that one peer can't use up the CPU.
const RESPONSE_DELAY: Duration = Duration::from_millis(10);

/// Delay after a failed accept, which prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts links until the task is dropped.
pub async fn accept_links<E: EvidenceExchange>(listener: TcpListener, context: LinkContext<E>) {
    let connections = AcceptedConnections::default();
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let context = context.clone();
        connections.admit(|place| {
            let serving = async move {
                let outcome = serve_connection(&context, stream, place).await;
                if let Err(LinkError::Auth(error @ AuthError::InvalidProof)) = outcome {
                    let detail = format!("{address}: {error}");
                    context.recorder.record(
                        EventCode::PeerRefused,
                        EventSubject::default(),
                        detail,
                    );
                }
            };
            tokio::spawn(serving).abort_handle()
        });
    }
}

async fn serve_connection<E: EvidenceExchange>(
    context: &LinkContext<E>,
    stream: TcpStream,
    place: ConnectionPlace,
) -> Result<(), LinkError> {
    stream.set_nodelay(true)?;
    let stream = context.gossip.traffic.wrap(stream);
    let proof = place.proof();
    let session = Mutex::new(ResponderState {
        place,
        session: None,
    });
    let session = &session;
    transport::serve_requests(
        stream,
        MAX_REQUESTS,
        &proof,
        |request, responder| async move {
            let mut state = session.lock().await;
            handle_request(context, &mut state, request, responder).await
        },
    )
    .await
}

/// State of an accepted connection.
struct ResponderState {
    place: ConnectionPlace,
    /// None before the hello.
    session: Option<ResponderSession>,
}

/// State of an accepted connection after the hello.
struct ResponderSession {
    auth: FrameAuthenticator,
    peer_view: PeerView,
    responses: VecDeque<SentResponse>,
}

/// The sequence number and send time of a response.
struct SentResponse {
    sequence: u64,
    sent_at: Instant,
}

impl ResponderSession {
    /// Returns when the echoed response was sent, which is before the request was built. None if
    /// the response is no longer kept.
    fn response_time(&self, acked_sequence: u64) -> Option<Instant> {
        self.responses
            .iter()
            .find(|response| response.sequence == acked_sequence)
            .map(|response| response.sent_at)
    }

    fn record_response(&mut self) {
        if self.responses.len() == KEPT_RESPONSES {
            self.responses.pop_front();
        }
        self.responses.push_back(SentResponse {
            sequence: self.auth.last_sent(),
            sent_at: Instant::now(),
        });
    }
}

async fn handle_request<E: EvidenceExchange>(
    context: &LinkContext<E>,
    state: &mut ResponderState,
    request: Request<h2::RecvStream>,
    responder: SendResponse<Bytes>,
) -> Result<(), LinkError> {
    let path = request.uri().path().to_owned();
    let body = request.into_body();
    let ResponderState { place, session } = state;
    match (path.as_str(), session) {
        ("/hello", empty @ None) => {
            let bytes = read_stream(body, MAX_HELLO_BYTES).await?;
            let hello: PeerHello = decode_message::<_, MAX_HELLO_BYTES>(&bytes)?;
            let Some(version) = negotiate_version(&hello) else {
                return respond_error(responder, StatusCode::UPGRADE_REQUIRED);
            };
            let (opened, welcome) = accept_hello(context, &hello, version);
            *empty = Some(opened);
            respond_ok(responder, encode_message(&welcome)?)
        }
        ("/digest", Some(session)) => {
            let bytes = read_stream(body, MAX_DIGEST_BYTES).await?;
            let frame = session.auth.verify::<MAX_DIGEST_BYTES>(&bytes)?;
            record_proof(place)?;
            let digest: PeerDigest = decode_message::<_, MAX_DIGEST_BYTES>(&frame.payload)?;
            let not_before = session
                .response_time(digest.acked_sequence)
                .ok_or(LinkError::Stale)?;
            if not_before.elapsed() > MAX_ECHO_AGE {
                return Err(LinkError::Stale);
            }
            context
                .gossip
                .apply_digest(&mut session.peer_view, digest, not_before)
                .await;
            tokio::time::sleep(RESPONSE_DELAY).await;
            let digest = context
                .gossip
                .build_digest(&mut session.peer_view, frame.sequence)
                .await;
            let signed = session.auth.sign(encode_message(&digest)?)?;
            session.record_response();
            context.gossip.traffic.count_exchange();
            respond_ok(responder, signed)
        }
        ("/snapshot", Some(session)) => {
            let bytes = read_stream(body, MAX_DIGEST_BYTES).await?;
            session.auth.verify::<MAX_DIGEST_BYTES>(&bytes)?;
            record_proof(place)?;
            let snapshot = context.gossip.config.snapshot().await;
            let json = serde_json::to_vec(&snapshot)
                .map_err(|error| LinkError::Connection(error.to_string()))?;
            let signed = session.auth.sign(json)?;
            session.record_response();
            respond_ok(responder, signed)
        }
        _ => respond_error(responder, StatusCode::NOT_FOUND),
    }
}

fn record_proof(place: &mut ConnectionPlace) -> Result<(), LinkError> {
    if place.record_proof() {
        return Ok(());
    }
    Err(LinkError::Connection("too many links".to_owned()))
}

fn accept_hello<E: EvidenceExchange>(
    context: &LinkContext<E>,
    hello: &PeerHello,
    version: u8,
) -> (ResponderSession, PeerWelcome) {
    let node = context.gossip.membership.node();
    let (auth, welcome) = transport::accept_hello(&context.key, node, hello, version);
    let mut session = ResponderSession {
        auth,
        peer_view: PeerView::default(),
        responses: VecDeque::new(),
    };
    session.record_response();
    (session, welcome)
}
