//! A way to the store on which calls of some nodes are lost, delayed or turned away.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::StatusCode;
use tokio::sync::Notify;

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
    /// What becomes of the next response about the configuration.
    hold: ResponseHold,
}

/// Whether a response about the configuration is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum ResponseHold {
    /// None is.
    #[default]
    Off,
    /// The next one will be.
    Next,
    /// One is.
    Held,
}

/// A further port of a store, with faults of its own.
#[derive(Debug, Clone)]
pub struct StoreGate {
    /// Where nodes call it.
    pub address: SocketAddr,
    state: Arc<Mutex<GateState>>,
    released: Arc<Notify>,
}

impl StoreGate {
    /// Opens a gate to a store, until the runtime shuts down.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn open(store: &SiteStore) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(GateState::default()));
        let released = Arc::new(Notify::new());
        let shared = (Arc::clone(&state), Arc::clone(&released));
        let store = store.clone();
        let server = SiteServer::start(move |request| {
            let (store, (state, released)) = (store.clone(), shared.clone());
            async move { pass(&store, &state, &released, request).await }
        })?;
        let address = server.address;
        std::mem::forget(server);
        Ok(Self {
            address,
            state,
            released,
        })
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

    /// Holds the next response about the configuration back, as the store gave it, until it is released.
    pub fn hold_config(&self) {
        lock(&self.state).hold = ResponseHold::Next;
    }

    /// Whether a response is held back.
    #[must_use]
    pub fn holds_config(&self) -> bool {
        lock(&self.state).hold == ResponseHold::Held
    }

    /// Lets the response that is held back arrive.
    pub fn release_config(&self) {
        lock(&self.state).hold = ResponseHold::Off;
        self.released.notify_waiters();
    }
}

fn lock(state: &Mutex<GateState>) -> std::sync::MutexGuard<'_, GateState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn pass(
    store: &SiteStore,
    state: &Mutex<GateState>,
    released: &Notify,
    mut request: SiteRequest,
) -> SiteResponse {
    let turned_away = || store.with_era(text_response(StatusCode::SERVICE_UNAVAILABLE, ""));
    let mode = lock(state).mode;
    match mode {
        GateMode::Silent => std::future::pending().await,
        GateMode::TurnsAway => return turned_away(),
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
    if is_config {
        let mut arrival = pin!(released.notified());
        arrival.as_mut().enable();
        if begins_hold(state) {
            arrival.await;
        }
    }
    let mode = lock(state).mode;
    match mode {
        GateMode::Silent | GateMode::LosesResponses => std::future::pending().await,
        GateMode::Slow(delay) => tokio::time::sleep(delay).await,
        GateMode::TurnsAway => return turned_away(),
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

fn begins_hold(state: &Mutex<GateState>) -> bool {
    let mut state = lock(state);
    let begins = state.hold == ResponseHold::Next;
    if begins {
        state.hold = ResponseHold::Held;
    }
    begins
}

fn takes_loss(state: &Mutex<GateState>) -> bool {
    let mut state = lock(state);
    let is_lost = state.config_losses > 0;
    state.config_losses = state.config_losses.saturating_sub(1);
    is_lost
}
