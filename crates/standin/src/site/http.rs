//! A small HTTP server that closes all its connections when it is dropped.

use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, JoinSet};

pub(super) type SiteBody = UnsyncBoxBody<Bytes, std::io::Error>;
pub(super) type SiteResponse = Response<SiteBody>;

/// A request with its complete body.
#[derive(Debug)]
pub(super) struct SiteRequest {
    pub path: String,
    pub query: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl SiteRequest {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        for pair in self.query.split('&') {
            let Some((key, value)) = pair.split_once('=') else {
                continue;
            };
            if key == name {
                return Some(value.replace("%00", "\0"));
            }
        }
        None
    }
}

/// Marks a response after which the connection is closed without `connection: close`.
#[derive(Debug, Clone, Copy)]
pub(super) struct CloseAfterResponse;

/// Delay between such a response and the close, in which the response is written.
const CLOSE_DELAY: Duration = Duration::from_millis(15);

/// Marks a response that is not sent; its connection is closed instead.
#[derive(Debug, Clone, Copy)]
pub(super) struct BreakConnection;

/// Headers that a request may have.
const MAX_HEADERS: usize = 8 << 10;

/// Length of the accept queue; short, so that [`SiteServer::lose_connections`] can fill it.
const BACKLOG: u32 = 64;

/// The accept queue counts as full when a connection is not established within this time.
const QUEUE_FULL_TIMEOUT: Duration = Duration::from_millis(100);

/// Makes new connections to a server time out until it is dropped.
#[derive(Debug)]
pub struct ConnectionLossGuard {
    paused: watch::Sender<bool>,
    _queued: Vec<TcpStream>,
}

impl Drop for ConnectionLossGuard {
    fn drop(&mut self) {
        self.paused.send_replace(false);
    }
}

/// A running server; dropping it closes its listener and all connections immediately.
#[derive(Debug)]
pub(super) struct SiteServer {
    pub address: SocketAddr,
    /// Stops it as if it were dropped when notified.
    pub crash: Arc<Notify>,
    closing: Arc<Notify>,
    paused: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Drop for SiteServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SiteServer {
    pub fn start<H, F>(handler: H) -> std::io::Result<Self>
    where
        H: Fn(SiteRequest) -> F + Clone + Send + 'static,
        F: Future<Output = SiteResponse> + Send + 'static,
    {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let closing = Arc::new(Notify::new());
        let closed = Arc::clone(&closing);
        let (paused, mut pause) = watch::channel(false);
        let crash = Arc::new(Notify::new());
        let crashed = Arc::clone(&crash);
        let serving = async move {
            let mut connections = JoinSet::new();
            loop {
                // This can't fail: the sender lives as long as this task.
                drop(pause.wait_for(|paused| !paused).await);
                let accepted = tokio::select! {
                    () = closed.notified() => break,
                    _ = pause.changed() => continue,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { break };
                let handler = handler.clone();
                connections.spawn(serve(stream, handler));
            }
            drop(listener);
            while connections.join_next().await.is_some() {}
        };
        let task = tokio::spawn(async move {
            tokio::select! {
                () = serving => {}
                () = crashed.notified() => {}
            }
        });
        Ok(Self {
            address,
            crash,
            closing,
            paused,
            task,
        })
    }

    /// Makes new connections time out until the returned guard is dropped: the server stops
    /// accepting and the accept queue is filled. Open connections are not affected.
    pub async fn lose_connections(&self) -> ConnectionLossGuard {
        self.paused.send_replace(true);
        let mut queued = Vec::new();
        loop {
            let connecting = TcpStream::connect(self.address);
            match tokio::time::timeout(QUEUE_FULL_TIMEOUT, connecting).await {
                Ok(Ok(stream)) => queued.push(stream),
                Ok(Err(_)) | Err(_) => break,
            }
        }
        ConnectionLossGuard {
            paused: self.paused.clone(),
            _queued: queued,
        }
    }

    /// Stops accepting connections; open ones continue.
    pub fn stop_listening(&self) {
        self.closing.notify_one();
    }
}

/// Serves one connection; after a response marked [`CloseAfterResponse`] it is
/// closed, as a server does with connections of a maximum age.
async fn serve<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(SiteRequest) -> F + Clone + Send + 'static,
    F: Future<Output = SiteResponse> + Send + 'static,
{
    let close = Arc::new(Notify::new());
    let marked = Arc::clone(&close);
    let service = service_fn(move |request| {
        let (handler, marked) = (handler.clone(), Arc::clone(&marked));
        async move {
            let response = handle(handler, request).await;
            if response.extensions().get::<CloseAfterResponse>().is_some() {
                marked.notify_one();
            }
            if response.extensions().get::<BreakConnection>().is_some() {
                return Err(std::io::Error::from(ErrorKind::ConnectionReset));
            }
            Ok(response)
        }
    });
    let connection = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A failed connection is visible to the client.
    tokio::select! {
        ended = connection.as_mut() => drop(ended),
        () = async {
            close.notified().await;
            tokio::time::sleep(CLOSE_DELAY).await;
        } => {}
    }
}

async fn handle<H, F>(handler: H, request: Request<Incoming>) -> SiteResponse
where
    H: Fn(SiteRequest) -> F,
    F: Future<Output = SiteResponse>,
{
    let (head, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return text_response(StatusCode::BAD_REQUEST, ""),
    };
    handler(SiteRequest {
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or("").to_owned(),
        headers: head.headers,
        body,
    })
    .await
}

pub(super) fn full_body(bytes: impl Into<Bytes>) -> SiteBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

pub(super) fn text_response(status: StatusCode, text: &str) -> SiteResponse {
    let mut response = Response::new(full_body(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// Closes the connection of the request without a response.
pub(super) fn broken_connection() -> SiteResponse {
    let mut response = text_response(StatusCode::OK, "");
    response.extensions_mut().insert(BreakConnection);
    response
}

pub(super) fn json_response(value: &serde_json::Value) -> SiteResponse {
    text_response(StatusCode::OK, &value.to_string())
}
