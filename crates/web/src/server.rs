//! A server: accepts connections and hands each request to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;

use crate::answer::WebAnswer;

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
    fn answer(&self, request: WebRequest) -> impl Future<Output = WebAnswer> + Send;
}

/// Serves HTTP/1.1 and HTTP/2 until `stop` completes, then lets the running requests finish.
pub async fn serve_listener<H: WebHandler>(
    listener: TcpListener,
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
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(handler.answer(request).await) }
        });
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT);
        let connection = builder
            .serve_connection_with_upgrades(TokioIo::new(stream), service)
            .into_owned();
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = watched.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
