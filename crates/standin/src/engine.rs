//! Stand-in for a model engine on one host: a batch loop that gives each stream a token a step.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use domain::{AttemptId, BootNumber, HostId, LeaseEpoch};
use eyre::WrapErr;
use http::{Method, Request, StatusCode};
use tokio::sync::mpsc;
use web::answer::WebAnswer;
use web::body::channel_body;
use web::{json_answer, parse_json, text_answer};
use wire::engine::{
    EngineAssignment, EngineLoad, EngineOrder, EngineState, StreamEvent, StreamOrder,
};

use crate::faults::{FaultSwitch, OutageMode};
use crate::options::EngineOptions;
use crate::serve::{StandinHandler, serve_standin};

const STREAM_BUFFER: usize = 256;

/// Words that answers are made of.
const WORDS: [&str; 12] = [
    "the", "licence", "form", "needs", "a", "stall", "number", "and", "fee", "receipt", "from",
    "Sandaga",
];

/// Runs the engine.
///
/// # Errors
///
/// When the host's name is none or the address can't be bound.
pub async fn run(options: EngineOptions) -> eyre::Result<()> {
    let host: HostId = options.host.parse().wrap_err("--host")?;
    let faults = Arc::new(FaultSwitch::default());
    let core = Arc::new(EngineCore::new(host, &options, Arc::clone(&faults)));
    tokio::spawn(batch_loop(
        Arc::clone(&core),
        Duration::from_micros(options.step_us),
    ));
    let server = Arc::new(EngineServer { core });
    serve_standin("engine", options.listen, server, faults).await
}

/// The engine's HTTP side.
#[derive(Debug)]
pub struct EngineServer {
    core: Arc<EngineCore>,
}

#[derive(Debug)]
struct EngineCore {
    host: HostId,
    boot: BootNumber,
    fencing: bool,
    slots: u32,
    faults: Arc<FaultSwitch>,
    inner: Mutex<EngineInner>,
}

#[derive(Debug, Default)]
struct EngineInner {
    assignment: Option<EngineAssignment>,
    highest_epoch: LeaseEpoch,
    streams: BTreeMap<AttemptId, RunningStream>,
}

#[derive(Debug)]
struct RunningStream {
    order: StreamOrder,
    next: u32,
    sender: mpsc::Sender<Bytes>,
}

impl EngineCore {
    fn new(host: HostId, options: &EngineOptions, faults: Arc<FaultSwitch>) -> Self {
        let since_epoch = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let boot = BootNumber(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX));
        Self {
            host,
            boot,
            fencing: options.fencing,
            slots: options.slots,
            faults,
            inner: Mutex::new(EngineInner::default()),
        }
    }

    fn inner(&self) -> MutexGuard<'_, EngineInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> EngineState {
        let inner = self.inner();
        let running = u32::try_from(inner.streams.len()).unwrap_or(u32::MAX);
        let load = EngineLoad {
            running,
            slots: self.slots,
            ..EngineLoad::default()
        };
        EngineState {
            host: self.host.clone(),
            boot: self.boot,
            assignment: inner.assignment.clone(),
            ready: inner.assignment.is_some(),
            leaving: self.faults.plan().leaving,
            load,
        }
    }

    fn follow(&self, order: EngineOrder) -> WebAnswer {
        {
            let mut inner = self.inner();
            if self.fencing && order.epoch < inner.highest_epoch {
                drop(inner);
                return json_answer(StatusCode::CONFLICT, &self.state());
            }
            inner.highest_epoch = inner.highest_epoch.max(order.epoch);
            if inner.assignment != order.assignment {
                inner.streams.clear();
                inner.assignment = order.assignment;
            }
        }
        json_answer(StatusCode::OK, &self.state())
    }

    fn start(&self, order: StreamOrder) -> WebAnswer {
        let mut inner = self.inner();
        let meant = inner.assignment.as_ref().is_some_and(|assignment| {
            assignment.replica == order.replica
                && assignment.incarnation == order.incarnation
                && assignment.rank == 0
        });
        if !meant {
            return text_answer(StatusCode::CONFLICT, "another replica or incarnation");
        }
        if inner.streams.len() >= self.slots as usize {
            return text_answer(StatusCode::SERVICE_UNAVAILABLE, "the batch is full");
        }
        let (sender, body) = channel_body(STREAM_BUFFER);
        if self.faults.plan().fail_streams {
            let failed = StreamEvent::Failed {
                attempt: order.attempt,
                reason: "fails on purpose".to_owned(),
            };
            let _ = sender.try_send(event_line(&failed));
            return http::Response::new(body);
        }
        let next = u32::try_from(order.resume.len()).unwrap_or(u32::MAX);
        inner.streams.insert(
            order.attempt.clone(),
            RunningStream {
                order,
                next,
                sender,
            },
        );
        http::Response::new(body)
    }

    fn step(&self) {
        let mut inner = self.inner();
        let mut ended = Vec::new();
        for (attempt, stream) in &mut inner.streams {
            let event = stream.advance();
            let last = matches!(event, StreamEvent::Done { .. });
            let sent = stream.sender.try_send(event_line(&event)).is_ok();
            if last || !sent {
                ended.push(attempt.clone());
            }
        }
        for attempt in ended {
            inner.streams.remove(&attempt);
        }
    }
}

impl RunningStream {
    fn advance(&mut self) -> StreamEvent {
        let attempt = self.order.attempt.clone();
        let incarnation = self.order.incarnation;
        if self.next >= self.order.max_tokens {
            let words = self.order.prompt.split_whitespace().count();
            return StreamEvent::Done {
                attempt,
                incarnation,
                count: self.next,
                prompt_tokens: u32::try_from(words).unwrap_or(u32::MAX),
                cached_tokens: 0,
                finish: "length".to_owned(),
            };
        }
        let index = self.next;
        self.next += 1;
        StreamEvent::Token {
            attempt,
            incarnation,
            index,
            text: token_text(&self.order, index),
        }
    }
}

/// The token at an index: the same for the same prompt and seed on every replica.
fn token_text(order: &StreamOrder, index: u32) -> String {
    let mut state = order.seed ^ (u64::from(index) << 20);
    for byte in order.prompt.bytes() {
        state = state.rotate_left(5) ^ u64::from(byte);
        state = state.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    let choice = usize::try_from(state >> 40).unwrap_or(0) % WORDS.len();
    format!("{} ", WORDS[choice])
}

fn event_line(event: &StreamEvent) -> Bytes {
    let mut line = serde_json::to_vec(event).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}

async fn batch_loop(core: Arc<EngineCore>, step: Duration) {
    loop {
        let plan = core.faults.plan();
        tokio::time::sleep(step.mul_f64(plan.slow_factor.max(1.0))).await;
        if plan.outage != OutageMode::Hang {
            core.step();
        }
    }
}

impl StandinHandler for EngineServer {
    async fn answer(&self, request: Request<Bytes>) -> WebAnswer {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        if let Some(attempt) = path.strip_prefix("/streams/")
            && method == Method::DELETE
        {
            if let Ok(attempt) = attempt.parse::<AttemptId>() {
                self.core.inner().streams.remove(&attempt);
            }
            return text_answer(StatusCode::OK, "");
        }
        if method == Method::GET && path == "/state" {
            return json_answer(StatusCode::OK, &self.core.state());
        }
        let bytes = request.into_body();
        match (method, path.as_str()) {
            (Method::POST, "/orders") => match parse_json(&bytes) {
                Ok(order) => self.core.follow(order),
                Err(error) => text_answer(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            (Method::POST, "/streams") => match parse_json(&bytes) {
                Ok(order) => self.core.start(order),
                Err(error) => text_answer(StatusCode::BAD_REQUEST, &error.to_string()),
            },
            _ => text_answer(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}
