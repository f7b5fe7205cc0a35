//! Listening: callers, the balancer's questions, metrics.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::handle::handle_request;
use crate::node::{GatewayNode, RunningRequest};
use crate::usage::ConnectionUsage;

/// Longest wait for a whole head, idle time included: well above what any configuration allows a
/// connection to be idle. A caller that sends a head byte by byte would hold it for ever.
const HEAD_LIMIT: Duration = Duration::from_mins(2);

/// Pause after a failed accept; without it a process out of file descriptors spins.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Idle time of connections to the readiness and metrics addresses.
const SMALL_IDLE: Duration = Duration::from_secs(10);

/// Pause between two looks at whether a connection should close.
const CLOSE_PAUSE: Duration = Duration::from_millis(400);

/// Binds an address.
///
/// # Errors
///
/// The address and what is wrong with it.
pub async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| eyre::eyre!("can't listen on {address}: {error}"))
}

/// Binds an address for datagrams.
///
/// # Errors
///
/// The address and what is wrong with it.
pub async fn bind_datagrams(address: SocketAddr) -> eyre::Result<UdpSocket> {
    let bound = UdpSocket::bind(address).await;
    bound.map_err(|error| eyre::eyre!("can't take datagrams on {address}: {error}"))
}

/// Serves callers until the node stops accepting; connections that were taken go on.
pub async fn serve_callers(node: Rc<GatewayNode>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = node.accepting_stopped() => return,
            accepted = accept(&listener) => accepted,
        };
        let Some(stream) = accepted else { continue };
        let open = OpenConnection::new(&node);
        tokio::task::spawn_local(serve_caller(Rc::clone(&node), stream, open));
    }
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => {
            // Only a delay is lost where the option can't be set.
            drop(stream.set_nodelay(true));
            Some(stream)
        }
        Err(error) => {
            if error.kind() != io::ErrorKind::ConnectionAborted {
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
            None
        }
    }
}

/// Counts a connection until it is dropped.
struct OpenConnection(Rc<GatewayNode>);

impl OpenConnection {
    fn new(node: &Rc<GatewayNode>) -> Self {
        node.begin_connection();
        Self(Rc::clone(node))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.end_connection();
    }
}

async fn serve_caller(node: Rc<GatewayNode>, stream: TcpStream, _open: OpenConnection) {
    let usage = ConnectionUsage::new(node.now());
    let handler = {
        let node = Rc::clone(&node);
        let usage = Rc::clone(&usage);
        service_fn(move |request| {
            let running = RunningRequest::new(&node, &usage);
            let node = Rc::clone(&node);
            async move { Ok::<_, Infallible>(handle_request(node, request, running).await) }
        })
    };
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT);
    let connection = builder.serve_connection(TokioIo::new(stream), handler);
    tokio::pin!(connection);
    let mut closing = false;
    loop {
        tokio::select! {
            // Its failure concerns one caller, who sees it; the request's own line tells of it.
            _ = connection.as_mut() => return,
            () = wait_for_close(&node, &usage), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Completes when a connection should close after the request in progress: it was idle for as
/// long as the configuration in force allows, or the process stops.
async fn wait_for_close(node: &GatewayNode, usage: &ConnectionUsage) {
    loop {
        // A connection that was opened just now gets the time to bring its request: closed unread,
        // its caller would not learn when to come back.
        tokio::time::sleep(CLOSE_PAUSE).await;
        let stop = node.stop_plan();
        if stop.is_some_and(|stop| stop.closes_connections(node.now())) {
            return;
        }
        if usage.idle_time(node.now()) > node.idle_limit() {
            return;
        }
    }
}

/// Answers questions with a status and a text, for ever.
pub async fn serve_questions<F>(listener: TcpListener, answer: F)
where
    F: Fn() -> (StatusCode, String) + Clone + 'static,
{
    loop {
        let Some(stream) = accept(&listener).await else {
            continue;
        };
        let answer = answer.clone();
        let handler = service_fn(move |_| {
            let (status, text) = answer();
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let mut builder = Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(SMALL_IDLE);
            // Whoever asked sees the failure and asks again.
            drop(
                builder
                    .serve_connection(TokioIo::new(stream), handler)
                    .await,
            );
        });
    }
}
