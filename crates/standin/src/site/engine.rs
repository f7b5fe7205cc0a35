//! Model engines that form replicas as ordered and stream events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures::stream;
use http::{HeaderValue, Response, StatusCode, Version};
use http_body_util::{BodyExt, StreamBody};
use serde_json::{Value, json};

use super::groups::{EngineState, SiteGroups};
use super::http::{
    ConnectionLossGuard, SiteRequest, SiteResponse, SiteServer, json_response, text_response,
};
use super::stream::{StreamEnding, StreamRun};

/// Content of a request body that crashes the engine or instance that executes the request.
pub const CRASH_BODY: &[u8] = b"ends what runs it";

/// A prompt part that crashes each engine that begins to answer a request with it, wherever it stands but
/// last.
pub const CRASH_PART: &str = "dead0001";

/// Requests that an engine says it runs at once.
const ENGINE_SLOTS: u32 = 8;

/// One engine; dropping it closes its listener and connections, as when its process dies.
#[derive(Debug)]
pub struct SiteEngine {
    /// Instance id in the registry.
    pub id: String,
    server: SiteServer,
}

impl SiteEngine {
    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Makes new connections time out, as with packet loss on the link, until the returned guard is
    /// dropped.
    pub async fn lose_connections(&self) -> ConnectionLossGuard {
        self.server.lose_connections().await
    }

    /// Stops accepting connections, as an engine that leaves does; requests in progress continue.
    pub fn stop_listening(&self) {
        self.server.stop_listening();
    }
}

impl SiteGroups {
    /// Starts an engine in a fabric domain and registers it. An engine that had the id is replaced by the
    /// new process, which knows nothing of it.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(&self, id: &str, fabric: &str, zone: &str) -> std::io::Result<SiteEngine> {
        let groups = self.clone();
        let name = id.to_owned();
        let server = SiteServer::start(move |request| {
            let (groups, name) = (groups.clone(), name.clone());
            async move { groups.handle(&name, request).await }
        })?;
        let previous = self.with(id, |engine| engine.born).unwrap_or(0);
        let state = EngineState {
            born: previous + 1,
            fabric: fabric.to_owned(),
            zone: zone.to_owned(),
            address: server.address.to_string(),
            orders: 0,
            highest_epoch: 0,
            loaded: None,
            staged: None,
            group: None,
            unresponsive: false,
            draining: false,
            listed: true,
            events: 12,
            running: 0,
            cancelled: None,
            executed: Vec::new(),
            crash: Arc::clone(&server.crash),
        };
        self.lock().insert(id.to_owned(), state);
        self.forget_statements(id);
        self.register(id);
        Ok(SiteEngine {
            id: id.to_owned(),
            server,
        })
    }

    pub(super) fn register(&self, id: &str) {
        let row = self.with(id, |engine| {
            let mut row = describe(engine);
            row["service"] = json!("assistant");
            row["address"] = json!(engine.address);
            row["zone"] = json!(engine.zone);
            row["version"] = json!("v1");
            row["slots"] = json!(ENGINE_SLOTS);
            row["state"] = json!(if engine.draining { "draining" } else { "ready" });
            row
        });
        if let Some(mut row) = row {
            let left = self.cold_left(id);
            row["cold_remaining_ms"] = json!(left.as_secs_f64() * 1000.0);
            self.store.put("servers", id, row.to_string().as_bytes());
        }
    }

    /// Updates the registry entry of an engine that is listed.
    pub(super) fn refresh_entry(&self, id: &str) {
        let held = self.entries_held.load(Ordering::Relaxed);
        if !held && self.with(id, |engine| engine.listed) == Some(true) {
            self.register(id);
        }
    }

    async fn handle(&self, id: &str, request: SiteRequest) -> SiteResponse {
        let unresponsive = self.with(id, |engine| engine.unresponsive).unwrap_or(true);
        if unresponsive {
            std::future::pending::<()>().await;
        }
        let request_id = request.header("x-request-id").to_owned();
        let mut response = self.answer(id, request).await;
        // Engines name the request in each response, also in those to what they did not run.
        if let Ok(value) = HeaderValue::from_str(&request_id)
            && !request_id.is_empty()
        {
            response.headers_mut().insert("x-request-id", value);
        }
        response
    }

    async fn answer(&self, id: &str, request: SiteRequest) -> SiteResponse {
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != id {
            return not_executed(StatusCode::MISDIRECTED_REQUEST);
        }
        let rejection_delay = self.rejection_delay(id);
        let mut response = self.respond(id, &request);
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            tokio::time::sleep(rejection_delay).await;
        }
        if self.is_leaving(id) {
            let headers = response.headers_mut();
            headers.insert("server-leaving", HeaderValue::from_static("1"));
            self.arrivals
                .record_leaving(id, request.header("x-request-id"));
        }
        response
    }

    fn respond(&self, id: &str, request: &SiteRequest) -> SiteResponse {
        if matches!(request.path.as_str(), "/report" | "/order") {
            self.arrivals.record_call(id);
        }
        match request.path.as_str() {
            "/report" => {
                self.reports.fetch_add(1, Ordering::Relaxed);
                let report = self.with(id, |engine| {
                    let mut report = describe(engine);
                    report["sequence"] = json!(engine.orders);
                    report
                });
                json_response(&report.unwrap_or_default())
            }
            "/order" => self.order(id, request),
            _ => self.generate(id, request),
        }
    }

    fn generate(&self, id: &str, request: &SiteRequest) -> SiteResponse {
        self.arrivals
            .record_arrival(id, request.header("x-request-id"));
        if let Some(backoff) = self.backoff(id) {
            self.arrivals
                .record_backoff(id, request.header("x-request-id"), backoff);
            let mut response = not_executed(StatusCode::SERVICE_UNAVAILABLE);
            if let Ok(value) = HeaderValue::from_str(&backoff.as_secs_f64().to_string()) {
                response.headers_mut().insert("retry-after", value);
            }
            if self.tells_load.load(Ordering::Relaxed) {
                // What it runs is no more than before.
                let load = HeaderValue::from_static("0,0,8");
                response.headers_mut().insert("x-server-load", load);
            }
            return response;
        }
        if let Some(text) = self.delay_text(id) {
            let mut response = not_executed(StatusCode::SERVICE_UNAVAILABLE);
            let delay = HeaderValue::from_static(text);
            response.headers_mut().insert("retry-after", delay);
            return response;
        }
        if self.rejects.load(Ordering::Relaxed) {
            return not_executed(StatusCode::SERVICE_UNAVAILABLE);
        }
        let group = self.with(id, |engine| engine.group.clone()).flatten();
        let open = group.filter(|group| group.rank == 0 && group.state == "open");
        let Some(group) = open else {
            return not_executed(StatusCode::MISDIRECTED_REQUEST);
        };
        if !self.is_complete(&group)
            && group
                .members
                .iter()
                .any(|member| self.is_in_other_group(member, &group))
        {
            self.record_violation(format!(
                "{} accepted a request while one of its hosts was in another group",
                group.name
            ));
        }
        let request_id = request.header("x-request-id").to_owned();
        self.with(id, |engine| {
            engine.executed.push(request_id.clone());
            engine.running += 1;
        });
        let running = self.with(id, |engine| engine.running).unwrap_or(0);
        let last_event_id: usize = request.header("last-event-id").parse().unwrap_or(0);
        let events = self.with(id, |engine| engine.events).unwrap_or(0);
        let ending = if self.unframed.load(Ordering::Relaxed) {
            StreamEnding::WithConnection
        } else {
            StreamEnding::Framed
        };
        let stream_run = StreamRun {
            groups: self.clone(),
            id: id.to_owned(),
            group,
            next: last_event_id + 1,
            last: events,
            crashes_engine: contains(&request.body, CRASH_BODY) || has_crash_part(request),
            started: false,
            ending,
        };
        let frames = stream::unfold(stream_run, |mut stream_run| async move {
            let frame = stream_run.event().await?;
            Some((frame, stream_run))
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        if ending == StreamEnding::WithConnection {
            *response.version_mut() = Version::HTTP_10;
        }
        let headers = response.headers_mut();
        headers.insert(
            "content-type",
            HeaderValue::from_static("text/event-stream"),
        );
        headers.insert("x-response-signature", HeaderValue::from_static("signed"));
        if self.tells_load.load(Ordering::Relaxed)
            && let Ok(value) = HeaderValue::from_str(&format!("{running},0,{ENGINE_SLOTS}"))
        {
            headers.insert("x-server-load", value);
        }
        if let Some(limit) = self.limit(id)
            && let Ok(value) = HeaderValue::from_str(&limit.to_string())
        {
            headers.insert("server-limit", value);
        }
        response
    }
}

fn has_crash_part(request: &SiteRequest) -> bool {
    let parts = request.header("x-prompt-prefix").rsplit_once(',');
    let Some((shared, _own)) = parts else {
        return false;
    };
    let mut ids = shared.split(',').filter_map(|part| part.split_once(':'));
    ids.any(|(id, _tokens)| id == CRASH_PART)
}

pub(super) fn contains(body: &[u8], part: &[u8]) -> bool {
    body.windows(part.len()).any(|window| window == part)
}

fn describe(engine: &EngineState) -> Value {
    let models: Vec<Value> = engine
        .loaded
        .iter()
        .map(|name| json!({"name": name, "version": 1, "adapters": []}))
        .collect();
    let group = engine.group.as_ref().map(|group| {
        json!({"name": group.name, "epoch": group.epoch, "rank": group.rank, "state": group.state})
    });
    json!({
        "stage": "both", "models": models, "domain": engine.fabric, "born": engine.born,
        "staged": engine.staged.iter().collect::<Vec<_>>(), "group": group,
    })
}

fn not_executed(status: StatusCode) -> SiteResponse {
    let mut response = text_response(status, "");
    let headers = response.headers_mut();
    headers.insert("x-not-executed", HeaderValue::from_static("1"));
    response
}
