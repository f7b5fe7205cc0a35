//! The response of a target, while it is read.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::ResponseHeaders;
use domain::{BootNumber, HostId};
use http::{HeaderMap, StatusCode};
use hyper::body::Incoming;
use serving::closed_listener::ClosedListener;
use serving::poison::{COMPLETE_ANSWER_AGE, SOUND_ANSWER_AGE};
use serving::{MembershipKey, TargetProcess, TargetState};

use crate::admitted::AdmittedRequest;
use crate::connection_path::ConnectionPath;
use crate::crash::{InterruptedRequest, has_exited, record_interrupted, refuses_connections};
use crate::in_flight::InFlightGuard;
use crate::node::GatewayNode;
use crate::tunnel::TargetConnection;

/// Time between the end of a connection and the question whether its target has exited: a process that
/// dies may close its connections a little before it stops listening.
const EXIT_SETTLE_TIME: Duration = Duration::from_millis(30);

/// A target's response whose body has not been read yet.
#[derive(Debug)]
pub struct TargetResponse {
    /// Target that sent the response.
    pub host: HostId,
    /// Address to which the request was sent.
    pub address: SocketAddr,
    /// Boot number of the target's process.
    pub boot: BootNumber,
    /// Replica that the target was the head of when the request was sent.
    pub membership: Option<MembershipKey>,
    /// Time at which the response head arrived, measured from process start.
    pub started_at: Duration,
    /// HTTP status code, which need not be a success.
    pub status: StatusCode,
    /// Response headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Platform-specific headers, parsed.
    pub parsed_headers: ResponseHeaders,
    /// Whether the body has neither a length nor chunks and ends with its connection.
    pub is_close_delimited: bool,
    /// When the first event of the body arrived, measured from process start.
    pub first_event_at: Cell<Option<Duration>>,
    /// What the response has shown of the listener of a target that leaves.
    pub listener: Rc<RefCell<ClosedListener>>,
    /// Unread response body.
    pub body: Incoming,
    /// Connection of the response, returned to the pool at the end of the body.
    pub connection: TargetConnection,
    /// Counts the request as in flight at the target.
    pub in_flight: InFlightGuard,
}

impl TargetResponse {
    /// Whether the body of a stream ended with its connection before any event of it had come. A head whose
    /// replica has lost a host stands still, and ends its connections in the end.
    #[must_use]
    pub fn is_cut_empty(&self) -> bool {
        self.is_close_delimited && self.first_event_at.get().is_none()
    }

    /// Whether the body may have been cut off where it ended: it ends with its connection, and the target's
    /// process has exited or its replica is another one by now. A target that leaves may have stopped listening
    /// before, and ends what it has begun. One that is no longer listed can only be judged by its address.
    pub async fn may_be_cut(&self, node: &GatewayNode) -> bool {
        if !self.is_close_delimited {
            return false;
        }
        let known = node.registry(|registry| {
            let entry = registry.get(&self.host)?;
            Some((entry.state, entry.membership_key()))
        });
        let Some((state, membership)) = known else {
            tokio::time::sleep(EXIT_SETTLE_TIME).await;
            return refuses_connections(node, &self.host, self.address).await;
        };
        let is_draining = state == TargetState::Draining;
        if is_draining && self.listener.borrow().is_outlived() {
            return false;
        }
        if !is_draining && membership != self.membership {
            return true;
        }
        tokio::time::sleep(EXIT_SETTLE_TIME).await;
        has_exited(node, &self.process()).await
    }

    /// Records that an event of the body arrived, which shows that the target makes progress.
    pub fn record_event(&self, node: &GatewayNode) {
        self.in_flight.record_progress();
        if self.first_event_at.get().is_none() {
            self.first_event_at.set(Some(node.now()));
        }
    }

    /// Records that bytes of the body arrived, which shows that the path works. They need not be events.
    pub fn record_bytes(&self, node: &Rc<GatewayNode>) {
        if !self.connection.is_tunnelled() {
            node.record_path_received(&self.host);
        }
        if self.is_close_delimited {
            self.watch_listener(node);
        }
    }

    /// Asks from time to time whether a target that leaves still listens.
    fn watch_listener(&self, node: &Rc<GatewayNode>) {
        let is_draining = node.registry(|registry| {
            let entry = registry.get(&self.host);
            entry.is_some_and(|entry| entry.state == TargetState::Draining)
        });
        if !is_draining || !self.listener.borrow_mut().record_bytes(node.now()) {
            return;
        }
        let (node, listener) = (Rc::clone(node), Rc::clone(&self.listener));
        let (host, address) = (self.host.clone(), self.address);
        tokio::task::spawn_local(async move {
            if refuses_connections(&node, &host, address).await {
                listener.borrow_mut().record_refused(node.now());
            }
        });
    }

    /// Path of the response's connection.
    #[must_use]
    pub fn path(&self) -> ConnectionPath {
        ConnectionPath::of(&self.host, &self.connection)
    }

    /// Records that the connection broke before the end of the body.
    pub fn record_broken(&self, node: &Rc<GatewayNode>, request: &AdmittedRequest) {
        if !self.connection.is_tunnelled() {
            node.record_connection_broken(&self.host);
        }
        let interrupted = InterruptedRequest {
            response_age: Some(node.now().saturating_sub(self.started_at)),
            is_outlived: self.is_outlived(node),
            ..InterruptedRequest::new(request)
        };
        record_interrupted(node, self.process(), interrupted);
    }

    /// The process that sent the response.
    #[must_use]
    pub fn process(&self) -> TargetProcess {
        TargetProcess {
            host: self.host.clone(),
            boot: self.boot,
        }
    }

    /// Whether the target has sent events for long enough to have survived it.
    fn is_outlived(&self, node: &GatewayNode) -> bool {
        self.written_for(node) >= SOUND_ANSWER_AGE
    }

    /// Time since the first event of the body arrived; zero if none has.
    fn written_for(&self, node: &GatewayNode) -> Duration {
        let first = self.first_event_at.get();
        first.map_or(Duration::ZERO, |first| node.now().saturating_sub(first))
    }

    /// Records that the target survived the response, if it has lasted long enough to show that; returns
    /// whether it has.
    pub fn record_if_sound(&self, node: &GatewayNode, request: &AdmittedRequest) -> bool {
        let Some(begun_at) = self.first_event_at.get().filter(|_| self.is_outlived(node)) else {
            return false;
        };
        let crashes = &node.crashes;
        crashes.record_sound(&request.shared_parts, node.evidence_time_at(begun_at));
        crashes.record_alive(&self.process(), node.evidence_time());
        true
    }

    /// Records that the response has ended as its target made it. Whether the target survives it may show
    /// later.
    pub fn record_complete(&self, node: &GatewayNode, request: &AdmittedRequest) {
        let begun_at = self.first_event_at.get().unwrap_or(self.started_at);
        let begun_at = node.evidence_time_at(begun_at);
        node.crashes.record_complete(request, begun_at);
        let parts = &request.shared_parts;
        if self.written_for(node) >= COMPLETE_ANSWER_AGE {
            node.crashes.record_sound(parts, begun_at);
        } else {
            node.crashes.watch_answer(self.process(), begun_at, parts);
        }
    }

    /// Returns the connection to the pool after the end of the body.
    pub fn release_connection(self, node: &GatewayNode) {
        let is_kept = !self.parsed_headers.connection_close && !self.is_close_delimited;
        if is_kept && !self.connection.is_tunnelled() {
            node.pool.release(
                &self.host,
                self.connection.http,
                self.parsed_headers.keep_alive_timeout,
            );
        }
    }
}
