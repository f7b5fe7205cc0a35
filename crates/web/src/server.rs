//! HTTP server that accepts connections and passes each request to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use intake::{ConnectionPlace, ConnectionPlaces, PlaceReport};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::server::TlsStream;

use crate::fair_stream::FairStream;
use crate::request_count::RequestCount;
use crate::response::WebResponse;
use crate::tls::ReloadableTlsConfig;

/// A request whose body may not have arrived yet.
pub type WebRequest = Request<Incoming>;

/// A connection that sends no complete request head within this time is closed, so that idle and
/// half-open connections don't exhaust the node's file descriptors.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay after a failed accept. Without it, a process that is out of file descriptors would
/// busy-loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Largest head of a request, in bytes: what clients of such interfaces send, with room for long tokens.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Largest head of HTTP/2 after its compression is undone, in bytes.
const MAX_HEAD_LIST_BYTES: u32 = 16 << 10;

/// Concurrent requests of one connection with HTTP/2.
const MAX_STREAMS: u32 = 32;

/// Bytes of one request's body that a connection with HTTP/2 takes in before they are read.
const STREAM_WINDOW_BYTES: u32 = 32 << 10;

/// The same for all requests of a connection.
const CONNECTION_WINDOW_BYTES: u32 = 64 << 10;

/// Bytes of one response that a connection with HTTP/2 keeps while its client does not take them.
const SEND_BUFFER_BYTES: usize = 32 << 10;

/// Handles the requests of a server.
pub trait WebHandler: Send + Sync + 'static {
    /// Handles one request. Failures are returned as error responses.
    fn handle(&self, request: WebRequest) -> impl Future<Output = WebResponse> + Send;

    /// Records connections that were closed for others or not accepted.
    fn record_displaced(&self, report: PlaceReport);

    /// Records that the system could not accept a connection.
    fn record_accept_failure(&self, error: &io::Error);
}

/// Turns an accepted TCP connection into the stream that carries HTTP.
pub trait StreamAcceptor: Clone + Send + Sync + 'static {
    /// Stream that carries HTTP.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;

    /// Performs the handshake, if there is one, and returns the stream.
    fn accept(&self, stream: TcpStream) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Serves unencrypted HTTP directly on the TCP connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlainAcceptor;

impl StreamAcceptor for PlainAcceptor {
    type Stream = TcpStream;

    async fn accept(&self, stream: TcpStream) -> io::Result<TcpStream> {
        Ok(stream)
    }
}

impl StreamAcceptor for ReloadableTlsConfig {
    type Stream = TlsStream<TcpStream>;

    async fn accept(&self, stream: TcpStream) -> io::Result<Self::Stream> {
        self.acceptor().accept(stream).await
    }
}

/// Serves unencrypted HTTP/1.1 and HTTP/2 on at most `max_connections` connections until `shutdown` completes, then
/// waits for requests in progress.
pub async fn serve_listener<H: WebHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    max_connections: usize,
    shutdown: impl Future<Output = ()> + Send,
) {
    serve_with_acceptor(listener, PlainAcceptor, handler, max_connections, shutdown).await;
}

/// Like [`serve_listener`], on the streams that `acceptor` returns.
pub async fn serve_with_acceptor<H: WebHandler, A: StreamAcceptor>(
    listener: TcpListener,
    acceptor: A,
    handler: Arc<H>,
    max_connections: usize,
    shutdown: impl Future<Output = ()> + Send,
) {
    let graceful = GracefulShutdown::new();
    let places = ConnectionPlaces::new(max_connections);
    tokio::pin!(shutdown);
    loop {
        let accepted = tokio::select! {
            accepted = accept_at(&listener, &places, handler.as_ref()) => accepted,
            () = &mut shutdown => break,
        };
        let Some((stream, place)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (acceptor, handler) = (acceptor.clone(), Arc::clone(&handler));
        let watcher = graceful.watcher();
        tokio::spawn(async move {
            let place = Arc::new(place);
            tokio::select! {
                () = serve_connection(stream, acceptor, handler, watcher, &place) => {}
                () = place.displaced() => {}
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Accepts a connection, unless the system can't or all places are taken by requests in progress.
async fn accept_at<H: WebHandler>(
    listener: &TcpListener,
    places: &ConnectionPlaces,
    handler: &H,
) -> Option<(TcpStream, ConnectionPlace)> {
    let stream = match listener.accept().await {
        Ok((stream, _)) => stream,
        Err(error) => {
            handler.record_accept_failure(&error);
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            return None;
        }
    };
    let admission = places.admit();
    if let Some(report) = places.take_report() {
        handler.record_displaced(report);
    }
    if admission.displaced.is_some() {
        // The other connection gives its descriptor back before the next one takes one.
        tokio::task::yield_now().await;
    }
    Some((stream, admission.place?))
}

async fn serve_connection<H: WebHandler, A: StreamAcceptor>(
    stream: TcpStream,
    acceptor: A,
    handler: Arc<H>,
    watcher: Watcher,
    place: &Arc<ConnectionPlace>,
) {
    // Without a timeout, a client that never completes its handshake would hold a file descriptor
    // forever.
    let handshake = tokio::time::timeout(HEADER_TIMEOUT, acceptor.accept(stream)).await;
    if let Ok(Ok(stream)) = handshake {
        serve_stream(stream, handler, watcher, place).await;
    }
}

async fn serve_stream<H: WebHandler, S>(
    stream: S,
    handler: Arc<H>,
    watcher: Watcher,
    place: &Arc<ConnectionPlace>,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let requests = RequestCount::new(place);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        let running = requests.begin();
        // The library keeps room for this future in every connection, also in those that are idle.
        Box::pin(async move {
            let response = handler.handle(request).await;
            Ok::<_, Infallible>(response.map(|body| running.until_sent(body)))
        })
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .max_header_list_size(MAX_HEAD_LIST_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_BYTES);
    let connection = builder
        .serve_connection_with_upgrades(TokioIo::new(FairStream::new(stream)), service)
        .into_owned();
    let _ = watcher.watch(connection).await;
}
