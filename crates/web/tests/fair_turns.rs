//! Connections whose peers always have bytes ready, on a runtime with one thread.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use quickcheck::quickcheck;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use web::{FairStream, HttpConnection};

/// Time for which a peer sends, and the shortest part of it that other tasks must get.
const SENDING_TIME: Duration = Duration::from_secs(2);
const MIN_SHARE: f64 = 0.5;

/// Starts a server on a thread of its own that answers a request with some bytes once and others without end.
fn start_endless(once: &'static [u8], repeated: &'static [u8]) -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().expect("a runtime");
        runtime.block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            sender
                .send(listener.local_addr().expect("bound"))
                .expect("awaited");
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 1024];
            assert!(stream.read(&mut request).await.expect("a request") > 0);
            let block = repeated.repeat((64 << 10) / repeated.len());
            drop(stream.write_all(once).await);
            while stream.write_all(&block).await.is_ok() {}
        });
    });
    receiver.recv().expect("it listens")
}

/// Reads a response for as long as it comes, up to the time; the connection is closed then.
async fn read_until(address: SocketAddr, time: Duration) {
    let mut connection = HttpConnection::connect(address, time)
        .await
        .expect("connected");
    let request = Request::get("/").body(Full::new(Bytes::new()));
    let reading = async {
        let response = connection.send(request.expect("valid")).await?;
        let mut body = response.into_body();
        while let Some(Ok(_)) = body.frame().await {}
        Ok::<_, web::ConnectionError>(())
    };
    drop(tokio::time::timeout(time, reading).await);
}

/// Guards against a response that keeps the only thread: no timer fires, and no other connection is served. Targets, the
/// store and health checks are read this way.
#[tokio::test]
async fn other_tasks_get_turns() {
    for (once, repeated) in [
        (
            &b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"[..],
            &b"0"[..],
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"1\r\nx\r\n",
        ),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    ] {
        let address = start_endless(once, repeated);
        let began = Instant::now();
        let reading = tokio::spawn(read_until(address, SENDING_TIME));
        let mut waited = Duration::ZERO;
        while !reading.is_finished() {
            let asked_at = Instant::now();
            tokio::task::yield_now().await;
            waited = waited.max(asked_at.elapsed());
        }
        let took = began.elapsed();
        let name = String::from_utf8_lossy(repeated);
        assert!(
            took < SENDING_TIME.mul_f64(1.0 + MIN_SHARE),
            "{name:?}: ended after {took:?}"
        );
        assert!(
            waited < SENDING_TIME.mul_f64(MIN_SHARE),
            "{name:?}: a turn of {waited:?}"
        );
    }
}

quickcheck! {
    /// However bytes come and are read, all arrive in order.
    fn bytes_unchanged(pieces: Vec<Vec<u8>>, room: u16) -> bool {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        runtime.block_on(async {
            let (mut writer, reader) = tokio::io::duplex(20_000);
            let sent: Vec<u8> = pieces.iter().map(|piece| piece.repeat(50)).collect::<Vec<_>>().concat();
            let expected = sent.clone();
            let writing = async move {
                writer.write_all(&sent).await.expect("a reader");
            };
            let reading = async {
                let mut stream = FairStream::new(reader);
                let mut received = Vec::new();
                let mut buffer = vec![0; usize::from(room) + 1];
                loop {
                    let length = stream.read(&mut buffer).await.expect("a writer");
                    if length == 0 {
                        return received;
                    }
                    received.extend_from_slice(&buffer[..length]);
                }
            };
            let ((), received) = tokio::join!(writing, reading);
            received == expected
        })
    }
}
