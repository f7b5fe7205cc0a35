//! Streams whose lines never end.

use std::time::Duration;

use target::engine::{EngineClient as _, HttpEngineClient, StreamStart, TokenStream as _};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use web::WebClient;
use wire::engine::ResumeRequest;

const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Size of each chunk in bytes, and how many of them make twice the longest line.
const CHUNK_BYTES: usize = 4;
const CHUNKS: usize = (2 << 20) / CHUNK_BYTES;

/// Guards against work that grows with the square of a line that never ends: in small pieces it would occupy
/// a thread for minutes before the line is found to be too long.
#[tokio::test]
async fn endless_line_rejected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1024];
        let length = stream.read(&mut request).await.expect("a request");
        assert!(length > 0);
        stream.write_all(STREAM_HEAD).await.expect("a reader");
        let mut pieces = Vec::new();
        for _ in 0..CHUNKS {
            pieces.extend_from_slice(b"4\r\nxxxx\r\n");
        }
        // The reader leaves in the middle.
        drop(stream.write_all(&pieces).await);
    });
    let client = HttpEngineClient::new(WebClient::default());
    let timeout = Duration::from_secs(5);
    let attempt = "a-1".parse().expect("an id");
    let resume = ResumeRequest { from: 0 };
    let started = client.resume(address, &attempt, resume, timeout).await;
    let Ok(StreamStart::Running(mut stream)) = started else {
        panic!("no stream");
    };
    let event = stream.next_event(timeout).await;
    let error = event.expect_err("a line that never ends");
    assert!(
        error.to_string().contains("the line is too long"),
        "{error}"
    );
    drop(stream);
    drop(serving.await);
}
