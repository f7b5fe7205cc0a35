//! Requests whose body takes long to arrive.

use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::site::{HOST, KEY, TestSite};

/// Time after which a node gives up a body, and a little more.
const BODY_TIMEOUT: Duration = Duration::from_millis(12_500);

/// Guards against 400 for a body that was merely late: the client takes its request for wrong and does not
/// send it again, though it has not run and may be served.
#[tokio::test(flavor = "multi_thread")]
async fn late_body_is_not_wrong() {
    let site = TestSite::start(0, 1);
    let node = site.node("n0").await;
    let head = format!(
        "POST /pay/fee HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: b-1\r\nx-credential: {KEY}\r\n\
         x-deadline-ms: 20000\r\ncontent-length: 10\r\n\r\n12345"
    );
    let mut stream = TcpStream::connect(node.requests)
        .await
        .expect("node listens");
    stream.write_all(head.as_bytes()).await.expect("node reads");
    let mut response = vec![0; 1024];
    let reading = tokio::time::timeout(BODY_TIMEOUT, stream.read(&mut response));
    let length = reading.await.expect("a response").expect("a connection");
    let text = String::from_utf8_lossy(&response[..length]).to_lowercase();
    assert!(text.starts_with("http/1.1 408"), "{text}");
    assert!(text.contains("connection: close"), "{text}");
    assert_eq!(site.plain_runs("b-1"), 0);
}
