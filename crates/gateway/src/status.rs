//! Readiness checks and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use intake::{ConnectionPlaces, ConnectionState, MAX_STATUS_CONNECTIONS};
use tokio::net::TcpListener;
use web::{FairStream, FairTask};

use crate::accept::{ConnectionAcceptor, ListenFace};
use crate::node::GatewayNode;

/// Time limit for a head, including idle time before it.
const STATUS_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest head, in bytes; the HTTP library has no smaller buffer.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Serves the status and text that `respond` returns for every request; never returns.
pub async fn serve_status<F>(
    node: Rc<GatewayNode>,
    listener: TcpListener,
    face: ListenFace,
    respond: F,
) where
    F: Fn() -> (StatusCode, String) + Clone + 'static,
{
    let places = ConnectionPlaces::new(MAX_STATUS_CONNECTIONS);
    let mut acceptor = ConnectionAcceptor::new(&node, listener, face);
    loop {
        let (stream, place) = acceptor.accept_at(&places).await;
        let place = Rc::new(place);
        let respond = respond.clone();
        let handled = Rc::clone(&place);
        let service = service_fn(move |_| {
            let (status, text) = respond();
            handled.set_state(ConnectionState::Idle);
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let mut builder = Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(STATUS_IDLE_TIMEOUT)
                .max_buf_size(MAX_HEAD_BYTES);
            let stream = FairStream::new(stream);
            let flow = stream.flow();
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                // The client sees the error and retries.
                ended = FairTask::new(connection, flow) => drop(ended),
                () = place.displaced() => {}
            }
        });
    }
}
