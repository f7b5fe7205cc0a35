//! HTTP server that accepts connections and passes each request to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use intake::{ConnectionPlace, ConnectionPlaces, PlaceReport};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
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

/// Time for an idle connection to end after its client was told. A client that does not respond would keep it open.
const IDLE_CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which the server looks for connections to report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

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

/// Bytes of a connection that the system takes before its client reads them, beside what the client's system has taken.
const UNSENT_BYTES: u32 = 32 << 10;

/// Handles the requests of a server.
pub trait WebHandler: Send + Sync + 'static {
    /// Handles one request. Failures are returned as error responses.
    fn handle(&self, request: WebRequest) -> impl Future<Output = WebResponse> + Send;

    /// Response to a request that is not handled, since as many are as may be at once.
    fn refuse(&self) -> WebResponse;

    /// Records connections that were closed for others or not accepted.
    fn record_displaced(&self, report: PlaceReport);

    /// Records that the system could not accept a connection.
    fn record_accept_failure(&self, error: &io::Error);
}

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Most connections at once.
    pub max_connections: usize,
    /// Most requests that are handled at once, on all connections.
    pub max_requests: usize,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
    /// Time for which a client may take nothing of what was sent to it.
    pub read_timeout: Duration,
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

/// Serves unencrypted HTTP/1.1 and HTTP/2 within `limits` until `shutdown` completes, then waits for requests in
/// progress.
pub async fn serve_listener<H: WebHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    limits: ServerLimits,
    shutdown: impl Future<Output = ()> + Send,
) {
    serve_with_acceptor(listener, PlainAcceptor, handler, limits, shutdown).await;
}

/// Like [`serve_listener`], on the streams that `acceptor` returns.
pub async fn serve_with_acceptor<H: WebHandler, A: StreamAcceptor>(
    listener: TcpListener,
    acceptor: A,
    handler: Arc<H>,
    limits: ServerLimits,
    shutdown: impl Future<Output = ()> + Send,
) {
    let places = ConnectionPlaces::new(limits.max_connections);
    let requests = Arc::new(Semaphore::new(limits.max_requests));
    // Each connection has a receiver until it ends.
    let (stop, stopped) = watch::channel(false);
    tokio::pin!(shutdown);
    let mut reporting = tokio::time::interval(REPORT_INTERVAL);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = reporting.tick() => {
                report_places(&places, handler.as_ref());
                continue;
            }
            () = &mut shutdown => break,
        };
        let Some((stream, place)) = place_accepted(accepted, &places, handler.as_ref()).await
        else {
            continue;
        };
        set_options(&stream, &limits);
        let acceptor = acceptor.clone();
        let connection = ServedConnection {
            handler: Arc::clone(&handler),
            place: Arc::new(place),
            requests: Arc::clone(&requests),
            limits,
            stopped: stopped.clone(),
        };
        tokio::spawn(async move {
            let place = Arc::clone(&connection.place);
            tokio::select! {
                () = connection.serve(stream, acceptor) => {}
                () = place.displaced() => {}
            }
        });
    }
    drop((listener, stopped));
    stop.send_replace(true);
    stop.closed().await;
}

/// Reports what has not been reported yet.
fn report_places<H: WebHandler>(places: &ConnectionPlaces, handler: &H) {
    if let Some(report) = places.take_report() {
        handler.record_displaced(report);
    }
}

/// A place for an accepted connection, unless the system could not accept it or all places are taken by requests in
/// progress.
async fn place_accepted<H: WebHandler>(
    accepted: io::Result<(TcpStream, SocketAddr)>,
    places: &ConnectionPlaces,
    handler: &H,
) -> Option<(TcpStream, ConnectionPlace)> {
    let stream = match accepted {
        Ok((stream, _)) => stream,
        Err(error) => {
            handler.record_accept_failure(&error);
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            return None;
        }
    };
    let admission = places.admit();
    report_places(places, handler);
    if admission.displaced.is_some() {
        // The other connection gives its descriptor back before the next one takes one.
        tokio::task::yield_now().await;
    }
    Some((stream, admission.place?))
}

/// Sets what the system does on an accepted connection. A socket that ended meanwhile takes no options, which its reader
/// sees.
fn set_options(stream: &TcpStream, limits: &ServerLimits) {
    drop(stream.set_nodelay(true));
    // Otherwise megabytes of a response fit into the system's buffers before the process sees that its client reads
    // nothing, and a slow one may take longer than its timeout until it is asked for more.
    let socket = SockRef::from(stream);
    drop(socket.set_tcp_notsent_lowat(UNSENT_BYTES));
    drop(socket.set_tcp_user_timeout(Some(limits.read_timeout)));
}

/// What a connection is served with.
struct ServedConnection<H> {
    handler: Arc<H>,
    place: Arc<ConnectionPlace>,
    /// Places of requests that are handled, on all connections.
    requests: Arc<Semaphore>,
    limits: ServerLimits,
    /// Whether the server stops.
    stopped: watch::Receiver<bool>,
}

impl<H: WebHandler> ServedConnection<H> {
    async fn serve<A: StreamAcceptor>(self, stream: TcpStream, acceptor: A) {
        // Without a timeout, a client that never completes its handshake would hold a file descriptor
        // forever.
        let handshake = tokio::time::timeout(HEADER_TIMEOUT, acceptor.accept(stream)).await;
        if let Ok(Ok(stream)) = handshake {
            self.serve_stream(stream).await;
        }
    }

    async fn serve_stream<S>(mut self, stream: S)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let count = RequestCount::new(&self.place);
        let connection = {
            let (handler, requests) = (Arc::clone(&self.handler), Arc::clone(&self.requests));
            let (count, place) = (count.clone(), Arc::clone(&self.place));
            let closer = self.place.closer();
            let service = service_fn(move |mut request: WebRequest| {
                let handler = Arc::clone(&handler);
                let running = count.begin();
                let permit = Arc::clone(&requests).try_acquire_owned().ok();
                if permit.is_none() {
                    place.record_unplaced();
                }
                request.extensions_mut().insert(closer.clone());
                async move {
                    let response = match &permit {
                        // The library keeps room for this future in every connection, also in those that are idle.
                        Some(_) => Box::pin(handler.handle(request)).await,
                        None => handler.refuse(),
                    };
                    Ok::<_, Infallible>(response.map(|body| running.until_sent(body, permit)))
                }
            });
            http_builder()
                .serve_connection_with_upgrades(TokioIo::new(FairStream::new(stream)), service)
                .into_owned()
        };
        let graceful = GracefulShutdown::new();
        let connection = graceful.watch(connection);
        tokio::pin!(connection);
        tokio::select! {
            // Errors affect one client, which sees them.
            ended = &mut connection => return drop(ended),
            // It ends with the server, too.
            stopped = self.stopped.wait_for(|is_stopped| *is_stopped) => drop(stopped),
            () = count.idle(self.limits.idle_timeout) => self.place.record_idle_closed(),
            () = count.unread(self.limits.read_timeout) => return self.place.record_unread_closed(),
        }
        tokio::select! {
            (ended, ()) = async { tokio::join!(connection.as_mut(), graceful.shutdown()) } => drop(ended),
            () = give_up_closing(&count) => {}
            () = count.unread(self.limits.read_timeout) => self.place.record_unread_closed(),
        }
    }
}

/// Completes when a connection that is closing has had time to end, and no request is in progress on it.
async fn give_up_closing(count: &RequestCount) {
    tokio::time::sleep(IDLE_CLOSE_TIMEOUT).await;
    count.idle(IDLE_CLOSE_TIMEOUT).await;
}

/// The HTTP library, with the limits of a connection.
fn http_builder() -> Builder<TokioExecutor> {
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
    builder
}
