//! A small HTTP server whose connections all end with it.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

pub(super) type SiteBody = UnsyncBoxBody<Bytes, std::io::Error>;
pub(super) type SiteAnswer = Response<SiteBody>;

/// A request with its whole body.
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

/// A running server; dropped, it closes its listener and all its connections at once.
#[derive(Debug)]
pub(super) struct SiteServer {
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for SiteServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SiteServer {
    pub async fn start<H, F>(handler: H) -> std::io::Result<Self>
    where
        H: Fn(SiteRequest) -> F + Clone + Send + 'static,
        F: Future<Output = SiteAnswer> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let handler = handler.clone();
                connections.spawn(async move {
                    let service = service_fn(move |request| {
                        let handler = handler.clone();
                        async move { Ok::<_, Infallible>(answer(handler, request).await) }
                    });
                    let builder = http1::Builder::new();
                    // The other side sees how its connection ends.
                    drop(
                        builder
                            .serve_connection(TokioIo::new(stream), service)
                            .await,
                    );
                });
            }
        });
        Ok(Self { address, task })
    }
}

async fn answer<H, F>(handler: H, request: Request<Incoming>) -> SiteAnswer
where
    H: Fn(SiteRequest) -> F,
    F: Future<Output = SiteAnswer>,
{
    let (head, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return plain(StatusCode::BAD_REQUEST, ""),
    };
    handler(SiteRequest {
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or("").to_owned(),
        headers: head.headers,
        body,
    })
    .await
}

pub(super) fn full(bytes: impl Into<Bytes>) -> SiteBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

pub(super) fn plain(status: StatusCode, text: &str) -> SiteAnswer {
    let mut answer = Response::new(full(text.to_owned()));
    *answer.status_mut() = status;
    answer
}

pub(super) fn json(value: &serde_json::Value) -> SiteAnswer {
    plain(StatusCode::OK, &value.to_string())
}
