//! Responses of services and engines whose status is none of an answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use target::engine::{EngineClient as _, HttpEngineClient};
use target::service::{
    HttpServiceClient, LookupRequest, ServiceClient as _, ServiceError, ServiceRequest,
};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use web::WebClient;
use wire::engine::ResumeRequest;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Statuses that HTTP does not know, and one that ends a protocol which no request asked to leave.
const STATUSES: [&str; 4] = ["000", "101", "600", "999"];

/// Starts a server that responds to each request with this status.
async fn start_server(status: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let response = format!("HTTP/1.1 {status} none\r\ncontent-length: 13\r\n\r\n{{\"done\":true}}");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let length = stream.read(&mut request).await.expect("a request");
            assert!(length > 0);
            // The reader may have left.
            drop(stream.write_all(response.as_bytes()).await);
            drop(stream.shutdown().await);
        }
    });
    address
}

/// Guards against a payment whose client gets such a status as the service's answer, and whose claim is settled
/// with it.
#[tokio::test]
async fn call_has_unknown_outcome() {
    for status in STATUSES {
        let address = start_server(status).await;
        let client = HttpServiceClient::new(WebClient::default());
        let request = ServiceRequest {
            path: "/pay".to_owned(),
            key: Some("k-1".to_owned()),
            customer: "desk".parse().expect("a customer"),
            content_type: None,
            body: Bytes::new(),
        };
        let called = client.call(address, &request, TIMEOUT).await;
        assert!(
            matches!(called, Err(ServiceError::ResponseLost(_))),
            "{status}: {called:?}"
        );
    }
}

/// Guards against a stream or a look-up that is taken for answered.
#[tokio::test]
async fn streams_and_lookups_fail() {
    for status in STATUSES {
        let address = start_server(status).await;
        let engine = HttpEngineClient::new(WebClient::default());
        let attempt = "a-1".parse().expect("an id");
        let resume = ResumeRequest { from: 0 };
        let started = engine.resume(address, &attempt, resume, TIMEOUT).await;
        let error = started.expect_err("no stream");
        assert!(!error.is_unsent(), "{status}: {error}");
        let client = HttpServiceClient::new(WebClient::default());
        let lookup = LookupRequest {
            path: "executions".to_owned(),
            key: "k-1".to_owned(),
            customer: "desk".parse().expect("a customer"),
        };
        let found = client.lookup(address, &lookup, TIMEOUT).await;
        assert!(found.is_err(), "{status}");
        let cancelled = engine.cancel(address, &attempt, TIMEOUT).await;
        assert!(cancelled.is_err(), "{status}");
    }
}
