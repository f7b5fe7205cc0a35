//! Listeners of a gateway, and what is served at them.

use std::net::SocketAddr;
use std::rc::Rc;

use intake::ConnectionPlaces;
use tokio::net::{TcpListener, UdpSocket};

use crate::accept::{ConnectionAcceptor, ListenFace};
use crate::client_connection::serve_client;
use crate::node::GatewayNode;

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
    let places = ConnectionPlaces::new(node.settings.connection_limits().max_connections());
    let mut acceptor = ConnectionAcceptor::new(&node, listener, ListenFace::Requests);
    loop {
        let (stream, place) = tokio::select! {
            () = node.accepting_stopped() => return,
            accepted = acceptor.accept_at(&places) => accepted,
        };
        let guard = ConnectionGuard::new(&node);
        tokio::task::spawn_local(serve_client(Rc::clone(&node), stream, place, guard));
    }
}

/// Counts a client connection until it is dropped.
pub struct ConnectionGuard(Rc<GatewayNode>);

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
