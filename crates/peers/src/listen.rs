//! The answering side of the links.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use events::{EventCode, EventSubject};
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Semaphore};
use wire::peer::{
    MAX_DIGEST_BYTES, MAX_HELLO_BYTES, NONCE_BYTES, PeerDigest, PeerHello, PeerWelcome,
    common_version, decode_body, encode_body,
};

use crate::auth::{AuthError, FrameAuthenticator, FrameSide};
use crate::error::LinkError;
use crate::evidence::EvidenceExchange;
use crate::link::{LinkContext, read_stream};
use crate::peer_view::PeerView;

/// Connections at once. A node is linked to by about as many as it links to; 64 leave room for an
/// unlucky hash and bound what strangers can hold open.
const MAX_CONNECTIONS: usize = 64;

/// Requests of one connection at once: a peer sends them one after the other.
const MAX_STREAMS: u32 = 4;

/// A connection without a request for this time is closed: its peer is frozen or gone.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Answers whose moment is kept; a peer echoes the newest that it has.
const KEPT_ANSWERS: usize = 8;

/// A request that echoes an answer older than this lay in a buffer while this process or its peer
/// was frozen; what it tells of heartbeats is too old to go by.
const LATE_LIMIT: Duration = Duration::from_secs(6);

/// Shortest time between two answers on one connection, so that one peer can't take the
/// processor.
const ANSWER_PAUSE: Duration = Duration::from_millis(10);

/// Pause after a failed accept; without it a process out of file descriptors spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts links until the task is dropped.
pub async fn accept_links<E: EvidenceExchange>(listener: TcpListener, context: LinkContext<E>) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            let ended = serve_connection(&context, stream).await;
            if let Err(LinkError::Seal(error @ AuthError::InvalidProof)) = ended {
                let detail = format!("{address}: {error}");
                context
                    .recorder
                    .note(EventCode::PeerRefused, EventSubject::default(), detail);
            }
            drop(place);
        });
    }
}

async fn serve_connection<E: EvidenceExchange>(
    context: &LinkContext<E>,
    stream: TcpStream,
) -> Result<(), LinkError> {
    stream.set_nodelay(true)?;
    let stream = context.gossip.traffic.wrap(stream);
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(MAX_STREAMS);
    let handshake = builder.handshake::<_, Bytes>(stream);
    let mut connection = match tokio::time::timeout(IDLE_LIMIT, handshake).await {
        Ok(connection) => connection?,
        Err(_) => return Err(LinkError::TimedOut),
    };
    let session = Arc::new(Mutex::new(None));
    let (ended_sender, mut ended) = tokio::sync::mpsc::channel(1);
    loop {
        let request = tokio::select! {
            error = ended.recv() => return error.map_or(Ok(()), Err),
            request = tokio::time::timeout(IDLE_LIMIT, connection.accept()) => request,
        };
        let (request, respond) = match request {
            Ok(Some(request)) => request?,
            Ok(None) => return Ok(()),
            Err(_) => return Err(LinkError::TimedOut),
        };
        // The connection itself moves only while it is polled here, so a request must not be
        // answered in this loop.
        let context = context.clone();
        let session = Arc::clone(&session);
        let ended_sender = ended_sender.clone();
        tokio::spawn(async move {
            let mut session = session.lock().await;
            if let Err(error) = answer_request(&context, &mut session, request, respond).await {
                let _ = ended_sender.send(error).await;
            }
        });
    }
}

/// The answering side of one connection after the hello.
struct AnswerSession {
    auth: FrameAuthenticator,
    peer_view: PeerView,
    answered: VecDeque<AnswerMoment>,
}

/// When an answer was sent.
struct AnswerMoment {
    sequence: u64,
    at: Instant,
}

impl AnswerSession {
    /// The moment after which a request that echoes an answer was made.
    fn asked_at(&self, echo: u64) -> Option<Instant> {
        self.answered
            .iter()
            .find(|answer| answer.sequence == echo)
            .map(|answer| answer.at)
    }

    fn note_answer(&mut self) {
        if self.answered.len() == KEPT_ANSWERS {
            self.answered.pop_front();
        }
        self.answered.push_back(AnswerMoment {
            sequence: self.auth.last_sent(),
            at: Instant::now(),
        });
    }
}

async fn answer_request<E: EvidenceExchange>(
    context: &LinkContext<E>,
    session: &mut Option<AnswerSession>,
    request: Request<h2::RecvStream>,
    respond: SendResponse<Bytes>,
) -> Result<(), LinkError> {
    let path = request.uri().path().to_owned();
    let body = request.into_body();
    match (path.as_str(), session) {
        ("/hello", place @ None) => {
            let bytes = read_stream(body, MAX_HELLO_BYTES).await?;
            let hello: PeerHello = decode_body::<_, MAX_HELLO_BYTES>(&bytes)?;
            let Some(version) = common_version(&hello) else {
                return refuse(respond, StatusCode::UPGRADE_REQUIRED);
            };
            let (opened, welcome) = welcome_peer(context, &hello, version);
            *place = Some(opened);
            answer(respond, encode_body(&welcome)?)
        }
        ("/digest", Some(session)) => {
            let bytes = read_stream(body, MAX_DIGEST_BYTES).await?;
            let frame = session.auth.verify::<MAX_DIGEST_BYTES>(&bytes)?;
            let digest: PeerDigest = decode_body::<_, MAX_DIGEST_BYTES>(&frame.payload)?;
            let asked_at = session.asked_at(digest.echo).ok_or(LinkError::Stale)?;
            if asked_at.elapsed() > LATE_LIMIT {
                return Err(LinkError::Stale);
            }
            context
                .gossip
                .apply_digest(&mut session.peer_view, digest, asked_at)
                .await;
            tokio::time::sleep(ANSWER_PAUSE).await;
            let digest = context
                .gossip
                .build_digest(&mut session.peer_view, frame.sequence)
                .await;
            let signed = session.auth.sign(encode_body(&digest)?)?;
            session.note_answer();
            context.gossip.traffic.count_exchange();
            answer(respond, signed)
        }
        ("/snapshot", Some(session)) => {
            let bytes = read_stream(body, MAX_DIGEST_BYTES).await?;
            session.auth.verify::<MAX_DIGEST_BYTES>(&bytes)?;
            let snapshot = context.gossip.config.snapshot().await;
            let json = serde_json::to_vec(&snapshot)
                .map_err(|error| LinkError::Connection(error.to_string()))?;
            let signed = session.auth.sign(json)?;
            session.note_answer();
            answer(respond, signed)
        }
        _ => refuse(respond, StatusCode::NOT_FOUND),
    }
}

fn welcome_peer<E: EvidenceExchange>(
    context: &LinkContext<E>,
    hello: &PeerHello,
    version: u8,
) -> (AnswerSession, PeerWelcome) {
    let mut welcome = PeerWelcome {
        version,
        nonce: rand::random::<[u8; NONCE_BYTES]>(),
        node: context.gossip.membership.node().clone(),
        proof: Default::default(),
    };
    welcome.proof = context.key.proof(hello, &welcome);
    let mut session = AnswerSession {
        auth: context
            .key
            .authenticator(hello, &welcome, FrameSide::Responder),
        peer_view: PeerView::default(),
        answered: VecDeque::new(),
    };
    session.note_answer();
    (session, welcome)
}

fn answer(mut respond: SendResponse<Bytes>, body: Vec<u8>) -> Result<(), LinkError> {
    let head = Response::builder().status(StatusCode::OK).body(())?;
    let mut stream = respond.send_response(head, false)?;
    stream.send_data(Bytes::from(body), true)?;
    Ok(())
}

fn refuse(mut respond: SendResponse<Bytes>, status: StatusCode) -> Result<(), LinkError> {
    let head = Response::builder().status(status).body(())?;
    respond.send_response(head, true)?;
    Ok(())
}
