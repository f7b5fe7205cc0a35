//! Fault injection, the same at every stand-in: `POST /faults` with a [`FaultPlan`] replaces the
//! current plan, `GET /faults` returns the plan and the counts as a [`FaultReport`].
//!
//! A `GET` counts as a read, every other method as a write.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use web::{WebResponse, json_response, parse_json, text_response};

/// Path that fault plans are read from and posted to.
pub const FAULTS_PATH: &str = "/faults";

const THROTTLE_WINDOW: Duration = Duration::from_secs(1);

/// The faults to inject at a stand-in; none by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, bon::Builder)]
#[builder(on(String, into))]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Delay in milliseconds before a request is executed. It is executed even if the caller
    /// disconnects during the delay, so that an abandoned write takes effect late.
    #[builder(default)]
    pub latency_ms: u64,
    /// Delay in milliseconds between executing a request and sending the response.
    #[builder(default)]
    pub answer_latency_ms: u64,
    /// Outage during which no request is executed.
    #[builder(default)]
    pub outage: OutageMode,
    /// Number of following writes that are refused with 503 without being executed.
    #[builder(default)]
    pub refuse_next: u64,
    /// Number of following writes whose connection is closed without executing them.
    #[builder(default)]
    pub drop_next: u64,
    /// Number of following writes that are executed and whose response is dropped.
    #[builder(default)]
    pub lose_next: u64,
    /// Share of the writes, from 0 to 1, that are executed and whose response is dropped.
    #[builder(default)]
    pub lose_share: f64,
    /// Seed of the random choice of writes for `lose_share`.
    #[builder(default)]
    pub seed: u64,
    /// Maximum reads per second; those above it get 429. `None` means no limit.
    pub max_reads: Option<u32>,
    /// Maximum writes per second; those above it get 429. `None` means no limit.
    pub max_writes: Option<u32>,
    /// Prefix of the paths that faults apply to; `None` means every path.
    pub match_path: Option<String>,
    /// Text that a request's body must contain for faults to apply; `None` means every request.
    pub match_body: Option<String>,
    /// Engine only: factor by which batch steps are slowed down; values below 1 count as 1.
    #[builder(default)]
    pub slow_factor: f64,
    /// Engine only: whether it reports that its host is leaving.
    #[builder(default)]
    pub leaving: bool,
    /// Engine only: whether every new stream fails immediately.
    #[builder(default)]
    pub fail_streams: bool,
}

/// Kind of outage of a stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutageMode {
    /// Requests are executed as usual.
    #[default]
    None,
    /// Every request is refused with 503.
    Refuse,
    /// Connections are accepted, but no request gets a response.
    Hang,
}

/// Counts of requests since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultCounts {
    /// Reads received.
    pub reads: u64,
    /// Writes received.
    pub writes: u64,
    /// Writes that were executed and whose response was dropped.
    pub lost: u64,
    /// Requests that were refused, dropped, throttled or left hanging without being executed.
    pub unrun: u64,
}

/// Response body of `GET /faults`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultReport {
    /// The current plan; its countdowns hold what remains.
    pub plan: FaultPlan,
    /// Requests since the start, also those before the current plan.
    pub counts: FaultCounts,
}

/// What to do with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultDecision {
    /// Execute it.
    Run {
        /// Delay before execution.
        latency: Duration,
        /// Delay between execution and response.
        response_latency: Duration,
        /// Whether to close the connection instead of sending the response.
        lost: bool,
    },
    /// Respond with 503 without executing it.
    Refuse,
    /// Respond with 429 without executing it.
    Throttle,
    /// Close the connection without executing it.
    Drop,
    /// Never respond.
    Hang,
}

/// Decides which faults one stand-in injects, and counts its requests.
#[derive(Debug)]
pub struct FaultInjector {
    state: Mutex<InjectorState>,
    running: AtomicU32,
}

#[derive(Debug)]
struct InjectorState {
    report: FaultReport,
    random: StdRng,
    window_start: Instant,
    reads: u32,
    writes: u32,
}

impl Default for FaultInjector {
    fn default() -> Self {
        Self {
            state: Mutex::new(InjectorState {
                report: FaultReport::default(),
                random: StdRng::seed_from_u64(0),
                window_start: Instant::now(),
                reads: 0,
                writes: 0,
            }),
            running: AtomicU32::new(0),
        }
    }
}

impl FaultInjector {
    /// Number of requests in progress.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Counts a request as in progress until [`FaultInjector::end`] is called.
    pub fn begin(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes a request counted by [`FaultInjector::begin`].
    pub fn end(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    fn state(&self) -> MutexGuard<'_, InjectorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a copy of the current plan.
    #[must_use]
    pub fn plan(&self) -> FaultPlan {
        self.state().report.plan.clone()
    }

    /// Handles a request to [`FAULTS_PATH`].
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

    /// Decides what to do with a request, and counts it.
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
        let throttled = self.exceeds_rate(write);
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

    fn exceeds_rate(&mut self, write: bool) -> bool {
        if self.window_start.elapsed() >= THROTTLE_WINDOW {
            self.window_start = Instant::now();
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

fn decrement(count: &mut u64) -> bool {
    if *count == 0 {
        return false;
    }
    *count -= 1;
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
