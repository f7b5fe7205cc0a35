//! Instances of a plain service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use serde_json::json;
use tokio::sync::Notify;

use super::engine::{CRASH_BODY, contains};
use super::http::{CloseAfterResponse, SiteRequest, SiteResponse, SiteServer, text_response};
use super::store::SiteStore;

/// Time that a slow instance takes for a call.
const SLOW_DELAY: Duration = Duration::from_millis(40);

/// How an instance behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceMode {
    /// It answers.
    Healthy,
    /// It answers after [`SLOW_DELAY`].
    Slow,
    /// It says that it is full.
    Overloaded,
    /// It runs a call and its answer never comes.
    Unresponsive,
    /// It fails each call after it ran.
    Failing,
    /// It answers as if another request had been asked for.
    WrongRequestId,
    /// It answers and closes the connection a moment later, without saying so.
    ClosesConnection,
}

#[derive(Debug)]
struct InstanceState {
    mode: ServiceMode,
    executed: Vec<String>,
    received_headers: Vec<String>,
    /// Ends its process.
    crash: Option<Arc<Notify>>,
}

/// One instance; dropped, its process is gone.
#[derive(Debug)]
pub struct SiteInstance {
    state: Arc<Mutex<InstanceState>>,
    server: SiteServer,
}

impl SiteInstance {
    /// Starts an instance and registers it.
    ///
    /// # Errors
    ///
    /// Its port can't be opened.
    pub fn start(store: &SiteStore, id: &str, zone: &str) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(InstanceState {
            mode: ServiceMode::Healthy,
            executed: Vec::new(),
            received_headers: Vec::new(),
            crash: None,
        }));
        let shared = Arc::clone(&state);
        let server = SiteServer::start(move |request| {
            let shared = Arc::clone(&shared);
            async move { handle(&shared, request).await }
        })?;
        let crash = Arc::clone(&server.crash);
        state.lock().unwrap_or_else(PoisonError::into_inner).crash = Some(crash);
        let row = json!({
            "service": "records", "address": server.address.to_string(), "zone": zone,
            "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        });
        store.put("servers", id, row.to_string().as_bytes());
        Ok(Self { state, server })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    fn with<R>(&self, update: impl FnOnce(&mut InstanceState) -> R) -> R {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        update(&mut state)
    }

    /// Changes how it behaves.
    pub fn set_mode(&self, mode: ServiceMode) {
        self.with(|state| state.mode = mode);
    }

    /// How often a request ran here.
    #[must_use]
    pub fn execution_count(&self, request: &str) -> usize {
        self.with(|state| state.executed.iter().filter(|id| *id == request).count())
    }

    /// Headers of the requests that came, one text each.
    #[must_use]
    pub fn received_headers(&self) -> Vec<String> {
        self.with(|state| state.received_headers.clone())
    }
}

fn crash_process(state: &Mutex<InstanceState>) {
    let state = state.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(crash) = &state.crash {
        crash.notify_one();
    }
}

async fn handle(state: &Mutex<InstanceState>, request: SiteRequest) -> SiteResponse {
    let id = request.header("x-request-id").to_owned();
    let mode = {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .received_headers
            .push(format!("{:?}", request.headers));
        if state.mode != ServiceMode::Overloaded {
            state.executed.push(id.clone());
        }
        state.mode
    };
    if contains(&request.body, CRASH_BODY) {
        crash_process(state);
        std::future::pending::<()>().await;
    }
    let mut response = match mode {
        ServiceMode::Healthy | ServiceMode::WrongRequestId | ServiceMode::ClosesConnection => {
            text_response(StatusCode::OK, "receipt")
        }
        ServiceMode::Slow => {
            tokio::time::sleep(SLOW_DELAY).await;
            text_response(StatusCode::OK, "receipt")
        }
        ServiceMode::Overloaded => text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
        ServiceMode::Unresponsive => std::future::pending().await,
        ServiceMode::Failing => text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
    };
    if mode == ServiceMode::ClosesConnection {
        response.extensions_mut().insert(CloseAfterResponse);
    }
    let headers = response.headers_mut();
    if mode == ServiceMode::Overloaded {
        headers.insert("x-not-executed", HeaderValue::from_static("1"));
    } else {
        headers.insert("x-response-signature", HeaderValue::from_static("signed"));
    }
    let echo = if mode == ServiceMode::WrongRequestId {
        "another"
    } else {
        &id
    };
    if let Ok(value) = HeaderValue::from_str(echo) {
        headers.insert("x-request-id", value);
    }
    response
}
