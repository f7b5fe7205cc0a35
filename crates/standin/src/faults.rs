//! Switches for faults, the same at every stand-in: `POST /faults` with a [`FaultPlan`] replaces
//! the whole plan, `GET /faults` tells plan and counts as a [`FaultReport`].
//!
//! A read is a `GET`, a write is anything else.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use web::{WebResponse, json_response, parse_json, text_response};

/// Path of the switches.
pub const FAULTS_PATH: &str = "/faults";

const THROTTLE_WINDOW: Duration = Duration::from_secs(1);

/// What goes wrong at a stand-in; the default is nothing.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, bon::Builder)]
#[builder(on(String, into))]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Milliseconds before a request is run. A caller that hangs up meanwhile does not stop it, so
    /// a write that was given up on takes effect late.
    #[builder(default)]
    pub latency_ms: u64,
    /// Milliseconds between running a request and answering it.
    #[builder(default)]
    pub answer_latency_ms: u64,
    /// Whether nothing is run at all.
    #[builder(default)]
    pub outage: OutageMode,
    /// Next writes that are refused with 503, unrun.
    #[builder(default)]
    pub refuse_next: u64,
    /// Next writes whose connection is closed, unrun.
    #[builder(default)]
    pub drop_next: u64,
    /// Next writes that are run and whose connection is closed without an answer.
    #[builder(default)]
    pub lose_next: u64,
    /// Share of the writes, from 0 to 1, that are run and not answered.
    #[builder(default)]
    pub lose_share: f64,
    /// Seed that chooses the writes of `lose_share`.
    #[builder(default)]
    pub seed: u64,
    /// Most reads a second; those above get 429.
    pub max_reads: Option<u32>,
    /// Most writes a second; those above get 429.
    pub max_writes: Option<u32>,
    /// Only paths that begin so are affected.
    pub match_path: Option<String>,
    /// Only requests whose body holds this text are affected.
    pub match_body: Option<String>,
    /// Engine: its steps take so many times as long; 0 counts as 1.
    #[builder(default)]
    pub slow_factor: f64,
    /// Engine: it reports that it is about to leave.
    #[builder(default)]
    pub leaving: bool,
    /// Engine: it fails every new stream at once.
    #[builder(default)]
    pub fail_streams: bool,
}

/// How a stand-in is out of order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutageMode {
    /// It works.
    #[default]
    None,
    /// It answers 503.
    Refuse,
    /// It accepts connections and never answers.
    Hang,
}

/// Requests since the start, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultCounts {
    /// Reads that came in.
    pub reads: u64,
    /// Writes that came in.
    pub writes: u64,
    /// Writes that were run and not answered.
    pub lost: u64,
    /// Requests that were refused, dropped, throttled or hung, unrun.
    pub unrun: u64,
}

/// Answer of `GET /faults`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultReport {
    /// The plan in force.
    pub plan: FaultPlan,
    /// Requests so far.
    pub counts: FaultCounts,
}

/// What becomes of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultDecision {
    /// It is run.
    Run {
        /// Wait before.
        latency: Duration,
        /// Wait behind.
        response_latency: Duration,
        /// Whether the connection is closed instead of an answer.
        lost: bool,
    },
    /// 503.
    Refuse,
    /// 429.
    Throttle,
    /// The connection is closed.
    Drop,
    /// No answer ever.
    Hang,
}

/// The switches of one stand-in.
#[derive(Debug)]
pub struct FaultInjector {
    state: Mutex<InjectorState>,
    running: AtomicU32,
}

#[derive(Debug)]
struct InjectorState {
    report: FaultReport,
    random: StdRng,
    window: Instant,
    reads: u32,
    writes: u32,
}

impl Default for FaultInjector {
    fn default() -> Self {
        Self {
            state: Mutex::new(InjectorState {
                report: FaultReport::default(),
                random: StdRng::seed_from_u64(0),
                window: Instant::now(),
                reads: 0,
                writes: 0,
            }),
            running: AtomicU32::new(0),
        }
    }
}

impl FaultInjector {
    /// Requests that run now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Counts a request that runs until [`FaultInjector::end`].
    pub fn begin(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends what [`FaultInjector::begin`] counted.
    pub fn end(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    fn state(&self) -> MutexGuard<'_, InjectorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The plan in force.
    #[must_use]
    pub fn plan(&self) -> FaultPlan {
        self.state().report.plan.clone()
    }

    /// Answers a request to [`FAULTS_PATH`].
    pub fn handle(&self, request: &Request<Bytes>) -> WebResponse {
        if request.method() == Method::GET {
            return json_response(StatusCode::OK, &self.state().report);
        }
        let plan: FaultPlan = match parse_json(request.body()) {
            Ok(plan) => plan,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let mut state = self.state();
        state.random = StdRng::seed_from_u64(plan.seed);
        state.report.plan = plan;
        json_response(StatusCode::OK, &state.report)
    }

    /// Decides what becomes of a request, and counts it.
    pub fn decide(&self, request: &Request<Bytes>) -> FaultDecision {
        let mut state = self.state();
        let write = request.method() != Method::GET;
        let decision = state.decide(request, write);
        let counts = &mut state.report.counts;
        if write {
            counts.writes += 1;
        } else {
            counts.reads += 1;
        }
        match decision {
            FaultDecision::Run { lost: true, .. } => counts.lost += 1,
            FaultDecision::Run { lost: false, .. } => {}
            _ => counts.unrun += 1,
        }
        decision
    }
}

impl InjectorState {
    fn decide(&mut self, request: &Request<Bytes>, write: bool) -> FaultDecision {
        let throttled = self.count_rate(write);
        if !matches_request(&self.report.plan, request) {
            return run_without_faults();
        }
        match self.report.plan.outage {
            OutageMode::None => {}
            OutageMode::Refuse => return FaultDecision::Refuse,
            OutageMode::Hang => return FaultDecision::Hang,
        }
        if throttled {
            return FaultDecision::Throttle;
        }
        let plan = &mut self.report.plan;
        if write && decrement(&mut plan.refuse_next) {
            return FaultDecision::Refuse;
        }
        if write && decrement(&mut plan.drop_next) {
            return FaultDecision::Drop;
        }
        let share = plan.lose_share.clamp(0.0, 1.0);
        let lost = write && (decrement(&mut plan.lose_next) || self.random.random_bool(share));
        FaultDecision::Run {
            latency: Duration::from_millis(plan.latency_ms),
            response_latency: Duration::from_millis(plan.answer_latency_ms),
            lost,
        }
    }

    fn count_rate(&mut self, write: bool) -> bool {
        if self.window.elapsed() >= THROTTLE_WINDOW {
            self.window = Instant::now();
            self.reads = 0;
            self.writes = 0;
        }
        let (count, limit) = if write {
            (&mut self.writes, self.report.plan.max_writes)
        } else {
            (&mut self.reads, self.report.plan.max_reads)
        };
        *count += 1;
        limit.is_some_and(|limit| *count > limit)
    }
}

fn run_without_faults() -> FaultDecision {
    FaultDecision::Run {
        latency: Duration::ZERO,
        response_latency: Duration::ZERO,
        lost: false,
    }
}

fn decrement(left: &mut u64) -> bool {
    if *left == 0 {
        return false;
    }
    *left -= 1;
    true
}

fn matches_request(plan: &FaultPlan, request: &Request<Bytes>) -> bool {
    let path = plan
        .match_path
        .as_ref()
        .is_none_or(|prefix| request.uri().path().starts_with(prefix.as_str()));
    let body = plan.match_body.as_ref().is_none_or(|text| {
        let body = String::from_utf8_lossy(request.body());
        body.contains(text.as_str())
    });
    path && body
}
