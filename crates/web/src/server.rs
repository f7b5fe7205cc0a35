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
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::server::TlsStream;

use crate::fair_stream::FairStream;
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

/// Handles the requests of a server.
pub trait WebHandler: Send + Sync + 'static {
    /// Handles one request. Failures are returned as error responses.
    fn handle(&self, request: WebRequest) -> impl Future<Output = WebResponse> + Send;
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

/// Serves unencrypted HTTP/1.1 and HTTP/2 until `shutdown` completes, then waits for requests in
/// progress.
pub async fn serve_listener<H: WebHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    shutdown: impl Future<Output = ()> + Send,
) {
    serve_with_acceptor(listener, PlainAcceptor, handler, shutdown).await;
}

/// Like [`serve_listener`], on the streams that `acceptor` returns.
pub async fn serve_with_acceptor<H: WebHandler, A: StreamAcceptor>(
    listener: TcpListener,
    acceptor: A,
    handler: Arc<H>,
    shutdown: impl Future<Output = ()> + Send,
) {
    let graceful = GracefulShutdown::new();
    tokio::pin!(shutdown);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut shutdown => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (acceptor, handler) = (acceptor.clone(), Arc::clone(&handler));
        let watcher = graceful.watcher();
        tokio::spawn(async move {
            // Without a timeout, a client that never completes its handshake would hold a file descriptor
            // forever.
            let handshake = tokio::time::timeout(HEADER_TIMEOUT, acceptor.accept(stream)).await;
            if let Ok(Ok(stream)) = handshake {
                serve_stream(stream, handler, watcher).await;
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn serve_stream<H: WebHandler, S>(stream: S, handler: Arc<H>, watcher: Watcher)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT);
    let connection = builder
        .serve_connection_with_upgrades(TokioIo::new(FairStream::new(stream)), service)
        .into_owned();
    let _ = watcher.watch(connection).await;
}
