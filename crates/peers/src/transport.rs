//! Authenticated requests between two nodes over HTTP/2, whatever they carry.

use std::time::Duration;

use bytes::Bytes;
use domain::NodeId;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use h2::RecvStream;
use h2::client::SendRequest;
use h2::server::SendResponse;
use http::{Method, Request, Response, StatusCode};
use tokio::io::{AsyncRead, AsyncWrite};
use web::FairStream;
use wire::peer::{
    MAX_HELLO_BYTES, NEWEST_VERSION, NONCE_BYTES, OLDEST_VERSION, PeerHello, PeerWelcome,
    decode_message, encode_message,
};

use crate::accepted::LinkProof;
use crate::auth::{FrameAuthenticator, FrameSide, SharedKey};
use crate::error::LinkError;

/// Maximum number of concurrent requests per connection whose peer sends them one at a time.
pub const MAX_REQUESTS: u32 = 4;

/// Maximum number of concurrent byte streams per connection.
pub const MAX_STREAMS: u32 = 64;

/// Bytes that one request or stream may hold unread.
pub const STREAM_WINDOW_BYTES: u32 = 16 << 10;

/// Bytes that all requests of a connection may hold unread before its peer has proven the key. Requests wait for the
/// one before them, so without a bound for all a stranger could have a whole window of each kept.
const UNPROVEN_WINDOW_BYTES: u32 = 64 << 10;

/// Largest head of a request in bytes: a path and a frame of a kilobyte as text. The HTTP library keeps 16 MB of one by
/// itself, of anybody who reaches the port.
const MAX_HEAD_BYTES: u32 = 8 << 10;

/// Time without a request after which a connection is closed; its peer is suspended or gone.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The opened side of a link, after both sides agreed on a protocol version and the responder
/// proved that it has the key.
pub struct DialedLink {
    requests: SendRequest<Bytes>,
    auth: FrameAuthenticator,
    peer: NodeId,
}

impl DialedLink {
    /// Opens a link over a connected stream. `expected` is the node that should respond; none if
    /// any may.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the handshake fails, the responder doesn't have the key, or another node
    /// than the expected one responds.
    pub async fn open<S>(
        stream: S,
        key: &SharedKey,
        node: &NodeId,
        expected: Option<&NodeId>,
    ) -> Result<Self, LinkError>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let (requests, connection) = h2::client::handshake(FairStream::new(stream)).await?;
        tokio::spawn(async move {
            // A failed connection fails the requests on it, which report the error.
            drop(connection.await);
        });
        Self::greet(requests, key, node, expected).await
    }

    /// Agrees on a protocol version with the responder, who proves that it has the key.
    pub(crate) async fn greet(
        mut requests: SendRequest<Bytes>,
        key: &SharedKey,
        node: &NodeId,
        expected: Option<&NodeId>,
    ) -> Result<Self, LinkError> {
        let hello = PeerHello {
            newest: NEWEST_VERSION,
            oldest: OLDEST_VERSION,
            nonce: rand::random::<[u8; NONCE_BYTES]>(),
            node: node.clone(),
        };
        let body = encode_message(&hello)?;
        let response = post(&mut requests, "/hello", body, MAX_HELLO_BYTES).await?;
        let welcome: PeerWelcome = decode_message::<_, MAX_HELLO_BYTES>(&response)?;
        key.verify_proof(&hello, &welcome)?;
        if expected.is_some_and(|node| *node != welcome.node) {
            return Err(LinkError::UnexpectedNode(welcome.node));
        }
        Ok(Self {
            requests,
            auth: key.authenticator(&hello, &welcome, FrameSide::Initiator),
            peer: welcome.node,
        })
    }

    /// Splits the link into what requests and their frames need.
    pub(crate) fn into_parts(self) -> (SendRequest<Bytes>, FrameAuthenticator) {
        (self.requests, self.auth)
    }

    /// Node at the other end.
    #[must_use]
    pub fn peer(&self) -> &NodeId {
        &self.peer
    }

    /// Sequence number of the last response that was verified, 0 if none.
    #[must_use]
    pub fn last_received(&self) -> u64 {
        self.auth.last_received()
    }

    /// Sends a request and returns the verified response of at most `LIMIT` bytes.
    ///
    /// # Errors
    ///
    /// [`LinkError`]; the link can't be used any more.
    pub async fn request<const LIMIT: usize>(
        &mut self,
        path: &str,
        payload: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, LinkError> {
        let frame = self.auth.sign(payload)?;
        let operation = post(&mut self.requests, path, frame, LIMIT);
        let response = with_timeout(timeout, operation).await?;
        Ok(self.auth.verify::<LIMIT>(&response)?.payload)
    }

    /// Sends a request and returns the verified response of at most `LIMIT` bytes, however long it
    /// takes within `timeouts.whole` while bytes of it arrive.
    ///
    /// # Errors
    ///
    /// [`LinkError`]; the link can't be used any more.
    pub async fn request_bulk<const LIMIT: usize>(
        &mut self,
        path: &str,
        payload: Vec<u8>,
        timeouts: BulkTimeouts,
    ) -> Result<Vec<u8>, LinkError> {
        let frame = self.auth.sign(payload)?;
        let operation = async {
            let start = start_request(&mut self.requests, path, frame);
            let body = with_timeout(timeouts.start, start).await?;
            read_progressing(body, LIMIT, timeouts.pause).await
        };
        let response = with_timeout(timeouts.whole, operation).await?;
        Ok(self.auth.verify::<LIMIT>(&response)?.payload)
    }
}

/// Timeouts of a response that may be large.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BulkTimeouts {
    /// Until the response starts.
    pub start: Duration,
    /// Without a further byte of it.
    pub pause: Duration,
    /// For all of it.
    pub whole: Duration,
}

/// Answers a hello with a common protocol version; returns the authenticator of the accepted side
/// and the message that proves the key.
#[must_use]
pub fn accept_hello(
    key: &SharedKey,
    node: &NodeId,
    hello: &PeerHello,
    version: u8,
) -> (FrameAuthenticator, PeerWelcome) {
    let mut welcome = PeerWelcome {
        version,
        nonce: rand::random::<[u8; NONCE_BYTES]>(),
        node: node.clone(),
        proof: Default::default(),
    };
    welcome.proof = key.proof(hello, &welcome);
    let auth = key.authenticator(hello, &welcome, FrameSide::Responder);
    (auth, welcome)
}

/// Serves the requests of one accepted connection, at most `max_concurrent` at once, until it ends or
/// a request fails.
///
/// # Errors
///
/// [`LinkError`] of the connection or of the first request that failed.
pub async fn serve_requests<S, H, F>(
    stream: S,
    max_concurrent: u32,
    proof: &LinkProof,
    handle: H,
) -> Result<(), LinkError>
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: Fn(Request<RecvStream>, SendResponse<Bytes>) -> F,
    F: Future<Output = Result<(), LinkError>>,
{
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(max_concurrent)
        .max_header_list_size(MAX_HEAD_BYTES)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(UNPROVEN_WINDOW_BYTES);
    let handshake = builder.handshake::<_, Bytes>(FairStream::new(stream));
    let mut connection = match tokio::time::timeout(IDLE_TIMEOUT, handshake).await {
        Ok(connection) => connection?,
        Err(_) => return Err(LinkError::TimedOut),
    };
    let mut running = FuturesUnordered::new();
    let mut is_proven = false;
    loop {
        // The connection makes progress only while `accept` is polled.
        tokio::select! {
            () = proof.recorded(), if !is_proven => {
                is_proven = true;
                // A stream that is read slowly takes up its own part only, and doesn't stop the others.
                connection.set_target_window_size(STREAM_WINDOW_BYTES * max_concurrent);
            }
            Some(result) = running.next() => result?,
            request = tokio::time::timeout(IDLE_TIMEOUT, connection.accept()) => match request {
                Ok(Some(request)) => {
                    let (request, responder) = request?;
                    running.push(handle(request, responder));
                }
                Ok(None) => return Ok(()),
                Err(_) if running.is_empty() => return Err(LinkError::TimedOut),
                // Its requests, which have timeouts of their own, still run.
                Err(_) => {}
            }
        }
    }
}

/// Fails an operation with [`LinkError::TimedOut`] after `limit`.
///
/// # Errors
///
/// [`LinkError`] of the operation, or of the timeout.
pub async fn with_timeout<T>(
    limit: Duration,
    operation: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    match tokio::time::timeout(limit, operation).await {
        Ok(result) => result,
        Err(_) => Err(LinkError::TimedOut),
    }
}

async fn post(
    requests: &mut SendRequest<Bytes>,
    path: &str,
    body: Vec<u8>,
    limit: usize,
) -> Result<Vec<u8>, LinkError> {
    read_stream(start_request(requests, path, body).await?, limit).await
}

/// Sends a request; returns the body of the response once its head is here.
async fn start_request(
    requests: &mut SendRequest<Bytes>,
    path: &str,
    body: Vec<u8>,
) -> Result<RecvStream, LinkError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://peer{path}"))
        .body(())?;
    let mut ready = requests.clone().ready().await?;
    let (response, mut sender) = ready.send_request(request, false)?;
    sender.send_data(Bytes::from(body), true)?;
    let response = response.await?;
    if response.status() != StatusCode::OK {
        return Err(LinkError::Refused(response.status().as_u16()));
    }
    Ok(response.into_body())
}

/// Reads a whole stream of at most `limit` bytes, which fails after `pause` without a byte.
async fn read_progressing(
    mut stream: RecvStream,
    limit: usize,
    pause: Duration,
) -> Result<Vec<u8>, LinkError> {
    let mut bytes = Vec::new();
    loop {
        let next = async { Ok(stream.data().await) };
        let Some(chunk) = with_timeout(pause, next).await? else {
            return Ok(bytes);
        };
        append_chunk(&mut stream, &mut bytes, &chunk?, limit)?;
    }
}

fn append_chunk(
    stream: &mut RecvStream,
    bytes: &mut Vec<u8>,
    chunk: &Bytes,
    limit: usize,
) -> Result<(), LinkError> {
    if bytes.len() + chunk.len() > limit {
        return Err(LinkError::TooLarge(limit));
    }
    stream.flow_control().release_capacity(chunk.len())?;
    bytes.extend_from_slice(chunk);
    Ok(())
}

/// Reads a whole stream of at most `limit` bytes.
///
/// # Errors
///
/// [`LinkError::TooLarge`] beyond `limit`, [`LinkError::TimedOut`] if no further byte comes,
/// [`LinkError::Connection`] if the stream fails.
pub async fn read_stream(stream: RecvStream, limit: usize) -> Result<Vec<u8>, LinkError> {
    read_progressing(stream, limit, IDLE_TIMEOUT).await
}

/// Sends a successful response.
///
/// # Errors
///
/// [`LinkError::Connection`] if the connection failed.
pub fn respond_ok(mut responder: SendResponse<Bytes>, body: Vec<u8>) -> Result<(), LinkError> {
    let head = Response::builder().status(StatusCode::OK).body(())?;
    let mut stream = responder.send_response(head, false)?;
    stream.send_data(Bytes::from(body), true)?;
    Ok(())
}

/// Sends a response without a body.
///
/// # Errors
///
/// [`LinkError::Connection`] if the connection failed.
pub fn respond_error(
    mut responder: SendResponse<Bytes>,
    status: StatusCode,
) -> Result<(), LinkError> {
    let head = Response::builder().status(status).body(())?;
    responder.send_response(head, true)?;
    Ok(())
}
