//! Status lines that are none of an answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use web::{HttpConnection, WebClient};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Statuses that HTTP does not know, that can't be read, or that the request did not ask for.
const NO_ANSWERS: [&str; 17] = [
    "000", "001", "050", "099", "20", "2000", "0200", "+20", "-20", "2x0", "", "101", "600", "601",
    "666", "700", "999",
];

const ANSWERS: [u16; 8] = [200, 202, 299, 302, 404, 421, 503, 599];

/// Starts a server that responds to the first request on each connection with this status.
async fn start_server(status: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let response = format!("HTTP/1.1 {status} none\r\ncontent-length: 4\r\n\r\nbody");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            let length = stream.read(&mut request).await.expect("a request");
            assert!(length > 0);
            // The reader may have left.
            drop(stream.write_all(response.as_bytes()).await);
            drop(stream.shutdown().await);
        }
    });
    address
}

/// Status that each of the two clients makes of a status line; `None` if it is an error that leaves open whether the
/// request ran.
async fn read_status(status: &str) -> [Option<StatusCode>; 2] {
    let address = start_server(status).await;
    let uri = format!("http://{address}/");
    let connected = HttpConnection::connect(address, TIMEOUT).await;
    let mut connection = connected.expect("a connection");
    let request = Request::get(&uri).body(Full::new(Bytes::new()));
    let sent = connection.send(request.expect("a request")).await;
    assert!(!matches!(&sent, Err(error) if error.is_unsent()));
    let request = Request::get(&uri).body(web::body::full_body(Bytes::new()));
    let request = request.expect("a request");
    let received = WebClient::default().send(address, request, TIMEOUT).await;
    assert!(!matches!(&received, Err(error) if error.is_unsent()));
    [
        sent.ok().map(|response| response.status()),
        received.ok().map(|response| response.status()),
    ]
}

/// Guards against bytes that pass for an answer though their status is outside the protocol, or the end of a
/// protocol that the request did not ask to leave.
#[tokio::test]
async fn no_answers() {
    for status in NO_ANSWERS {
        assert_eq!(read_status(status).await, [None, None], "{status:?}");
    }
}

/// Guards against a check that refuses answers.
#[tokio::test]
async fn answers_read() {
    for status in ANSWERS {
        let expected = StatusCode::from_u16(status).ok();
        let read = read_status(&status.to_string()).await;
        assert_eq!(read, [expected, expected], "{status}");
    }
}
