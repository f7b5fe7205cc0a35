//! The state of an engine and how orders and requests change it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use domain::{AttemptId, BootNumber, HostId, LeaseEpoch};
use http::{HeaderValue, StatusCode, header};
use tokio::sync::Notify;
use web::response::bytes_response;
use web::{WebClient, WebResponse, json_response, parse_json, text_response};
use wire::engine::{CachePage, EngineAssignment, EngineOrder, EngineState, StreamRequest};

use super::batch::StepCosts;
use super::cache::PrefixCache;
use super::delayed_load::DelayedLoad;
use super::health::PeerHealth;
use super::loading::{LoadScope, LoadedWeights, load, load_scope};
use super::pool::{KvCache, StreamPool};
use crate::faults::{FaultInjector, OutageMode};
use crate::options::EngineOptions;

/// Interval at which a stalled batch checks whether it can step again.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by the request handlers, the batch loop and the peer checks.
#[derive(Debug)]
pub struct EngineCore {
    /// Command-line options.
    pub options: EngineOptions,
    /// HTTP client for peers and the weight store.
    pub client: WebClient,
    host: HostId,
    boot: BootNumber,
    faults: Arc<FaultInjector>,
    wake: Notify,
    inner: Mutex<EngineInner>,
}

#[derive(Debug)]
struct EngineInner {
    assignment: Option<EngineAssignment>,
    highest_epoch: LeaseEpoch,
    loaded: Option<LoadedWeights>,
    ready: bool,
    peers: PeerHealth,
    pool: StreamPool,
    reported_load: DelayedLoad,
}

impl EngineCore {
    /// Creates an engine without an assignment. Its boot number is the start time in microseconds,
    /// so that it increases with every restart.
    #[must_use]
    pub fn new(host: HostId, options: EngineOptions, faults: Arc<FaultInjector>) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let boot = BootNumber(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX));
        let cache = PrefixCache::new(
            options.cache_blocks,
            Duration::from_millis(options.cache_lag_ms),
        );
        let pool = StreamPool::new(
            options.slots,
            options.queue,
            Duration::from_millis(options.linger_ms),
            cache,
        );
        let inner = EngineInner {
            assignment: None,
            highest_epoch: LeaseEpoch::default(),
            loaded: None,
            ready: false,
            peers: PeerHealth::AllReady,
            pool,
            reported_load: DelayedLoad::new(Duration::from_millis(options.report_lag_ms)),
        };
        Self {
            options,
            client: WebClient::default(),
            host,
            boot,
            faults,
            wake: Notify::new(),
            inner: Mutex::new(inner),
        }
    }

    fn inner(&self) -> MutexGuard<'_, EngineInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state that the engine reports.
    #[must_use]
    pub fn state(&self) -> EngineState {
        let now = Instant::now();
        let mut inner = self.inner();
        let load = inner.pool.load();
        inner.reported_load.record(load, now);
        EngineState {
            host: self.host.clone(),
            boot: self.boot,
            assignment: inner.assignment.clone(),
            ready: inner.ready && !self.has_lost_peer(&inner),
            leaving: self.faults.plan().leaving,
            load: inner.reported_load.reported(now),
        }
    }

    /// Returns whether a peer has been lost for at least the `--peer-loss-ms` timeout.
    fn has_lost_peer(&self, inner: &EngineInner) -> bool {
        let limit = Duration::from_millis(self.options.peer_loss_ms);
        matches!(inner.peers, PeerHealth::Lost(since) if since.elapsed() >= limit)
    }

    /// Returns the assignment if this engine is rank 0 of it.
    #[must_use]
    pub fn leader_assignment(&self) -> Option<EngineAssignment> {
        let assignment = self.inner().assignment.clone()?;
        (assignment.rank == 0).then_some(assignment)
    }

    /// Updates the health of the peers, unless the assignment has changed meanwhile. Fails all
    /// streams once a peer has been lost for the timeout.
    pub fn update_peers(
        &self,
        assignment: &EngineAssignment,
        change: impl FnOnce(PeerHealth) -> PeerHealth,
    ) {
        let mut inner = self.inner();
        if inner.assignment.as_ref() != Some(assignment) {
            return;
        }
        inner.peers = change(inner.peers);
        if self.has_lost_peer(&inner) {
            inner
                .pool
                .fail_all("a host of the replica is gone", Instant::now());
        }
    }

    /// Marks the engine as ready for an assignment, unless the assignment has changed meanwhile.
    pub fn finish_load(&self, assignment: &EngineAssignment) {
        let mut inner = self.inner();
        if inner.assignment.as_ref() != Some(assignment) {
            return;
        }
        inner.loaded = Some(LoadedWeights {
            model: assignment.model.clone(),
            version: assignment.version.clone(),
        });
        inner.ready = true;
    }

    /// Starts a stream; refuses one for another replica or incarnation with 409, and one that can't
    /// be queued with 503.
    pub fn start(&self, request: StreamRequest) -> WebResponse {
        let now = Instant::now();
        let mut inner = self.inner();
        let addressed = inner.assignment.as_ref().is_some_and(|assignment| {
            assignment.replica == request.replica
                && assignment.incarnation == request.incarnation
                && assignment.rank == 0
        });
        if !addressed {
            return text_response(StatusCode::CONFLICT, "another replica or incarnation");
        }
        if !inner.ready || self.has_lost_peer(&inner) {
            return unavailable("not ready");
        }
        if inner.pool.is_full() {
            return unavailable("the queue is full");
        }
        let attempt = request.attempt.clone();
        let response = inner.pool.start(request, now);
        if self.faults.plan().fail_streams {
            inner.pool.fail(&attempt, "fails on purpose", now);
        }
        self.wake.notify_one();
        response
    }

    /// Resumes a stream from token index `from`.
    pub fn resume(&self, attempt: &AttemptId, from: u32) -> WebResponse {
        let resumed = self.inner().pool.resume(attempt, from, Instant::now());
        self.wake.notify_one();
        resumed.unwrap_or_else(|| text_response(StatusCode::NOT_FOUND, "no such stream"))
    }

    /// Cancels a stream and discards its state.
    pub fn cancel(&self, attempt: &AttemptId) {
        self.inner().pool.cancel(attempt);
    }

    /// Returns the published cache events with a number above `after`.
    #[must_use]
    pub fn cache_events(&self, after: u64) -> CachePage {
        self.inner().pool.cache().events(after, Instant::now())
    }

    /// Returns the KV cache of a stream whose prefill is complete.
    #[must_use]
    pub fn export_kv(&self, attempt: &AttemptId) -> WebResponse {
        let exported = self.inner().pool.export(attempt);
        match exported.map(|kv| serde_json::to_vec(&kv)) {
            Some(Ok(bytes)) => bytes_response(StatusCode::OK, "application/octet-stream", bytes),
            _ => text_response(
                StatusCode::NOT_FOUND,
                "no such stream, or its prompt is unread",
            ),
        }
    }

    /// Stores a KV cache for a stream that is yet to start.
    pub fn import_kv(&self, attempt: AttemptId, bytes: &[u8]) -> WebResponse {
        match parse_json::<KvCache>(bytes) {
            Ok(kv) => {
                self.inner().pool.import(attempt, kv);
                text_response(StatusCode::OK, "")
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn costs(&self) -> StepCosts {
        StepCosts {
            step: Duration::from_micros(self.options.step_us),
            stream: Duration::from_micros(self.options.stream_us),
            prompt_token: Duration::from_micros(self.options.prompt_token_us),
        }
    }
}

fn unavailable(text: &str) -> WebResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, text);
    response
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Applies an order. The response does not wait until the weights are loaded.
pub fn apply_order(core: &Arc<EngineCore>, order: EngineOrder) -> WebResponse {
    let mut inner = core.inner();
    if core.options.fencing && order.epoch < inner.highest_epoch {
        drop(inner);
        return json_response(StatusCode::CONFLICT, &core.state());
    }
    inner.highest_epoch = inner.highest_epoch.max(order.epoch);
    let before = inner.assignment.clone();
    if before != order.assignment {
        inner.pool.clear();
        inner.peers = PeerHealth::Loading;
        inner.ready = false;
        inner.assignment.clone_from(&order.assignment);
    }
    let loaded = inner.loaded.clone();
    drop(inner);
    if let Some(wanted) = order.assignment
        && before.as_ref() != Some(&wanted)
    {
        let scope = load_scope(loaded.as_ref(), before.as_ref(), &wanted);
        let loads_instantly = core.options.load_ms == 0 && core.options.weights.is_none();
        if scope == LoadScope::Nothing || loads_instantly {
            core.finish_load(&wanted);
        } else {
            let core = Arc::clone(core);
            tokio::spawn(async move {
                load(&core.client, &core.options, &wanted, scope).await;
                core.finish_load(&wanted);
            });
        }
    }
    json_response(StatusCode::OK, &core.state())
}

/// Runs batch steps in an endless loop; sleeps while there is no work.
pub async fn run_batch(core: Arc<EngineCore>) {
    let costs = core.costs();
    loop {
        let busy = core.inner().pool.is_busy();
        if !busy {
            core.wake.notified().await;
        }
        let plan = core.faults.plan();
        let stalled = core.inner().peers != PeerHealth::AllReady;
        if plan.outage == OutageMode::Hang || stalled {
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
            continue;
        }
        let step = core.inner().pool.plan();
        let time = step.duration(&costs).mul_f64(plan.slow_factor.max(1.0));
        tokio::time::sleep(time).await;
        let now = Instant::now();
        let mut inner = core.inner();
        if inner.peers == PeerHealth::AllReady {
            inner.pool.apply(&step, time, now);
        }
        let load = inner.pool.load();
        inner.reported_load.record(load, now);
    }
}
