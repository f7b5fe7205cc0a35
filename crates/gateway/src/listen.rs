//! Listeners for client requests, readiness checks and metrics.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use web::{FairStream, FairTask};

use crate::handle::handle_request;
use crate::head_room::{HeadRoom, HeadStream, max_headers};
use crate::held::{ClientHold, ReadAhead};
use crate::node::{GatewayNode, RequestGuard};
use crate::refusal::record_unreadable;
use crate::respond::ends_with_connection;
use crate::usage::ConnectionUsage;

/// Time limit for receiving a complete request head, including idle time. It is well above any
/// configurable idle timeout; without it, a client that sends its head byte by byte would hold the
/// connection indefinitely.
const HEADER_READ_TIMEOUT: Duration = Duration::from_mins(2);

/// Delay after a failed accept; without it a process out of file descriptors would busy-loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Idle timeout of connections to the readiness and metrics addresses.
const STATUS_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval for checking whether a connection should close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a connection stays open beyond the idle timeout that clients are told. A request
/// sent at the last moment still arrives within it.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_secs(1);

/// Binds a TCP listener; port 0 lets the system choose a port.
///
/// # Errors
///
/// A report with the address and the cause.
pub async fn bind_tcp(address: SocketAddr) -> eyre::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| eyre::eyre!("can't listen on {address}: {error}"))
}

/// Binds a UDP socket; port 0 lets the system choose a port.
///
/// # Errors
///
/// A report with the address and the cause.
pub async fn bind_udp(address: SocketAddr) -> eyre::Result<UdpSocket> {
    let bound = UdpSocket::bind(address).await;
    bound.map_err(|error| eyre::eyre!("can't bind UDP socket on {address}: {error}"))
}

/// Accepts client connections until the node stops accepting; accepted connections stay open.
pub async fn serve_clients(node: Rc<GatewayNode>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = node.accepting_stopped() => return,
            accepted = accept(&listener) => accepted,
        };
        let Some(stream) = accepted else { continue };
        let guard = ConnectionGuard::new(&node);
        tokio::task::spawn_local(serve_client(Rc::clone(&node), stream, guard));
    }
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => {
            // Without the option the connection still works, only with more latency.
            drop(stream.set_nodelay(true));
            Some(stream)
        }
        Err(error) => {
            if error.kind() != io::ErrorKind::ConnectionAborted {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            None
        }
    }
}

/// Counts a client connection until it is dropped.
struct ConnectionGuard(Rc<GatewayNode>);

impl ConnectionGuard {
    fn new(node: &Rc<GatewayNode>) -> Self {
        node.begin_connection();
        Self(Rc::clone(node))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.end_connection();
    }
}

async fn serve_client(node: Rc<GatewayNode>, stream: TcpStream, _guard: ConnectionGuard) {
    let opened_at = node.now();
    let peer = stream.peer_addr().ok();
    let usage = ConnectionUsage::new(opened_at);
    let client = ClientHold::new(&node);
    let ahead = Rc::new(ReadAhead::new(&client));
    let room = HeadRoom::new(&usage);
    let handler = {
        let node = Rc::clone(&node);
        let usage = Rc::clone(&usage);
        let ahead = Rc::clone(&ahead);
        let room = Rc::clone(&room);
        service_fn(move |request| {
            room.head_received();
            let running = RequestGuard::new(&node, &usage);
            let handling = handle_request(Rc::clone(&node), request, running, Rc::clone(&client));
            let ahead = Rc::clone(&ahead);
            async move {
                let response = handling.await;
                let is_unframed = ends_with_connection(&response);
                let response = response.map(|body| match body {
                    Either::Left(body) if is_unframed => ahead.unframed(body),
                    Either::Left(body) => ahead.whole(body),
                    Either::Right(stream) => ahead.relayed(stream),
                });
                Ok::<_, Infallible>(response)
            }
        })
    };
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT);
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
            () = wait_until_closable(&node, &usage), if !closing => {
                closing = true;
                std::pin::Pin::new(connection.get_mut()).graceful_shutdown();
            }
            () = room.exceeded() => {
                let parts = connection.into_inner().into_parts();
                room.extend(&parts.read_buf);
                builder.max_headers(max_headers(node.config().as_deref()));
                let served = builder.serve_connection(parts.io, parts.service);
                connection = FairTask::new(served, flow.clone());
                if closing {
                    std::pin::Pin::new(connection.get_mut()).graceful_shutdown();
                }
            }
        }
    }
}

/// Completes when a connection should close after the request in flight: it exceeded the configured
/// idle timeout, or the process is shutting down.
async fn wait_until_closable(node: &GatewayNode, usage: &ConnectionUsage) {
    loop {
        // A newly opened connection gets time to send its request; if it were closed before the
        // request is read, the client would get no `Retry-After`.
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
        let plan = node.shutdown_plan();
        if plan.is_some_and(|plan| plan.closes_connections(node.now())) {
            return;
        }
        if usage.idle_time(node.now()) > node.idle_timeout() + IDLE_CLOSE_MARGIN {
            return;
        }
    }
}

/// Serves the status and text that `respond` returns for every request; never returns.
pub async fn serve_status<F>(listener: TcpListener, respond: F)
where
    F: Fn() -> (StatusCode, String) + Clone + 'static,
{
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let respond = respond.clone();
        let handler = service_fn(move |_| {
            let (status, text) = respond();
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let mut builder = Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(STATUS_IDLE_TIMEOUT);
            let stream = FairStream::new(stream);
            let flow = stream.flow();
            let connection = builder.serve_connection(TokioIo::new(stream), handler);
            // The client sees the error and retries.
            drop(FairTask::new(connection, flow).await);
        });
    }
}
