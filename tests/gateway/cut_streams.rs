//! Streams that end early, at each point of an engine's answer, while the engine lives on.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::StatusCode;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::node::TestNode;
use crate::request::{TestRequest, TestResponse, complete_stream, read_response};
use crate::site::TestSite;

/// Events of a whole stream.
const EVENTS: usize = 4;

/// Bytes after which streams are cut: the head of the stand-in's responses and the whole body lie within
/// them.
const MAX_SENT: usize = 420;

/// Bytes between two cuts; no divisor of the length of an event, so that cuts are inside events as well.
const CUT_STEP: usize = 13;

/// Cuts of each kind that lie within the head.
const MIN_INCOMPLETE: usize = 10;

/// Time that a client waits until its request reaches an engine.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Where responses to requests of clients are cut.
#[derive(Debug, Clone, Copy, Default)]
struct StreamCut {
    /// Bytes of the response that are passed on.
    sent: usize,
    /// Whether the connection is then reset instead of closed in order.
    is_reset: bool,
}

/// Starts a proxy before an engine that cuts the responses to requests of clients.
async fn start_proxy(target: SocketAddr, cut: &Arc<Mutex<StreamCut>>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("listener has an address");
    let cut = Arc::clone(cut);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(carry(stream, target, Arc::clone(&cut)));
        }
    });
    address
}

async fn carry(stream: TcpStream, target: SocketAddr, cut: Arc<Mutex<StreamCut>>) {
    let Ok(engine) = TcpStream::connect(target).await else {
        return;
    };
    let (mut reader, mut writer) = stream.into_split();
    let (mut engine_reader, mut engine_writer) = engine.into_split();
    let left = Mutex::new(None);
    let is_cut = tokio::select! {
        () = pass_requests(&mut reader, &mut engine_writer, &left, &cut) => false,
        is_cut = pass_responses(&mut engine_reader, &mut writer, &left) => is_cut,
    };
    let is_reset = cut.lock().unwrap_or_else(PoisonError::into_inner).is_reset;
    if is_cut && is_reset {
        let stream = reader.reunite(writer).expect("halves of one stream");
        let reset = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        reset.expect("the socket takes the option");
    }
}

async fn pass_requests(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    left: &Mutex<Option<usize>>,
    cut: &Mutex<StreamCut>,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if buffer.starts_with(b"POST /chat") {
            let sent = cut.lock().unwrap_or_else(PoisonError::into_inner).sent;
            *left.lock().unwrap_or_else(PoisonError::into_inner) = Some(sent);
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Passes responses on; returns whether one was cut.
async fn pass_responses(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    left: &Mutex<Option<usize>>,
) -> bool {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let known = *left.lock().unwrap_or_else(PoisonError::into_inner);
        let passed = known.map_or(length, |left| left.min(length));
        if to.write_all(&buffer[..passed]).await.is_err() {
            return false;
        }
        let rest = known.map(|left| left - passed);
        *left.lock().unwrap_or_else(PoisonError::into_inner) = rest;
        if rest == Some(0) {
            return true;
        }
    }
    false
}

/// Sends requests until one reaches the engine: after a cut the node may leave it alone for a moment.
async fn send_until_reached(node: &TestNode, label: &str) -> TestResponse {
    let sending = async {
        for number in 0.. {
            let request = TestRequest::chat(&format!("{label}-{number}"));
            let begun = request.try_begin(node).await;
            if let Some((_connection, response)) = begun
                && response.status() != StatusCode::SERVICE_UNAVAILABLE
            {
                return read_response(response).await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        unreachable!("the numbers do not end")
    };
    let sent = tokio::time::timeout(SEND_TIMEOUT, sending).await;
    sent.expect("a request reaches the engine")
}

/// Cuts streams after each few bytes. One that looks complete must be whole; if it ends with its connection,
/// which was closed in order, it must at least end after an event.
async fn cut_everywhere(is_unframed: bool) {
    let site = TestSite::start(5, 0);
    let cut = Arc::<Mutex<StreamCut>>::default();
    let set_cut = |sent: usize, is_reset: bool| {
        *cut.lock().unwrap_or_else(PoisonError::into_inner) = StreamCut { sent, is_reset };
    };
    set_cut(usize::MAX, false);
    let mut proxies = Vec::new();
    for engine in &site.engines {
        let proxy = start_proxy(engine.address(), &cut).await;
        proxies.push((engine.address(), proxy));
    }
    let store = site.store.serve_view(&proxies).expect("a free port");
    site.groups.set_unframed(is_unframed);
    site.groups.set_events(EVENTS);
    let node = site.node_in("z0", "n0", store).await;
    node.wait_replicas(1).await;
    let whole = complete_stream(EVENTS);
    let (mut complete, mut incomplete) = (0, 0);
    for is_reset in [false, true] {
        for sent in (1..MAX_SENT).step_by(CUT_STEP).chain([usize::MAX]) {
            set_cut(sent, is_reset);
            let label = format!("s{sent}-{is_reset}");
            let response = send_until_reached(&node, &label).await;
            if response.status != StatusCode::OK || !response.complete {
                assert_ne!(sent, usize::MAX, "{response:?}");
                incomplete += 1;
                continue;
            }
            complete += 1;
            let ends_after_event = !response.text.is_empty()
                && whole.starts_with(&response.text)
                && { response.text.ends_with("\n\n") };
            let may_end = is_unframed && !is_reset && ends_after_event;
            assert!(
                response.text == whole || may_end,
                "{sent} bytes, reset {is_reset}: {response:?}"
            );
        }
    }
    println!("{complete} complete, {incomplete} incomplete");
    assert!(complete >= 2, "whole streams are passed on");
    assert!(incomplete > 2 * MIN_INCOMPLETE, "streams are cut");
}

/// Guards against half of a stream in chunks that looks whole.
#[tokio::test(flavor = "multi_thread")]
async fn stream_in_chunks() {
    cut_everywhere(false).await;
}

/// Guards against a stream that ends with its connection and looks whole though it ended in its head, before
/// its first event, inside an event, or by a reset.
#[tokio::test(flavor = "multi_thread")]
async fn stream_without_length() {
    cut_everywhere(true).await;
}
