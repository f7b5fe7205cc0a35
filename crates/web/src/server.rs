//! A server: accepts connections and hands each request to a handler.

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

use crate::response::WebResponse;
use crate::tls::ReloadableTlsConfig;

/// A request whose body is still arriving.
pub type WebRequest = Request<Incoming>;

/// A connection that sends no whole request head in this time is closed, so that idle half-open
/// connections do not use up a node's file descriptors.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause after a failed accept; without it a process out of file descriptors spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait WebHandler: Send + Sync + 'static {
    /// Answers one request; every failure is an answer too.
    fn handle(&self, request: WebRequest) -> impl Future<Output = WebResponse> + Send;
}

/// Makes the stream that HTTP is spoken on out of a TCP connection.
pub trait StreamAcceptor: Clone + Send + Sync + 'static {
    /// The stream.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;

    /// Opens the stream.
    fn accept(&self, stream: TcpStream) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Speaks HTTP on the connection itself.
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

/// Serves HTTP/1.1 and HTTP/2 until `stop` completes, then lets the running requests finish.
pub async fn serve_listener<H: WebHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    stop: impl Future<Output = ()> + Send,
) {
    serve_with_acceptor(listener, PlainAcceptor, handler, stop).await;
}

/// Like [`serve_listener`], on streams that `acceptor` makes of the connections.
pub async fn serve_with_acceptor<H: WebHandler, A: StreamAcceptor>(
    listener: TcpListener,
    acceptor: A,
    handler: Arc<H>,
    stop: impl Future<Output = ()> + Send,
) {
    let graceful = GracefulShutdown::new();
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (acceptor, handler) = (acceptor.clone(), Arc::clone(&handler));
        let watcher = graceful.watcher();
        tokio::spawn(async move {
            // A caller that never ends its handshake would hold a file descriptor for ever.
            let handshake = tokio::time::timeout(HEAD_TIMEOUT, acceptor.accept(stream)).await;
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
        .header_read_timeout(HEAD_TIMEOUT);
    let connection = builder
        .serve_connection_with_upgrades(TokioIo::new(stream), service)
        .into_owned();
    let _ = watcher.watch(connection).await;
}
