//! Byte streams to third parties through another node: HTTP/2 streams of an authenticated link.
//!
//! A request for a stream carries an authenticated frame that names the third party; the responder
//! connects to it and passes bytes on in both directions. A stream that ends early on either side is
//! reset, never closed as if it were complete.

use std::io;
use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use bytes::{Buf as _, Bytes};
use domain::NodeId;
use h2::client::SendRequest;
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::timeout;
use web::FairStream;

use crate::auth::{FrameAuthenticator, SharedKey};
use crate::error::LinkError;
use crate::transport::{DialedLink, MAX_STREAMS, STREAM_WINDOW_BYTES, respond_error};

/// Header of a request for a stream, with its frame.
const FRAME_HEADER: &str = "frame";

/// Bytes that all streams of a link may hold unread: a client that reads slowly then takes up its own
/// stream's part only, and doesn't stop the others.
const LINK_WINDOW_BYTES: u32 = STREAM_WINDOW_BYTES * MAX_STREAMS;

/// Interval between two checks of whether the other node is alive.
const PING_INTERVAL: Duration = Duration::from_millis(300);

/// Time within which it must respond. A node that is suspended would otherwise hold the streams that it
/// carries until their deadlines.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// A link that carries byte streams.
pub struct TunnelLink {
    requests: SendRequest<Bytes>,
    auth: Mutex<FrameAuthenticator>,
}

/// Response to a request for a stream.
#[derive(Debug)]
pub enum TunnelResponse {
    /// The third party is connected.
    Connected(TunnelStream),
    /// It is not, for a reason that the status tells.
    Refused(StatusCode),
}

impl TunnelLink {
    /// Opens a link over a connected stream to the node `expected`.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the handshake fails, the responder doesn't have the key, or another node than
    /// the expected one responds.
    pub async fn open<S>(
        stream: S,
        key: &SharedKey,
        node: &NodeId,
        expected: &NodeId,
    ) -> Result<Self, LinkError>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(LINK_WINDOW_BYTES);
        let (requests, mut connection) = builder.handshake(FairStream::new(stream)).await?;
        let pings = connection.ping_pong();
        tokio::spawn(async move {
            // The end of the connection fails its streams, which report the error.
            tokio::select! {
                ended = connection => drop(ended),
                () = watch_liveness(pings) => {}
            }
        });
        let link = DialedLink::greet(requests, key, node, Some(expected)).await?;
        let (requests, auth) = link.into_parts();
        Ok(Self {
            requests,
            auth: Mutex::new(auth),
        })
    }

    /// Requests a stream; `payload` names the third party.
    ///
    /// # Errors
    ///
    /// [`LinkError`]; the link can't be used any more.
    pub async fn request_stream(&self, payload: Vec<u8>) -> Result<TunnelResponse, LinkError> {
        self.request(TUNNEL_PATH, payload).await
    }

    /// Tells the node something that needs no answer; `payload` says what.
    ///
    /// # Errors
    ///
    /// [`LinkError`]; the link can't be used any more.
    pub async fn tell(&self, payload: Vec<u8>) -> Result<(), LinkError> {
        self.request(STATEMENT_PATH, payload).await.map(drop)
    }

    async fn request(&self, path: &str, payload: Vec<u8>) -> Result<TunnelResponse, LinkError> {
        let mut requests = self.requests.clone().ready().await?;
        let (response, sender) = {
            // Frames are sent in the order of their numbers: nothing may wait between the two steps.
            let mut auth = self.auth.lock().unwrap_or_else(PoisonError::into_inner);
            let frame = URL_SAFE_NO_PAD.encode(auth.sign(payload)?);
            let request = Request::builder()
                .method(Method::POST)
                .uri(format!("http://peer{path}"))
                .header(FRAME_HEADER, frame)
                .body(())?;
            requests.send_request(request, false)?
        };
        let sender = TunnelSender(sender);
        let response = response.await?;
        if response.status() != StatusCode::OK {
            return Ok(TunnelResponse::Refused(response.status()));
        }
        Ok(TunnelResponse::Connected(TunnelStream {
            sender,
            receiver: response.into_body(),
            unread: Bytes::new(),
        }))
    }
}

/// Path of requests for streams.
pub const TUNNEL_PATH: &str = "/tunnel";

/// Path of messages on what third parties stated on streams through a node.
pub const STATEMENT_PATH: &str = "/tunnel/statement";

/// Completes once the other side no longer responds; never if it can't be asked.
async fn watch_liveness(pings: Option<h2::PingPong>) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        let ping = pings.ping(h2::Ping::opaque());
        if !matches!(timeout(PING_TIMEOUT, ping).await, Ok(Ok(_))) {
            return;
        }
    }
}

/// Verifies a request for a stream; returns its payload.
///
/// # Errors
///
/// [`LinkError::Auth`] if its frame is missing, forged or replayed.
pub fn verify_request<const LIMIT: usize>(
    auth: &mut FrameAuthenticator,
    headers: &HeaderMap,
) -> Result<Vec<u8>, LinkError> {
    let encoded = headers
        .get(FRAME_HEADER)
        .map_or(&[][..], HeaderValue::as_bytes);
    let frame = URL_SAFE_NO_PAD.decode(encoded).unwrap_or_default();
    Ok(auth.verify::<LIMIT>(&frame)?.payload)
}

/// Answers a request for a stream, and passes bytes on between the stream and the third party that
/// `connecting` yields until both have ended, for at most `lifetime`.
///
/// The asking node may give the request up at any time. That ends this stream alone, not the link.
pub async fn pass_on<S>(
    mut responder: SendResponse<Bytes>,
    receiver: RecvStream,
    connecting: impl Future<Output = Result<S, StatusCode>>,
    lifetime: Duration,
) where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut third_party = match connecting.await {
        Ok(connected) => connected,
        Err(status) => {
            // Nobody waits for the reason if this fails.
            drop(respond_error(responder, status));
            return;
        }
    };
    let Ok(sender) = responder.send_response(Response::new(()), false) else {
        return;
    };
    let mut stream = TunnelStream {
        sender: TunnelSender(sender),
        receiver,
        unread: Bytes::new(),
    };
    let copying = tokio::io::copy_bidirectional(&mut stream, &mut third_party);
    // However it ends, both sides learn of it from their halves.
    drop(timeout(lifetime, copying).await);
}

/// Sending half, which resets the stream if it is dropped before its end. An end of the stream would
/// look like the complete end of what the third party sent.
#[derive(Debug)]
struct TunnelSender(SendStream<Bytes>);

impl Drop for TunnelSender {
    fn drop(&mut self) {
        self.0.send_reset(Reason::CANCEL);
    }
}

/// One byte stream through another node.
#[derive(Debug)]
pub struct TunnelStream {
    sender: TunnelSender,
    receiver: RecvStream,
    unread: Bytes,
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            let Some(chunk) = ready!(self.receiver.poll_data(context)) else {
                return Poll::Ready(Ok(()));
            };
            self.unread = chunk.map_err(io::Error::other)?;
        }
        let length = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread[..length]);
        self.unread.advance(length);
        let released = self.receiver.flow_control().release_capacity(length);
        Poll::Ready(released.map_err(io::Error::other))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if bytes.is_empty() {
            return Poll::Ready(Ok(0));
        }
        let sender = &mut self.sender.0;
        sender.reserve_capacity(bytes.len());
        while sender.capacity() == 0 {
            match ready!(sender.poll_capacity(context)) {
                Some(capacity) => capacity.map_err(io::Error::other)?,
                None => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            };
        }
        let length = sender.capacity().min(bytes.len());
        let chunk = Bytes::copy_from_slice(&bytes[..length]);
        let sent = sender.send_data(chunk, false);
        Poll::Ready(sent.map(|()| length).map_err(io::Error::other))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ended = self.sender.0.send_data(Bytes::new(), true);
        Poll::Ready(ended.map_err(io::Error::other))
    }
}
