//! Stand-in for a model engine on one host.
//!
//! [`batch`] defines one step of the batch, [`stream`] holds a stream and its reader, [`pool`] all
//! streams, [`cache`] the prefix cache and [`delayed_load`] the reported load. [`peers`] checks the
//! other hosts of the replica, [`loading`] loads weights and [`core`] connects these parts.

pub mod batch;
pub mod cache;
pub mod core;
pub mod delayed_load;
mod health;
pub mod loading;
pub mod peers;
pub mod pool;
pub mod stream;

use std::sync::Arc;

use bytes::Bytes;
use domain::{AttemptId, HostId};
use eyre::WrapErr;
use http::{Method, Request, StatusCode};
use web::{WebResponse, json_response, parse_json, query_value, text_response};
use wire::engine::ResumeRequest;

use crate::engine::core::EngineCore;
use crate::faults::FaultInjector;
use crate::options::EngineOptions;
use crate::serve::{StandinHandler, serve_standin};

/// Serves the engine until interrupted.
///
/// # Errors
///
/// Returns an error if the host name is invalid or the address can't be bound.
pub async fn run(options: EngineOptions) -> eyre::Result<()> {
    let host: HostId = options.host.parse().wrap_err("invalid --host")?;
    let listen = options.listen;
    let faults = Arc::new(FaultInjector::default());
    let core = Arc::new(EngineCore::new(host, options, Arc::clone(&faults)));
    tokio::spawn(core::run_batch(Arc::clone(&core)));
    tokio::spawn(peers::watch_peers(Arc::clone(&core)));
    let server = Arc::new(EngineServer { core });
    serve_standin("engine", listen, server, faults).await
}

/// Request handler of the engine.
#[derive(Debug)]
pub struct EngineServer {
    core: Arc<EngineCore>,
}

impl EngineServer {
    fn apply_order(&self, body: &[u8]) -> WebResponse {
        match parse_json(body) {
            Ok(order) => core::apply_order(&self.core, order),
            Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn start(&self, body: &[u8]) -> WebResponse {
        match parse_json(body) {
            Ok(request) => self.core.start(request),
            Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn handle_stream(&self, method: &Method, path: &str, body: &[u8]) -> WebResponse {
        let (name, resume) = match path.strip_suffix("/resume") {
            Some(name) => (name, true),
            None => (path, false),
        };
        let Ok(attempt) = name.parse::<AttemptId>() else {
            return text_response(StatusCode::NOT_FOUND, "no such stream");
        };
        if *method == Method::DELETE {
            self.core.cancel(&attempt);
            return text_response(StatusCode::OK, "");
        }
        if !resume || *method != Method::POST {
            return text_response(StatusCode::NOT_FOUND, "no such call");
        }
        match parse_json::<ResumeRequest>(body) {
            Ok(request) => self.core.resume(&attempt, request.from),
            Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn handle_kv(&self, method: &Method, name: &str, body: &[u8]) -> WebResponse {
        let Ok(attempt) = name.parse::<AttemptId>() else {
            return text_response(StatusCode::NOT_FOUND, "no such stream");
        };
        match *method {
            Method::GET => self.core.export_kv(&attempt),
            Method::PUT => self.core.import_kv(attempt, body),
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET or PUT"),
        }
    }
}

impl StandinHandler for EngineServer {
    async fn handle(&self, request: Request<Bytes>) -> WebResponse {
        let method = request.method().clone();
        let uri = request.uri().clone();
        let body = request.into_body();
        if let Some(path) = uri.path().strip_prefix("/streams/") {
            return self.handle_stream(&method, path, &body);
        }
        if let Some(name) = uri.path().strip_prefix("/kv/") {
            return self.handle_kv(&method, name, &body);
        }
        match (method, uri.path()) {
            (Method::GET, "/state") => json_response(StatusCode::OK, &self.core.state()),
            (Method::GET, "/cache/events") => {
                let after = query_value(uri.query().unwrap_or_default(), "after")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                json_response(StatusCode::OK, &self.core.cache_events(after))
            }
            (Method::POST, "/orders") => self.apply_order(&body),
            (Method::POST, "/streams") => self.start(&body),
            _ => text_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}
