//! HTTP server of a stand-in: passes complete requests to the handler and injects faults.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use eyre::WrapErr;
use http::{HeaderValue, Request, StatusCode, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use web::{WebResponse, read_body, text_response};

use crate::faults::{FAULTS_PATH, FaultDecision, FaultInjector};

const MAX_REQUEST_BYTES: usize = 64 << 20;

/// Handles requests whose body has been read completely.
pub trait StandinHandler: Send + Sync + 'static {
    /// Handles one request; failures are reported as error responses.
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = WebResponse> + Send;
}

/// Makes hyper close the connection without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the response is dropped by an injected fault")]
pub struct ResponseDropped;

/// Serves a stand-in until the process is interrupted, and prints the address to standard output.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve_standin<H: StandinHandler>(
    name: &str,
    address: Option<SocketAddr>,
    handler: Arc<H>,
    faults: Arc<FaultInjector>,
) -> eyre::Result<()> {
    let address = address.unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("{name} can't listen on {address}"))?;
    println!("{name} listens on {}", listener.local_addr()?);
    tokio::select! {
        result = accept_forever(listener, handler, faults) => result,
        _ = tokio::signal::ctrl_c() => Ok(()),
    }
}

async fn accept_forever<H: StandinHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    faults: Arc<FaultInjector>,
) -> eyre::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(
            stream,
            Arc::clone(&handler),
            Arc::clone(&faults),
        ));
    }
}

async fn serve_connection<H: StandinHandler>(
    stream: TcpStream,
    handler: Arc<H>,
    faults: Arc<FaultInjector>,
) {
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        let faults = Arc::clone(&faults);
        respond(request, handler, faults)
    });
    let _ = Builder::new(TokioExecutor::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn respond<H: StandinHandler>(
    request: Request<Incoming>,
    handler: Arc<H>,
    faults: Arc<FaultInjector>,
) -> Result<WebResponse, ResponseDropped> {
    let (head, body) = request.into_parts();
    let bytes = match read_body(body, MAX_REQUEST_BYTES).await {
        Ok(bytes) => bytes,
        Err(error) => return Ok(text_response(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    let request = Request::from_parts(head, bytes);
    if request.uri().path() == FAULTS_PATH {
        return Ok(faults.handle(&request));
    }
    match faults.decide(&request) {
        FaultDecision::Hang => std::future::pending().await,
        FaultDecision::Drop => Err(ResponseDropped),
        FaultDecision::Refuse => Ok(text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "out of order",
        )),
        FaultDecision::Throttle => Ok(throttled()),
        FaultDecision::Run {
            latency,
            response_latency,
            lost,
        } => {
            // hyper drops a request's future when the caller disconnects. A real store still
            // completes the request, so it runs in a task of its own.
            let running = tokio::spawn(async move {
                faults.begin();
                tokio::time::sleep(latency).await;
                let response = handler.handle(request).await;
                tokio::time::sleep(response_latency).await;
                faults.end();
                response
            });
            let response = running.await.map_err(|_| ResponseDropped)?;
            if lost {
                Err(ResponseDropped)
            } else {
                Ok(response)
            }
        }
    }
}

fn throttled() -> WebResponse {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "over the limit");
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    response
}
