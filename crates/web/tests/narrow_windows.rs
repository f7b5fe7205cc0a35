//! Places of requests whose clients with HTTP/2 let little of a response be sent.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use intake::PlaceReport;
use tokio::net::{TcpListener, TcpStream};
use web::{ServerLimits, WebHandler, WebRequest, WebResponse, serve_listener, text_response};

/// Bytes of a response.
const RESPONSE_BYTES: usize = 4 << 10;

const LIMITS: ServerLimits = ServerLimits {
    max_connections: 10,
    max_requests: 1,
    idle_timeout: Duration::from_mins(1),
    read_timeout: Duration::from_mins(1),
};

struct FixedResponse;

impl WebHandler for FixedResponse {
    async fn handle(&self, _request: WebRequest) -> WebResponse {
        text_response(StatusCode::OK, &"x".repeat(RESPONSE_BYTES))
    }

    fn refuse(&self) -> WebResponse {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "no place")
    }

    fn record_displaced(&self, _report: PlaceReport) {}

    fn record_accept_failure(&self, error: &io::Error) {
        panic!("{error}");
    }
}

async fn connect(address: std::net::SocketAddr, window: u32) -> http2::SendRequest<Empty<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("it listens");
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder.initial_stream_window_size(window);
    let connecting = builder.handshake(TokioIo::new(stream));
    let (sender, connection) = connecting.await.expect("HTTP/2");
    tokio::spawn(connection);
    sender
}

fn request() -> Request<Empty<Bytes>> {
    let request = Request::get("http://entry/").body(Empty::new());
    request.expect("a request")
}

/// Guards against short responses that count as sent while their clients have not let them be sent: many of them took
/// the memory of the process.
#[tokio::test]
async fn place_kept_until_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let no_shutdown = std::future::pending();
    tokio::spawn(serve_listener(
        listener,
        Arc::new(FixedResponse),
        LIMITS,
        no_shutdown,
    ));
    let mut narrow = connect(address, 1).await;
    let held = narrow.send_request(request()).await.expect("a response");
    assert_eq!(held.status(), StatusCode::OK);
    let mut other = connect(address, 1 << 16).await;
    for _ in 0..10 {
        let refused = other.send_request(request()).await.expect("a response");
        assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
        let read = refused.into_body().collect().await;
        read.expect("a whole response");
    }
    // The client takes the response, and its place is free again.
    let read = held.into_body().collect().await.expect("a whole response");
    assert_eq!(read.to_bytes().len(), RESPONSE_BYTES);
    let served = other.send_request(request()).await.expect("a response");
    assert_eq!(served.status(), StatusCode::OK);
}
