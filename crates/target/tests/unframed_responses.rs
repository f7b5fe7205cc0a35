//! Responses of services that have neither a length nor chunks and end with their connection.

use std::time::Duration;

use bytes::Bytes;
use target::service::{HttpServiceClient, ServiceClient, ServiceError, ServiceRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use web::WebClient;

/// Head and first half of a response without a length.
const HALF_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nhalf";

/// Time after the end of its connections at which a dying instance stops listening.
const LISTENER_DELAY: Duration = Duration::from_millis(10);

/// Sends a call to an instance that closes the connection after half of a response, and lives on or not.
async fn call_instance(dies: bool) -> Result<Bytes, ServiceError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1024];
        let length = stream.read(&mut request).await.expect("a request");
        assert!(length > 0);
        stream.write_all(HALF_RESPONSE).await.expect("a reader");
        drop(stream);
        if !dies {
            return Some(listener);
        }
        tokio::time::sleep(LISTENER_DELAY).await;
        drop(listener);
        None
    });
    let client = HttpServiceClient::new(WebClient::default());
    let request = ServiceRequest {
        path: "/pay".to_owned(),
        key: None,
        customer: "desk".parse().expect("a customer"),
        content_type: None,
        body: Bytes::new(),
    };
    let called = client.call(address, &request, Duration::from_secs(5)).await;
    drop(serving.await);
    called.map(|response| response.body)
}

/// An instance dies in the middle of its response to a payment and closes the connection in order. The
/// caller must hear that the outcome is unknown, not get half of the receipt.
#[tokio::test]
async fn dead_instance_loses_response() {
    let called = call_instance(true).await;
    assert!(matches!(called, Err(ServiceError::ResponseLost(_))));
}

/// The same end of an instance that lives on is that of the response.
#[tokio::test]
async fn live_instance_ends_response() {
    let body = call_instance(false).await.expect("a response");
    assert_eq!(body, "half");
}
