//! Client requests and their responses.

use std::fmt::Write as _;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use web::HttpConnection;

use crate::node::TestNode;
use crate::site::{HOST, KEY};

/// Timeout for connecting over loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// A response read to its end, or as far as it came.
#[derive(Debug)]
pub struct TestResponse {
    pub status: StatusCode,
    pub headers: http::HeaderMap,
    pub text: String,
    /// Whether the body was complete rather than truncated.
    pub complete: bool,
}

/// Head of a request without the empty line at its end, for clients that write their bytes themselves.
pub fn request_head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-credential: {KEY}\r\n\
         x-deadline-ms: 8000\r\n"
    )
}

/// Builder for a client request.
#[derive(Clone)]
pub struct TestRequest {
    path: String,
    id: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl TestRequest {
    pub fn new(path: &str, id: &str) -> Self {
        let request = Self {
            path: path.to_owned(),
            id: id.to_owned(),
            headers: Vec::new(),
            body: Bytes::from_static(b"{}"),
        };
        request
            .header("x-credential", KEY)
            .header("x-deadline-ms", "5000")
    }

    pub fn chat(id: &str) -> Self {
        Self::new("/chat/x", id)
            .header("x-model", "helper")
            .header("x-token-usage", "100,60")
    }

    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    pub fn body(mut self, bytes: Vec<u8>) -> Self {
        self.body = Bytes::from(bytes);
        self
    }

    /// Sends the request and returns the response head.
    pub async fn begin(&self, node: &TestNode) -> (HttpConnection, Response<Incoming>) {
        let began = self.try_begin(node).await;
        began.expect("connection and response head")
    }

    /// Sends the request and returns the response head; `None` if the connection fails or breaks.
    pub async fn try_begin(&self, node: &TestNode) -> Option<(HttpConnection, Response<Incoming>)> {
        let connected = HttpConnection::connect(node.requests, CONNECT_TIMEOUT).await;
        let mut connection = connected.ok()?;
        let response = self.begin_on(&mut connection).await?;
        Some((connection, response))
    }

    /// Sends the request on an open connection and returns the response head, if one comes.
    pub async fn begin_on(&self, connection: &mut HttpConnection) -> Option<Response<Incoming>> {
        let mut request = Request::post(&self.path)
            .header("host", HOST)
            .header("x-request-id", &self.id);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(self.body.clone()))
            .expect("valid request");
        connection.send(request).await.ok()
    }

    /// Sends the request and reads the whole response.
    pub async fn send(&self, node: &TestNode) -> TestResponse {
        let (_connection, response) = self.begin(node).await;
        read_response(response).await
    }
}

/// Reads a response as far as it comes.
pub async fn read_response(response: Response<Incoming>) -> TestResponse {
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            complete = false;
            break;
        };
        bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data.as_ref()));
    }
    TestResponse {
        status: head.status,
        headers: head.headers,
        text: String::from_utf8_lossy(&bytes).into_owned(),
        complete,
    }
}

/// Text of a complete stream of `events` events.
pub fn complete_stream(events: usize) -> String {
    let mut text = String::new();
    for id in 1..=events {
        writeln!(text, "id: {id}\ndata: piece {id}\n").expect("writing to a String can't fail");
    }
    text
}
