//! Instances of a plain service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use serde_json::json;
use tokio::sync::Notify;

use super::engine::{ENDING_BODY, holds};
use super::http::{CloseAfter, SiteAnswer, SiteRequest, SiteServer, plain};
use super::store::SiteStore;

/// Time that a slow instance takes for a call.
const SLOW_TIME: Duration = Duration::from_millis(40);

/// How an instance behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlainMode {
    /// It answers.
    Sound,
    /// It answers after [`SLOW_TIME`].
    Slow,
    /// It says that it is full.
    Full,
    /// It runs a call and its answer never comes.
    Mute,
    /// It fails each call after it ran.
    Failing,
    /// It answers as if another request had been asked for.
    Crossed,
    /// It answers and closes the connection a moment later, without saying so.
    Closing,
}

#[derive(Debug)]
struct InstanceState {
    mode: PlainMode,
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
            mode: PlainMode::Sound,
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
    pub fn set_mode(&self, mode: PlainMode) {
        self.with(|state| state.mode = mode);
    }

    /// How often a request ran here.
    #[must_use]
    pub fn runs(&self, request: &str) -> usize {
        self.with(|state| state.ran.iter().filter(|id| *id == request).count())
    }

    /// Headers of the requests that came, one text each.
    #[must_use]
    pub fn seen(&self) -> Vec<String> {
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
        if state.mode != PlainMode::Full {
            state.ran.push(id.clone());
        }
        state.mode
    };
    if holds(&request.body, ENDING_BODY) {
        end_process(state);
        std::future::pending::<()>().await;
    }
    let mut answer = match mode {
        PlainMode::Sound | PlainMode::Crossed | PlainMode::Closing => {
            plain(StatusCode::OK, "receipt")
        }
        PlainMode::Slow => {
            tokio::time::sleep(SLOW_TIME).await;
            plain(StatusCode::OK, "receipt")
        }
        PlainMode::Full => plain(StatusCode::SERVICE_UNAVAILABLE, ""),
        PlainMode::Mute => std::future::pending().await,
        PlainMode::Failing => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
    };
    if mode == PlainMode::Closing {
        answer.extensions_mut().insert(CloseAfter);
    }
    let headers = answer.headers_mut();
    if mode == PlainMode::Full {
        headers.insert("x-not-executed", HeaderValue::from_static("1"));
    } else {
        headers.insert("x-response-signature", HeaderValue::from_static("signed"));
    }
    let echo = if mode == PlainMode::Crossed {
        "another"
    } else {
        &id
    };
    if let Ok(value) = HeaderValue::from_str(echo) {
        headers.insert("x-request-id", value);
    }
    answer
}
