//! Crowds at the product's own interface that do not read, that hold connections with HTTP/2, or that come over TLS.

use std::time::Duration;

use rustls::pki_types::ServerName;
use serde_json::json;
use standin::stack::CUSTOMER_KEY;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::crowd::{Crowd, CrowdBytes, MOST_BYTES, settle};
use crate::http2::{
    CONTINUATION, DATA, END_HEADERS, END_STREAM, HEADERS, PREFACE, RST_STREAM, frame,
};
use crate::own_face::{CROWD, DESCRIPTORS, SERVER_NAME, TestEntry};

/// Bytes of a call's body, which its response repeats.
const BODY_BYTES: usize = 200 << 10;

/// The same where it has to fit into the window of a stream with HTTP/2.
const STREAM_BODY_BYTES: usize = 30_000;

/// Largest payload of a frame.
const FRAME_BYTES: usize = 16 << 10;

/// The start of a connection with HTTP/2 whose client takes no bytes of responses.
const PREFACE_WITHOUT_WINDOW: &[u8] =
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x06\x04\x00\x00\x00\x00\x00\x00\x04\x00\x00\x00\x00";

/// Streams that one connection opens.
const STREAMS: u32 = 32;

/// Bytes of a head without end on a link.
const LINK_HEAD_BYTES: usize = 4 << 20;

/// Connections of a crowd at the address for links.
const LINK_CROWD: usize = 48;

/// Time within which an idle connection must be closed. It only tells whether there is a limit.
const CLOSE_TIMEOUT: Duration = Duration::from_mins(1);

/// An empty frame of settings.
const SETTINGS: &[u8] = b"\x00\x00\x00\x04\x00\x00\x00\x00\x00";

/// Head of `POST /hello`, compressed.
const HELLO_HEAD: &[u8] = b"\x83\x86\x04\x06/hello\x01\x04peer";

/// Head of a `POST` with the customer's key, compressed.
fn call_head(path: &str) -> Vec<u8> {
    let text = |text: &str| {
        let length = u8::try_from(text.len()).expect("a short text");
        [&[length], text.as_bytes()].concat()
    };
    let mut head = b"\x83\x86\x04".to_vec();
    head.extend(text(path));
    head.extend(b"\x01\x05entry");
    for (name, value) in [
        ("authorization", format!("Bearer {CUSTOMER_KEY}")),
        ("content-type", "application/json".to_owned()),
    ] {
        head.push(0);
        head.extend(text(name));
        head.extend(text(&value));
    }
    head
}

/// A stream of tokens, in a body.
const STREAM_BODY: &str =
    r#"{"model":"trader-help","prompt":"Which?","max_tokens":20000,"stream":true}"#;

fn post(path: &str, body: &str) -> CrowdBytes {
    CrowdBytes::once(format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Guards against responses that nobody reads: they hold the room of all requests, and others are refused.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers() {
    let settings = json!({ "held_memory": "16MiB" });
    let entry = TestEntry::start_plan("answers", DESCRIPTORS, &settings, false).await;
    let body = json!({ "note": "y".repeat(BODY_BYTES) }).to_string();
    let bytes = post("/v1/services/licences/licences/find", &body).read_little();
    let _crowd = Crowd::gather(entry.address(), CROWD, &bytes).await;
    entry.assert_sound(CROWD).await;
}

/// Guards against the same by clients with HTTP/2 that let nothing be sent to them.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_http2() {
    let settings = json!({ "held_memory": "16MiB" });
    let entry = TestEntry::start_plan("windows", DESCRIPTORS, &settings, false).await;
    let body = json!({ "note": "y".repeat(STREAM_BODY_BYTES) }).to_string();
    let mut bytes = PREFACE_WITHOUT_WINDOW.to_vec();
    let head = call_head("/v1/services/licences/licences/find");
    bytes.extend(frame(HEADERS, END_HEADERS, 1, &head));
    let pieces: Vec<&[u8]> = body.as_bytes().chunks(FRAME_BYTES).collect();
    for (index, piece) in pieces.iter().enumerate() {
        let is_last = index + 1 == pieces.len();
        let flags = if is_last { END_STREAM } else { 0 };
        bytes.extend(frame(DATA, flags, 1, piece));
    }
    let _crowd = Crowd::gather(entry.address(), CROWD, &CrowdBytes::once(bytes)).await;
    entry.assert_sound(CROWD).await;
}

/// Guards against streams that nobody reads: they hold the slots of all targets.
#[tokio::test(flavor = "multi_thread")]
async fn unread_streams() {
    let settings = json!({ "read_timeout": "2s" });
    let entry = TestEntry::start_plan("streams", DESCRIPTORS, &settings, false).await;
    let bytes = post("/v1/completions", STREAM_BODY).read_little();
    let _crowd = Crowd::gather(entry.address(), CROWD, &bytes).await;
    // A client that reads nothing is known as such after its timeout.
    entry.wait_served().await;
    entry.assert_sound(CROWD).await;
}

/// Guards against the same by clients with HTTP/2 that let nothing be sent to them, with many streams each.
#[tokio::test(flavor = "multi_thread")]
async fn unread_streams_http2() {
    let settings = json!({ "read_timeout": "2s" });
    let entry = TestEntry::start_plan("stream-windows", DESCRIPTORS, &settings, false).await;
    let mut bytes = PREFACE_WITHOUT_WINDOW.to_vec();
    for stream in (0..STREAMS).map(|number| 2 * number + 1) {
        bytes.extend(frame(
            HEADERS,
            END_HEADERS,
            stream,
            &call_head("/v1/completions"),
        ));
        bytes.extend(frame(DATA, END_STREAM, stream, STREAM_BODY.as_bytes()));
    }
    let _crowd = Crowd::gather(entry.address(), CROWD, &CrowdBytes::once(bytes)).await;
    // A client that reads nothing is known as such after its timeout.
    entry.wait_served().await;
    entry.assert_sound(CROWD).await;
}

/// Guards against connections with HTTP/2 that ask for nothing and are never closed.
#[tokio::test(flavor = "multi_thread")]
async fn idle_http2() {
    let settings = json!({ "idle_timeout": "2s" });
    let entry = TestEntry::start_plan("idle", DESCRIPTORS, &settings, false).await;
    let stream = TcpStream::connect(entry.address()).await;
    let mut stream = stream.expect("it listens");
    stream.write_all(PREFACE).await.expect("it reads");
    let mut received = Vec::new();
    let closing = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut received));
    assert!(closing.await.is_ok(), "the connection is still open");
    entry.assert_sound(1).await;
}

/// Guards against streams that are opened and reset at once.
#[tokio::test(flavor = "multi_thread")]
async fn opened_and_reset() {
    let entry = TestEntry::start("resets").await;
    let mut bytes = PREFACE.to_vec();
    for number in 0..4000 {
        let stream = 2 * number + 1;
        bytes.extend(frame(HEADERS, END_HEADERS, stream, HELLO_HEAD));
        bytes.extend(frame(RST_STREAM, 0, stream, &[0, 0, 0, 8]));
    }
    let _crowd = Crowd::gather(entry.address(), CROWD, &CrowdBytes::once(bytes)).await;
    entry.assert_sound(CROWD).await;
}

/// Guards against many streams of one connection whose bodies stall.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies_of_streams() {
    let entry = TestEntry::start("stalled-streams").await;
    let path = b"/v1/completions";
    let length = u8::try_from(path.len()).expect("a short path");
    let head = [&b"\x83\x86\x04"[..], &[length], path, b"\x01\x05entry"].concat();
    let mut bytes = PREFACE.to_vec();
    for stream in (0..STREAMS).map(|number| 2 * number + 1) {
        bytes.extend(frame(HEADERS, END_HEADERS, stream, &head));
        bytes.extend(frame(DATA, 0, stream, &[b' '; 1024]));
    }
    let _crowd = Crowd::gather(entry.address(), CROWD, &CrowdBytes::once(bytes)).await;
    entry.assert_sound(CROWD).await;
}

/// Guards against frames of HTTP/2 without end over TLS.
#[tokio::test(flavor = "multi_thread")]
async fn settings_over_tls() {
    let entry = TestEntry::start_with("tls-settings", DESCRIPTORS, true).await;
    let connector = entry.tls.clone().expect("a TLS entry");
    let address = entry.address();
    let bytes = CrowdBytes::once(PREFACE).then_repeat(SETTINGS, MOST_BYTES);
    let sending = (0..CROWD).map(|_| {
        let (connector, bytes) = (connector.clone(), bytes.clone());
        tokio::spawn(async move {
            let stream = TcpStream::connect(address).await.ok()?;
            let name = ServerName::try_from(SERVER_NAME).ok()?;
            let mut stream = connector.connect(name, stream).await.ok()?;
            bytes.send_on(&mut stream).await;
            Some(stream)
        })
    });
    let crowd = futures::future::join_all(sending.collect::<Vec<_>>()).await;
    settle(address).await;
    entry.assert_sound(CROWD).await;
    drop(crowd);
}

/// Guards against frames of HTTP/2 without end at the admin address.
#[tokio::test(flavor = "multi_thread")]
async fn settings_at_admin() {
    let entry = TestEntry::start("admin-settings").await;
    let admin = entry.stack.entries[0].admin().await;
    let bytes = CrowdBytes::once(PREFACE).then_repeat(SETTINGS, MOST_BYTES);
    let _crowd = Crowd::gather(admin, CROWD, &bytes).await;
    entry.assert_sound(CROWD).await;
}

/// Guards against heads of HTTP/2 without end at the address for links of other entries.
#[tokio::test(flavor = "multi_thread")]
async fn heads_at_links() {
    let entry = TestEntry::start("link-heads").await;
    let begin = [PREFACE, &frame(HEADERS, 0, 1, HELLO_HEAD)].concat();
    let fields = [&b"\x00\x06x-note\x7f\x81\x01"[..], &[b'y'; 256]].concat();
    let continuation = frame(CONTINUATION, 0, 1, &fields.repeat(60));
    let bytes = CrowdBytes::once(begin).then_repeat(&continuation, LINK_HEAD_BYTES);
    let _crowd = Crowd::gather(entry.stack.peer_address(0), LINK_CROWD, &bytes).await;
    entry.assert_sound(LINK_CROWD).await;
}
