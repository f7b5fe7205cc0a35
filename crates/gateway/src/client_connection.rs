//! One connection of a client, from its first byte to its end.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::Version;
use http_body_util::Either;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use intake::ConnectionPlace;
use tokio::io::{AsyncWrite, AsyncWriteExt as _};
use tokio::net::TcpStream;
use web::{FairStream, FairTask};

use crate::handle::handle_request;
use crate::head_room::{HeadCapacity, HeadInterrupt, HeadRoom};
use crate::head_stream::HeadStream;
use crate::held::{ClientHold, ReadAhead};
use crate::listen::ConnectionGuard;
use crate::node::GatewayNode;
use crate::refusal::{record_late_head, record_unreadable};
use crate::respond::ends_with_connection;
use crate::usage::ConnectionUsage;

/// Time limit of the HTTP library for receiving a complete request head, including idle time. It is well above any
/// configurable idle timeout, and only guards against a connection that nothing else ends.
const HEADER_READ_TIMEOUT: Duration = Duration::from_mins(2);

/// Interval for checking whether a connection should close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a connection stays open beyond the idle timeout that clients are told. A request
/// sent at the last moment still arrives within it.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_secs(1);

/// Time for the response to a late head to be written.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Response to a head that has not come in time; nothing has run.
const LATE_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Why a connection is closed by this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    /// It was idle for long, or the process is shutting down. A request in flight is still handled.
    Idle,
    /// Its head has not come in time.
    LateHead,
}

/// Serves a client connection to its end.
pub async fn serve_client(
    node: Rc<GatewayNode>,
    stream: TcpStream,
    place: ConnectionPlace,
    _guard: ConnectionGuard,
) {
    let opened_at = node.now();
    let peer = stream.peer_addr().ok();
    let usage = ConnectionUsage::new(opened_at, place);
    let client = ClientHold::new(&node, &usage);
    let ahead = Rc::new(ReadAhead::new(&client));
    let capacity = HeadCapacity::usual(&node);
    let room = HeadRoom::new(&node, &usage, &client, capacity);
    let handler = {
        let node = Rc::clone(&node);
        let ahead = Rc::clone(&ahead);
        let room = Rc::clone(&room);
        service_fn(move |request: http::Request<Incoming>| {
            let body_bytes = request.body().size_hint().exact();
            let running = room.head_received(request.headers().len(), body_bytes);
            let handled = Rc::clone(&running);
            let is_chunked = request.version() >= Version::HTTP_11;
            let handling = handle_request(Rc::clone(&node), request, handled, Rc::clone(&client));
            let (ahead, room) = (Rc::clone(&ahead), Rc::clone(&room));
            // The library keeps room for this future in every connection, also in those that are idle.
            Box::pin(async move {
                let response = handling.await;
                if matches!(response.body(), Either::Left(_)) {
                    running.response_ready();
                }
                let is_unframed = ends_with_connection(&response);
                let is_stream = matches!(response.body(), Either::Right(_));
                if is_unframed || (is_stream && !is_chunked) {
                    room.begin_unframed();
                }
                let response = response.map(|body| match body {
                    Either::Left(body) if is_unframed => ahead.unframed(body, running),
                    Either::Left(body) => ahead.whole(body),
                    Either::Right(stream) => ahead.relayed(stream),
                });
                Ok::<_, Infallible>(response)
            })
        })
    };
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT);
    capacity.apply(&mut builder);
    let stream = FairStream::new(stream);
    let flow = stream.flow();
    let stream = TokioIo::new(HeadStream::new(stream, &room));
    let connection = builder.serve_connection(stream, handler);
    let mut connection = FairTask::new(connection, flow.clone());
    let mut closing = false;
    loop {
        tokio::select! {
            // The connection first: what it doesn't ask for is read on.
            biased;
            ended = &mut connection => {
                // Other errors affect one client, which sees them; the request has its own log line.
                if let Err(error) = ended {
                    let open_for = node.now().saturating_sub(opened_at);
                    record_unreadable(&node, peer, &error, open_for);
                }
                return;
            }
            () = ahead.run() => return,
            () = usage.displaced() => return,
            reason = wait_until_closable(&node, &usage, &room, closing) => match reason {
                CloseReason::Idle if room.awaits_first_byte() => return,
                CloseReason::Idle => {
                    closing = true;
                    std::pin::Pin::new(connection.get_mut()).graceful_shutdown();
                }
                CloseReason::LateHead => {
                    let open_for = node.now().saturating_sub(opened_at);
                    record_late_head(&node, peer, open_for);
                    let parts = connection.into_inner().into_parts();
                    respond_late(parts.io.into_inner().into_inner()).await;
                    return;
                }
            },
            interrupt = room.interrupted() => {
                let parts = connection.into_inner().into_parts();
                room.resume(interrupt, &parts.read_buf);
                if let HeadInterrupt::Room(capacity) = interrupt {
                    capacity.apply(&mut builder);
                }
                let served = builder.serve_connection(parts.io, parts.service);
                connection = FairTask::new(served, flow.clone());
                if closing {
                    std::pin::Pin::new(connection.get_mut()).graceful_shutdown();
                }
            }
        }
    }
}

/// Completes when a connection should close. Once it is closing after the request in flight, that is only if a head
/// does not come in time.
async fn wait_until_closable(
    node: &GatewayNode,
    usage: &ConnectionUsage,
    room: &HeadRoom,
    closing: bool,
) -> CloseReason {
    loop {
        // A newly opened connection gets time to send its request; if it were closed before the
        // request is read, the client would get no `Retry-After`.
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
        if room.is_late() {
            return CloseReason::LateHead;
        }
        if closing {
            continue;
        }
        let plan = node.shutdown_plan();
        if plan.is_some_and(|plan| plan.closes_connections(node.now())) {
            return CloseReason::Idle;
        }
        if usage.idle_time(node.now()) > node.idle_timeout() + IDLE_CLOSE_MARGIN {
            return CloseReason::Idle;
        }
    }
}

async fn respond_late(mut stream: impl AsyncWrite + Unpin) {
    let writing = async {
        stream.write_all(LATE_RESPONSE).await?;
        stream.shutdown().await
    };
    // A client that has gone or does not read learns of it by the end of its connection.
    drop(tokio::time::timeout(LATE_RESPONSE_TIMEOUT, writing).await);
}
