//! Instances of a plain service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, StreamExt as _, TryStreamExt as _};
use http::{HeaderMap, HeaderValue, Response, StatusCode, Version};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use serde_json::json;
use tokio::sync::Notify;

use super::engine::{CRASH_BODY, contains};
use super::http::{CloseAfterResponse, SiteRequest, SiteResponse, SiteServer, text_response};
use super::store::SiteStore;

/// Response time of a slow instance.
const SLOW_DELAY: Duration = Duration::from_millis(40);

/// Behaviour of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceMode {
    /// Executes a call and responds.
    Healthy,
    /// Responds after [`SLOW_DELAY`].
    Slow,
    /// Responds after this time.
    Delayed(Duration),
    /// Rejects each call with 503 without executing it.
    Overloaded,
    /// Executes a call but never responds.
    Unresponsive,
    /// Responds with 500 after executing a call.
    Failing,
    /// Responds with this status after executing a call for so long.
    FailingWith(StatusCode, Duration),
    /// Responds with the id of another request.
    WrongRequestId,
    /// Responds, then closes the connection shortly after without announcing it.
    ClosesConnection,
    /// Its responses have neither a length nor chunks and end with their connection.
    Unframed,
    /// The same, but its process dies in the middle of the response.
    DiesUnframed,
    /// Executes calls and says in its responses that it leaves.
    Leaving,
}

#[derive(Debug)]
struct InstanceState {
    mode: ServiceMode,
    /// Text of its responses.
    text: String,
    executed: Vec<String>,
    received_headers: Vec<String>,
    /// Further headers of its responses.
    headers: HeaderMap,
    /// Crashes the instance when notified.
    crash: Option<Arc<Notify>>,
}

/// One instance; dropping it closes its listener and connections, as when its process dies.
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
    /// Returns an error if no port can be bound.
    pub fn start(store: &SiteStore, id: &str, zone: &str) -> std::io::Result<Self> {
        Self::start_with(store, id, zone, ("records", "receipt"))
    }

    /// Starts an instance of another service, whose name is the text of its responses, and registers
    /// it.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start_for(
        store: &SiteStore,
        id: &str,
        zone: &str,
        service: &str,
    ) -> std::io::Result<Self> {
        Self::start_with(store, id, zone, (service, service))
    }

    fn start_with(
        store: &SiteStore,
        id: &str,
        zone: &str,
        (service, text): (&str, &str),
    ) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(InstanceState {
            mode: ServiceMode::Healthy,
            text: text.to_owned(),
            executed: Vec::new(),
            received_headers: Vec::new(),
            headers: HeaderMap::new(),
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
            "service": service, "address": server.address.to_string(), "zone": zone,
            "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        });
        store.put("servers", id, row.to_string().as_bytes());
        Ok(Self { state, server })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    fn with<R>(&self, update: impl FnOnce(&mut InstanceState) -> R) -> R {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        update(&mut state)
    }

    /// Changes its behaviour for the following requests.
    pub fn set_mode(&self, mode: ServiceMode) {
        self.with(|state| state.mode = mode);
    }

    /// Changes the text of its following responses.
    pub fn set_text(&self, text: &str) {
        self.with(|state| text.clone_into(&mut state.text));
    }

    /// Sets a further header of all following responses, in place of an earlier one.
    ///
    /// # Panics
    ///
    /// Panics if the bytes can't stand in a header.
    pub fn set_header(&self, name: &'static str, value: &[u8]) {
        let value = HeaderValue::from_bytes(value).expect("bytes of a header");
        self.with(|state| {
            state.headers.clear();
            state.headers.insert(name, value);
        });
    }

    /// Returns how often a request was executed here.
    #[must_use]
    pub fn execution_count(&self, request: &str) -> usize {
        self.with(|state| state.executed.iter().filter(|id| *id == request).count())
    }

    /// Returns how many requests were received.
    #[must_use]
    pub fn received_count(&self) -> usize {
        self.with(|state| state.received_headers.len())
    }

    /// Returns the headers of each received request, in debug format.
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

fn unframed(mut response: SiteResponse) -> SiteResponse {
    *response.version_mut() = Version::HTTP_10;
    // A body of unknown length.
    response.map(|body| StreamBody::new(body.into_data_stream().map_ok(Frame::data)).boxed_unsync())
}

/// A response of which only the first half is sent before the process dies.
fn dying_response(state: &Mutex<InstanceState>, text: &str) -> SiteResponse {
    let crash = {
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.crash.clone()
    };
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let dying = async move {
        tokio::time::sleep(SLOW_DELAY).await;
        if let Some(crash) = crash {
            crash.notify_one();
        }
        std::future::pending::<Result<Frame<Bytes>, std::io::Error>>().await
    };
    let first = stream::once(async move { Ok(Frame::data(half)) });
    let body = StreamBody::new(first.chain(stream::once(dying))).boxed_unsync();
    let mut response = Response::new(body);
    *response.version_mut() = Version::HTTP_10;
    response
}

async fn handle(state: &Mutex<InstanceState>, request: SiteRequest) -> SiteResponse {
    let id = request.header("x-request-id").to_owned();
    let (mode, text, further) = {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .received_headers
            .push(format!("{:?}", request.headers));
        if state.mode != ServiceMode::Overloaded {
            state.executed.push(id.clone());
        }
        (state.mode, state.text.clone(), state.headers.clone())
    };
    if contains(&request.body, CRASH_BODY) {
        crash_process(state);
        std::future::pending::<()>().await;
    }
    let mut response = match mode {
        ServiceMode::Healthy
        | ServiceMode::Leaving
        | ServiceMode::WrongRequestId
        | ServiceMode::ClosesConnection => text_response(StatusCode::OK, &text),
        ServiceMode::Unframed => unframed(text_response(StatusCode::OK, &text)),
        ServiceMode::DiesUnframed => dying_response(state, &text),
        ServiceMode::Slow => {
            tokio::time::sleep(SLOW_DELAY).await;
            text_response(StatusCode::OK, &text)
        }
        ServiceMode::Delayed(delay) => {
            tokio::time::sleep(delay).await;
            text_response(StatusCode::OK, &text)
        }
        ServiceMode::Overloaded => text_response(StatusCode::SERVICE_UNAVAILABLE, ""),
        ServiceMode::Unresponsive => std::future::pending().await,
        ServiceMode::Failing => text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        ServiceMode::FailingWith(status, delay) => {
            tokio::time::sleep(delay).await;
            text_response(status, "failed")
        }
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
    if mode == ServiceMode::Leaving {
        headers.insert("server-leaving", HeaderValue::from_static("1"));
    }
    let echo = if mode == ServiceMode::WrongRequestId {
        "another"
    } else {
        &id
    };
    if let Ok(value) = HeaderValue::from_str(echo) {
        headers.insert("x-request-id", value);
    }
    headers.extend(further);
    response
}
