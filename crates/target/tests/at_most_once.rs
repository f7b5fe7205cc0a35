//! A service call is sent at most once, whatever happens to its connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use target::service::ServiceRequest;
use target::{HttpServiceClient, ServiceClient, ServiceError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use web::WebClient;

const TIMEOUT: Duration = Duration::from_secs(10);
const RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\npaid";

fn payment() -> ServiceRequest {
    ServiceRequest {
        path: "/fees/pay".to_owned(),
        key: Some("B-14".to_owned()),
        customer: "traders".parse().expect("valid id"),
        content_type: None,
        body: Bytes::from_static(b"{}"),
    }
}

/// Reads requests until the client closes the connection. Responds to the first `max_responses`
/// requests over all connections, and closes the connection on any later request.
async fn serve_requests(mut stream: TcpStream, requests: Arc<AtomicUsize>, max_responses: usize) {
    let mut buffer = vec![0; 4096];
    loop {
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&buffer[..count]);
        let received = text.matches("POST ").count();
        if received == 0 {
            continue;
        }
        let previous = requests.fetch_add(received, Ordering::SeqCst);
        if previous >= max_responses {
            return;
        }
        let _ = stream.write_all(RESPONSE).await;
    }
}

async fn start_server(max_responses: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bound listener");
    let address = listener.local_addr().expect("local address");
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_requests(stream, Arc::clone(&counter), max_responses));
        }
    });
    (address, requests)
}

/// A service receives a payment and closes the connection without a response. The payment may have
/// been made, so an HTTP client that silently retries the request would make it twice.
#[tokio::test]
async fn no_retry_after_close_without_response() {
    let (address, requests) = start_server(1).await;
    let service = HttpServiceClient::new(WebClient::default());
    let first = service.call(address, &payment(), TIMEOUT).await;
    assert_eq!(first.expect("response").body, "paid");
    let second = service.call(address, &payment(), TIMEOUT).await;
    assert!(
        matches!(second, Err(ServiceError::ResponseLost(_))),
        "{second:?}"
    );
    assert_eq!(requests.load(Ordering::SeqCst), 2, "each call is sent once");
}

/// A service closes every connection after one response, just when the next request arrives on it.
/// If a payment were sent on such a reused connection, its outcome would be reported as unknown,
/// although the service works.
#[tokio::test]
async fn no_reuse_of_connections() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bound listener");
    let address = listener.local_addr().expect("local address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let requests = Arc::new(AtomicUsize::new(0));
            tokio::spawn(serve_requests(stream, requests, 1));
        }
    });
    let service = HttpServiceClient::new(WebClient::default());
    for round in 0..20 {
        let response = service.call(address, &payment(), TIMEOUT).await;
        assert!(response.is_ok(), "round {round}: {response:?}");
    }
}

/// The service is not running. The error must say that the call was certainly not run.
#[tokio::test]
async fn refused_connection_is_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bound listener");
    let address = listener.local_addr().expect("local address");
    drop(listener);
    let service = HttpServiceClient::new(WebClient::default());
    let response = service.call(address, &payment(), TIMEOUT).await;
    assert!(
        matches!(response, Err(ServiceError::Unsent(_))),
        "{response:?}"
    );
}
