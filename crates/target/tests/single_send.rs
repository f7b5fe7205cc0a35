//! A call of a service leaves this process at most once, whatever its connection does.

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

const PATIENCE: Duration = Duration::from_secs(10);
const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\npaid";

fn payment() -> ServiceRequest {
    ServiceRequest {
        path: "/fees/pay".to_owned(),
        key: Some("B-14".to_owned()),
        customer: "traders".parse().expect("an id"),
        content_type: None,
        body: Bytes::from_static(b"{}"),
    }
}

/// Reads requests until the peer closes; answers the first `answered` of all connections and
/// closes the connection on any later one.
async fn serve_requests(mut stream: TcpStream, requests: Arc<AtomicUsize>, answered: usize) {
    let mut buffer = vec![0; 4096];
    loop {
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&buffer[..count]);
        let heads = text.matches("POST ").count();
        if heads == 0 {
            continue;
        }
        let before = requests.fetch_add(heads, Ordering::SeqCst);
        if before >= answered {
            return;
        }
        let _ = stream.write_all(ANSWER).await;
    }
}

async fn start_server(answered: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_requests(stream, Arc::clone(&counter), answered));
        }
    });
    (address, requests)
}

/// A service takes a payment and closes the connection before it answers. The money may be
/// taken; a client library that quietly sends the request again would take it twice.
#[tokio::test]
async fn closed_unanswered() {
    let (address, requests) = start_server(1).await;
    let service = HttpServiceClient::new(WebClient::default());
    let first = service.call(address, &payment(), PATIENCE).await;
    assert_eq!(first.expect("an answer").body, "paid");
    let second = service.call(address, &payment(), PATIENCE).await;
    assert!(
        matches!(second, Err(ServiceError::ResponseLost(_))),
        "{second:?}"
    );
    assert_eq!(requests.load(Ordering::SeqCst), 2, "one send for each call");
}

/// A service gives up a connection after one answer, at the moment at which the next request
/// arrives on it. A caller whose payment goes onto such a connection would be told that its
/// outcome is unknown, though nothing is wrong with the service.
#[tokio::test]
async fn idle_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let fresh = Arc::new(AtomicUsize::new(0));
            tokio::spawn(serve_requests(stream, fresh, 1));
        }
    });
    let service = HttpServiceClient::new(WebClient::default());
    for round in 0..20 {
        let answer = service.call(address, &payment(), PATIENCE).await;
        assert!(answer.is_ok(), "round {round}: {answer:?}");
    }
}

/// A service is not running at all. The caller must be told so, and that nothing was run.
#[tokio::test]
async fn nothing_listens() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let service = HttpServiceClient::new(WebClient::default());
    let answer = service.call(address, &payment(), PATIENCE).await;
    assert!(matches!(answer, Err(ServiceError::Unsent(_))), "{answer:?}");
}
