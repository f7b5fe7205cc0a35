//! One attempt at one target.

use std::rc::Rc;
use std::time::Duration;

use adapter::{FaultyTarget, ForwardHeaders, ResponseHeaders};
use domain::{BootNumber, CustomerId, HostId, ServiceName};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serving::TargetEntry;
use web::{HttpLink, LinkError};

use crate::admitted::AdmittedRequest;
use crate::crash::note_broken_run;
use crate::hints::LoadHint;
use crate::node::{GatewayNode, LossSign};
use crate::probe::{ask, ask_refusing};

/// Time after which a connection that is not made is doubted. Targets stand within a millisecond.
const SLOW_CONNECT: Duration = Duration::from_millis(100);

/// A request that runs at a target, counted there until it is dropped.
#[derive(Debug)]
pub struct RunningTicket {
    node: Rc<GatewayNode>,
    host: HostId,
    /// Whether the target is the head of a replica. Only such a one is asked about when nothing
    /// moves: a call of a plain service may take its time, and says nothing until its end.
    is_head: bool,
    service: ServiceName,
    customer: Option<CustomerId>,
}

impl RunningTicket {
    fn new(node: &Rc<GatewayNode>, request: &AdmittedRequest, target: &TargetEntry) -> Self {
        let now = node.now();
        if let Some(customer) = &request.customer {
            node.with_shares(&request.service, |shares| shares.record_sent(customer));
        }
        let is_head = target.membership.is_some();
        node.with_load(&target.id, serving::TargetLoad::record_sent);
        if is_head {
            node.with_pulse(&target.id, |pulse| pulse.request_started(now));
            note_sent_prompt(node, request, &target.id);
        }
        Self {
            node: Rc::clone(node),
            host: target.id.clone(),
            is_head,
            service: request.service.clone(),
            customer: request.customer.clone(),
        }
    }

    /// Notes that bytes of the answer came.
    pub fn moved(&self) {
        let now = self.node.now();
        if self.is_head {
            self.node
                .with_pulse(&self.host, |pulse| pulse.record_progress(now));
        }
    }
}

impl Drop for RunningTicket {
    fn drop(&mut self) {
        self.node
            .with_load(&self.host, serving::TargetLoad::record_end);
        if let Some(customer) = &self.customer {
            self.node
                .with_shares(&self.service, |shares| shares.record_ended(customer));
        }
        if self.is_head {
            self.node
                .with_pulse(&self.host, serving::stall::StallDetector::request_ended);
        }
    }
}

fn note_sent_prompt(node: &GatewayNode, request: &AdmittedRequest, head: &HostId) {
    let rate = node.config().and_then(|config| {
        let service = config.services.get(&request.service)?;
        Some(request.prefill_rate(service))
    });
    node.record_prompt(head, request.prompt_tokens, rate.unwrap_or(0.0));
    node.hints.send(LoadHint::Sent {
        head: head.into(),
        tokens: request.prompt_tokens,
    });
}

/// A target's answer whose body is still to be read.
#[derive(Debug)]
pub struct TargetAnswer {
    /// Target.
    pub host: HostId,
    /// Start of the target's process.
    pub boot: BootNumber,
    /// When its head came.
    pub began: Duration,
    /// Status.
    pub status: StatusCode,
    /// Its headers, without those of the connection.
    pub headers: HeaderMap,
    /// What they say.
    pub facts: ResponseHeaders,
    /// Body.
    pub body: Incoming,
    /// Its connection, to be kept after the body's end.
    pub link: HttpLink,
    /// Counts the request at the target.
    pub ticket: RunningTicket,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The target answered.
    Answered(Box<TargetAnswer>),
    /// No byte of the request reached the target.
    Unsent(String),
    /// The target says that it did not run the request.
    NotExecuted(StatusCode),
    /// The request may have run.
    Lost(String),
    /// The request may have run; no answer came within the attempt's time.
    TimedOut,
}

impl AttemptEnd {
    fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Unsent(_) => "unsent",
            Self::NotExecuted(_) => "not_run",
            Self::Lost(_) => "lost",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Sends a request to a target and waits for the head of its answer, at most for `limit`.
pub async fn send_attempt(
    node: &Rc<GatewayNode>,
    request: &AdmittedRequest,
    target: &TargetEntry,
    last_event: Option<u64>,
    limit: Duration,
) -> AttemptEnd {
    let id = &target.id;
    let ticket = RunningTicket::new(node, request, target);
    let signal = node.loss_signal(id);
    let attempt = async {
        tokio::select! {
            end = exchange(node, request, target, last_event) => end,
            () = signal.lost() => Err(AttemptEnd::Lost("the replica stands still".to_owned())),
        }
    };
    let exchanged = match tokio::time::timeout(limit, attempt).await {
        Ok(Ok(exchanged)) => exchanged,
        Ok(Err(end)) => return failed(node, request, id, end),
        Err(_) => return failed(node, request, id, AttemptEnd::TimedOut),
    };
    ticket.moved();
    let end = judge(node, request, exchanged, ticket, target);
    node.metrics
        .record_attempt(request.service.as_str(), end.name());
    end
}

struct Exchanged {
    link: HttpLink,
    answer: http::Response<Incoming>,
}

async fn exchange(
    node: &Rc<GatewayNode>,
    request: &AdmittedRequest,
    target: &TargetEntry,
    last_event: Option<u64>,
) -> Result<Exchanged, AttemptEnd> {
    let mut link = match take_link(node, target).await {
        Ok(link) => link,
        Err(error) => return Err(unreachable_target(node, target, &error)),
    };
    let facts = ForwardHeaders {
        time_left: request.time_left(node.now()),
        host: &target.id,
        customer: request.customer.as_ref(),
        priority: request.priority,
        last_event,
    };
    let headers = facts.apply(&request.headers);
    let outgoing = || {
        let mut outgoing = Request::new(Full::new(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = request.uri.clone();
        *outgoing.headers_mut() = headers.clone();
        outgoing
    };
    let sent_at = node.now();
    let mut sent = link.send(outgoing()).await;
    if matches!(sent, Err(LinkError::Unsent)) {
        // The target had closed the idle connection. Nothing was written, so it is not at fault,
        // and a new connection serves; counted as a failure, a target that closes early would
        // lose each request that meets an old connection.
        link = match node.pool.connect(target).await {
            Ok(link) => link,
            Err(error) => return Err(unreachable_target(node, target, &error)),
        };
        sent = link.send(outgoing()).await;
    }
    match sent {
        Ok(answer) => Ok(Exchanged { link, answer }),
        Err(error) if error.is_unsent() => Err(AttemptEnd::Unsent(error.to_string())),
        Err(error) => {
            // A call of a plain service runs from its sending on, a stream from its first event.
            let is_plain = target.membership.is_none();
            let ran = is_plain.then(|| node.now().saturating_sub(sent_at));
            note_broken_run(node, request, (&target.id, target.boot), ran);
            Err(AttemptEnd::Lost(error.to_string()))
        }
    }
}

/// A connection to a target. An engine that keeps it waiting is asked whether it lives while the
/// connection may still come: asked only after it has failed, a dead head would keep its streams
/// waiting for a third of a second longer.
async fn take_link(node: &Rc<GatewayNode>, target: &TargetEntry) -> Result<HttpLink, LinkError> {
    let taking = node.pool.acquire(target);
    tokio::pin!(taking);
    if let Ok(taken) = tokio::time::timeout(SLOW_CONNECT, taking.as_mut()).await {
        return taken;
    }
    if target.membership.is_some() {
        tokio::task::spawn_local(ask(Rc::clone(node), target.id.clone()));
    }
    taking.await
}

/// Nothing listens there any more, its host is gone, or a link lost the connection on its way.
fn unreachable_target(
    node: &Rc<GatewayNode>,
    target: &TargetEntry,
    error: &LinkError,
) -> AttemptEnd {
    let sign = LossSign::from(error);
    // An engine was asked meanwhile, and much hangs on the answer.
    if sign == LossSign::Silent && target.membership.is_some() {
        let now = node.now();
        node.with_load(&target.id, |load| load.record_unreachable(now));
    } else {
        node.suspect(&target.id, sign, &error.to_string());
    }
    AttemptEnd::Unsent(error.to_string())
}

fn failed(
    node: &GatewayNode,
    request: &AdmittedRequest,
    id: &HostId,
    end: AttemptEnd,
) -> AttemptEnd {
    if matches!(end, AttemptEnd::Lost(_) | AttemptEnd::TimedOut) {
        let now = node.now();
        node.with_load(id, |load| load.record_failure(now));
    }
    node.metrics
        .record_attempt(request.service.as_str(), end.name());
    end
}

fn judge(
    node: &Rc<GatewayNode>,
    request: &AdmittedRequest,
    exchanged: Exchanged,
    ticket: RunningTicket,
    target: &TargetEntry,
) -> AttemptEnd {
    let id = &target.id;
    let (head, body) = exchanged.answer.into_parts();
    let facts = ResponseHeaders::from(&head.headers);
    let own = request.id.as_ref().map(domain::RequestId::as_str);
    // An answer to another request: the target sent one too many on this connection.
    if facts.request.is_some() && facts.request.as_deref() != own {
        return AttemptEnd::Lost("the answer belongs to another request".to_owned());
    }
    if let Some(load) = facts.load {
        let now = node.now();
        node.with_load(id, |known| known.record_report(load, now));
        if target.membership.is_some() {
            node.hints.send(LoadHint::Reported {
                head: id.into(),
                requests: load,
                served: head.status.is_success(),
            });
        }
    }
    if facts.not_executed || head.status == StatusCode::MISDIRECTED_REQUEST {
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        match &facts.faulty_target {
            Some(FaultyTarget::Id(faulty)) if faulty != id => {
                node.suspect(faulty, LossSign::Closed, "its head misses it");
            }
            Some(FaultyTarget::Address(address)) if *address != target.address => {
                if let Some(faulty) = node.target_at(*address) {
                    node.suspect(&faulty, LossSign::Closed, "its head misses it");
                }
            }
            // It is the head of no serving replica any more, or another target has its address.
            _ if misdirected && target.membership.is_some() => ask_refusing(node, id),
            _ if misdirected => {
                node.suspect(id, LossSign::Silent, "it is not whom the request is for");
            }
            _ => {}
        }
        return AttemptEnd::NotExecuted(head.status);
    }
    let success = head.status.is_success();
    if success && !facts.signed {
        let now = node.now();
        node.with_load(id, |load| load.record_failure(now));
        return AttemptEnd::Lost("the answer is not the target's".to_owned());
    }
    if success {
        node.with_load(id, serving::TargetLoad::record_success);
    } else {
        let now = node.now();
        node.with_load(id, |load| load.record_failure(now));
    }
    AttemptEnd::Answered(Box::new(TargetAnswer {
        host: id.clone(),
        boot: target.boot,
        began: node.now(),
        status: head.status,
        headers: adapter::headers::without_hop_by_hop_headers(&head.headers),
        facts,
        body,
        link: exchanged.link,
        ticket,
    }))
}

impl TargetAnswer {
    /// Notes that its connection broke off before its end.
    pub fn note_broken(&self, node: &Rc<GatewayNode>, request: &AdmittedRequest) {
        let ran = node.now().saturating_sub(self.began);
        note_broken_run(node, request, (&self.host, self.boot), Some(ran));
    }

    /// Gives the connection back after the body's end.
    pub fn finish(self, node: &GatewayNode) {
        if !self.facts.connection_close {
            node.pool
                .release(&self.host, self.link, self.facts.keep_alive_timeout);
        }
    }
}
