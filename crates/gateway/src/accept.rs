//! Accepting connections at the listeners of a gateway, a bounded number at each.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use events::{EventCode, LogLine};
use intake::{ConnectionPlace, ConnectionPlaces, PlaceReport};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use crate::node::GatewayNode;

/// Bytes that the system is asked to take in for a connection before the node reads them; it may use twice as many. They
/// are memory of the machine as well, and a whole head fits.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Delay after a failed accept; without it a process out of file descriptors would busy-loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Shortest time between two log lines about failed accepts.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Listener of a gateway, by what it serves.
#[derive(Debug, Clone, Copy)]
pub enum ListenFace {
    /// Requests of clients.
    Requests,
    /// Readiness checks.
    Readiness,
    /// Metrics.
    Metrics,
    /// Links of other nodes.
    Links,
}

impl ListenFace {
    /// Name in metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
            Self::Links => "links",
        }
    }
}

/// Accepts connections at one listener.
pub struct ConnectionAcceptor {
    node: Rc<GatewayNode>,
    listener: TcpListener,
    face: ListenFace,
    /// When a failed accept was last logged, and failures since then.
    failures: (Option<Duration>, u64),
}

impl ConnectionAcceptor {
    /// Accepts at `listener`.
    #[must_use]
    pub fn new(node: &Rc<GatewayNode>, listener: TcpListener, face: ListenFace) -> Self {
        if !matches!(face, ListenFace::Links) {
            // Accepted connections inherit it. Without it they work the same, with the system's own size.
            drop(SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES));
        }
        Self {
            node: Rc::clone(node),
            listener,
            face,
            failures: (None, 0),
        }
    }

    /// Next connection, without a bound on their number.
    pub async fn accept(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            match self.listener.accept().await {
                Ok((stream, address)) => {
                    // Without the option the connection still works, only with more latency.
                    drop(stream.set_nodelay(true));
                    return (stream, address);
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    self.record_failure(&error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Next connection, with its place among a bounded number.
    pub async fn accept_at(&mut self, places: &ConnectionPlaces) -> (TcpStream, ConnectionPlace) {
        loop {
            let (stream, _) = self.accept().await;
            let admission = places.admit();
            let label = self.face.label();
            if let Some(state) = admission.displaced {
                let state = state.label();
                self.node.metrics.record_displaced(label, state);
                // The other connection gives its descriptor back before the next one takes one.
                tokio::task::yield_now().await;
            }
            if let Some(report) = places.take_report() {
                self.log_report(report);
            }
            match admission.place {
                Some(place) => return (stream, place),
                None => self.node.metrics.record_displaced(label, "refused"),
            }
        }
    }

    fn log_report(&self, report: PlaceReport) {
        let line = LogLine::new(EventCode::ConnectionsDisplaced)
            .text("face", self.face.label())
            .number("unproven", report.unproven)
            .number("idle", report.idle)
            .number("receiving", report.receiving)
            .number("responding", report.responding)
            .number("refused", report.refused);
        self.node.log(&line);
    }

    fn record_failure(&mut self, error: &io::Error) {
        let label = self.face.label();
        self.node.metrics.record_accept_failure(label);
        let now = self.node.now();
        let (logged_at, failures) = &mut self.failures;
        *failures += 1;
        if logged_at.is_some_and(|at| now.saturating_sub(at) < FAILURE_LOG_INTERVAL) {
            return;
        }
        let line = LogLine::new(EventCode::AcceptFailed)
            .text("face", label)
            .number("failures", *failures)
            .text("reason", &error.to_string());
        (*logged_at, *failures) = (Some(now), 0);
        self.node.log(&line);
    }
}
