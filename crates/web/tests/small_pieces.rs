//! Bodies that come in very small pieces.

use std::convert::Infallible;

use bytes::Bytes;
use futures::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use web::read_body;

/// Size of the body in bytes, each of which is a piece of its own.
const BODY_BYTES: usize = 8 << 20;

/// Memory that the process may use, in KiB.
const MAX_MEMORY_KIB: u64 = 128 << 10;

/// Most memory that this process has used, in KiB.
fn peak_memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("readable");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let number = number.and_then(|number| number.parse().ok());
    number.expect("a number")
}

/// Guards against a body that takes many times its size in memory, since each piece is kept by itself: a few
/// of them would exhaust the memory of a node long before their limit in bytes.
#[tokio::test]
async fn memory_of_small_pieces() {
    let pieces =
        (0..BODY_BYTES).map(|_| Ok::<_, Infallible>(Frame::data(Bytes::from_static(b"x"))));
    let body = StreamBody::new(stream::iter(pieces));
    let bytes = read_body(body, BODY_BYTES).await.expect("within the limit");
    assert_eq!(bytes.len(), BODY_BYTES);
    let memory = peak_memory();
    assert!(memory < MAX_MEMORY_KIB, "{memory} KiB");
}
