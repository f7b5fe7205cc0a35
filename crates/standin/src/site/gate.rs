//! A way to the store on which calls of some nodes are lost, delayed or turned away.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::StatusCode;

use super::http::{SiteRequest, SiteResponse, SiteServer, text_response};
use super::store::SiteStore;

/// Table with the configuration.
const CONFIG_TABLE: &str = "op";

/// What becomes of the calls of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum GateMode {
    /// They reach the store, and its responses arrive.
    #[default]
    Open,
    /// They never get a response, and are not carried out.
    Silent,
    /// They are carried out, and never get a response.
    LosesResponses,
    /// They are refused with 503, also those that wait.
    TurnsAway,
    /// Their responses arrive later by this time.
    Slow(Duration),
}

#[derive(Debug, Default)]
struct GateState {
    mode: GateMode,
    /// Responses about the configuration that are lost next.
    config_losses: u32,
    /// Wait after which the store ends the next poll of the configuration.
    early_end: Option<Duration>,
}

/// A further port of a store, with faults of its own.
#[derive(Debug, Clone)]
pub struct StoreGate {
    /// Where nodes call it.
    pub address: SocketAddr,
    state: Arc<Mutex<GateState>>,
}

impl StoreGate {
    /// Opens a gate to a store, until the runtime shuts down.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn open(store: &SiteStore) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(GateState::default()));
        let shared = Arc::clone(&state);
        let store = store.clone();
        let server = SiteServer::start(move |request| {
            let (store, shared) = (store.clone(), Arc::clone(&shared));
            async move { pass(&store, &shared, request).await }
        })?;
        let address = server.address;
        std::mem::forget(server);
        Ok(Self { address, state })
    }

    /// Changes what becomes of calls, also of those that wait for their response.
    pub fn set(&self, mode: GateMode) {
        lock(&self.state).mode = mode;
    }

    /// Loses the next responses about the configuration, that of a call that waits first.
    pub fn lose_config(&self, count: u32) {
        lock(&self.state).config_losses = count;
    }
}

impl StoreGate {
    /// Makes the store end the next poll of the configuration after this wait, which a store may do.
    pub fn end_poll_early(&self, after: Duration) {
        lock(&self.state).early_end = Some(after);
    }

    /// Whether no poll of the configuration is to be ended early any more.
    #[must_use]
    pub fn has_begun_early_poll(&self) -> bool {
        lock(&self.state).early_end.is_none()
    }
}

fn lock(state: &Mutex<GateState>) -> std::sync::MutexGuard<'_, GateState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn pass(
    store: &SiteStore,
    state: &Mutex<GateState>,
    mut request: SiteRequest,
) -> SiteResponse {
    let mode = lock(state).mode;
    match mode {
        GateMode::Silent => std::future::pending().await,
        GateMode::TurnsAway => return text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
        GateMode::Open | GateMode::LosesResponses | GateMode::Slow(_) => {}
    }
    let is_config = request.query("table").as_deref() == Some(CONFIG_TABLE);
    if is_config
        && request.query("wait_ms").is_some()
        && let Some(wait) = lock(state).early_end.take()
    {
        shorten_wait(&mut request, wait);
    }
    let response = store.handle(request).await;
    if is_config && takes_loss(state) {
        std::future::pending::<()>().await;
    }
    let mode = lock(state).mode;
    match mode {
        GateMode::Silent | GateMode::LosesResponses => std::future::pending().await,
        GateMode::Slow(delay) => tokio::time::sleep(delay).await,
        GateMode::TurnsAway => return text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
        GateMode::Open => {}
    }
    response
}

fn shorten_wait(request: &mut SiteRequest, wait: Duration) {
    let pairs = request.query.split('&');
    let mut pairs: Vec<String> = pairs
        .filter(|pair| !pair.starts_with("wait_ms="))
        .map(str::to_owned)
        .collect();
    pairs.push(format!("wait_ms={}", wait.as_millis()));
    request.query = pairs.join("&");
}

fn takes_loss(state: &Mutex<GateState>) -> bool {
    let mut state = lock(state);
    let is_lost = state.config_losses > 0;
    state.config_losses = state.config_losses.saturating_sub(1);
    is_lost
}
