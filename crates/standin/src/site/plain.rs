//! Instances of a plain service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use serde_json::json;
use tokio::sync::Notify;

use super::engine::{CRASH_BODY, holds};
use super::http::{CloseAfter, SiteAnswer, SiteRequest, SiteServer, plain};
use super::store::SiteStore;

/// Time that a slow instance takes for a call.
const SLOW_TIME: Duration = Duration::from_millis(40);

/// How an instance behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceMode {
    /// It answers.
    Healthy,
    /// It answers after [`SLOW_TIME`].
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
    ran: Vec<String>,
    seen: Vec<String>,
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
            ran: Vec::new(),
            seen: Vec::new(),
            crash: None,
        }));
        let shared = Arc::clone(&state);
        let server = SiteServer::start(move |request| {
            let shared = Arc::clone(&shared);
            async move { answer(&shared, request).await }
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

    fn with<R>(&self, use_it: impl FnOnce(&mut InstanceState) -> R) -> R {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        use_it(&mut state)
    }

    /// Changes how it behaves.
    pub fn set_mode(&self, mode: ServiceMode) {
        self.with(|state| state.mode = mode);
    }

    /// How often a request ran here.
    #[must_use]
    pub fn execution_count(&self, request: &str) -> usize {
        self.with(|state| state.ran.iter().filter(|id| *id == request).count())
    }

    /// Headers of the requests that came, one text each.
    #[must_use]
    pub fn received_headers(&self) -> Vec<String> {
        self.with(|state| state.seen.clone())
    }
}

fn end_process(state: &Mutex<InstanceState>) {
    let state = state.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(crash) = &state.crash {
        crash.notify_one();
    }
}

async fn answer(state: &Mutex<InstanceState>, request: SiteRequest) -> SiteAnswer {
    let id = request.header("x-request-id").to_owned();
    let mode = {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.seen.push(format!("{:?}", request.headers));
        if state.mode != ServiceMode::Overloaded {
            state.ran.push(id.clone());
        }
        state.mode
    };
    if holds(&request.body, CRASH_BODY) {
        end_process(state);
        std::future::pending::<()>().await;
    }
    let mut answer = match mode {
        ServiceMode::Healthy | ServiceMode::WrongRequestId | ServiceMode::ClosesConnection => {
            plain(StatusCode::OK, "receipt")
        }
        ServiceMode::Slow => {
            tokio::time::sleep(SLOW_TIME).await;
            plain(StatusCode::OK, "receipt")
        }
        ServiceMode::Overloaded => plain(StatusCode::SERVICE_UNAVAILABLE, ""),
        ServiceMode::Unresponsive => std::future::pending().await,
        ServiceMode::Failing => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
    };
    if mode == ServiceMode::ClosesConnection {
        answer.extensions_mut().insert(CloseAfter);
    }
    let headers = answer.headers_mut();
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
    answer
}
