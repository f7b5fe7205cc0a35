//! A reverse proxy without routing: the lower bound of the cost of forwarding.
//!
//! It uses one thread and the same libraries as a gateway. Each request goes to one fixed server
//! and the response is streamed back. What a gateway costs beyond this is due to its own logic.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::OptionExt;
use futures::stream;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use web::{ConnectionError, HttpConnection};

use crate::options::RelayOptions;

/// Timeout for a connection on loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle connections to the server that are reused.
type ConnectionPool = Rc<RefCell<Vec<HttpConnection>>>;

/// Forwards requests until the process is terminated, and prints the address to standard output.
///
/// # Errors
///
/// Returns an error if no server is given or no port can be bound.
pub async fn run(options: RelayOptions) -> eyre::Result<()> {
    let server = options.to.ok_or_eyre("missing option --to")?;
    // On the default runtime the connections would be spread over all cores.
    let thread = tokio::task::spawn_blocking(move || {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, relay(server))
    });
    thread.await?
}

async fn relay(server: SocketAddr) -> eyre::Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    println!("relay listens on {}", listener.local_addr()?);
    let pool = ConnectionPool::default();
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        spawn_local(serve(stream, server, Rc::clone(&pool)));
    }
}

async fn serve(stream: TcpStream, server: SocketAddr, pool: ConnectionPool) {
    let service = service_fn(move |request| forward(request, server, Rc::clone(&pool)));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A failed connection is visible to the caller.
    drop(connection.await);
}

/// Why a request could not be forwarded; hyper closes its connection.
#[derive(Debug, thiserror::Error)]
enum RelayError {
    #[error("the request body was cut off")]
    Request(#[from] hyper::Error),
    #[error("the server did not respond")]
    Server(#[from] ConnectionError),
}

async fn forward(
    request: Request<Incoming>,
    server: SocketAddr,
    pool: ConnectionPool,
) -> Result<Response<impl Body<Data = Bytes, Error = hyper::Error>>, RelayError> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let idle = pool.borrow_mut().pop().filter(HttpConnection::is_open);
    let mut connection = match idle {
        Some(connection) => connection,
        None => HttpConnection::connect(server, CONNECT_TIMEOUT).await?,
    };
    let response = connection
        .send(Request::from_parts(head, Full::new(body)))
        .await?;
    let (head, body) = response.into_parts();
    let frames = stream::unfold(Some((body, connection)), move |state| {
        let pool = Rc::clone(&pool);
        async move {
            let (mut body, connection) = state?;
            match body.frame().await {
                Some(Ok(frame)) => Some((Ok(without_trailers(frame)), Some((body, connection)))),
                Some(Err(error)) => Some((Err(error), None)),
                None => {
                    pool.borrow_mut().push(connection);
                    None
                }
            }
        }
    });
    Ok(Response::from_parts(head, StreamBody::new(frames)))
}

fn without_trailers(frame: Frame<Bytes>) -> Frame<Bytes> {
    Frame::data(frame.into_data().unwrap_or_default())
}
