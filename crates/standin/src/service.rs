//! Stand-in for a plain service: licence records and payments, or a badge registry.
//!
//! It counts executions of every call by idempotency key, so that a test can detect lost and
//! duplicate payments. It does not deduplicate, because duplicate execution is the fault that the
//! tests look for.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use domain::CustomerId;
use eyre::WrapErr;
use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use web::{WebResponse, json_response, parse_json, text_response};
use wire::service::{CUSTOMER_HEADER, IDEMPOTENCY_KEY_HEADER, LookupBody, ServiceLoad};

use crate::faults::FaultInjector;
use crate::options::ServiceOptions;
use crate::serve::{StandinHandler, serve_standin};

const SLOTS: u32 = 64;

/// Runs the service.
///
/// # Errors
///
/// Returns an error if the execution log can't be opened or the address can't be bound.
pub async fn run(options: ServiceOptions) -> eyre::Result<()> {
    let faults = Arc::new(FaultInjector::default());
    let server = Arc::new(PlainService {
        log: Mutex::new(ExecutionLog::open(options.book.as_deref())?),
        faults: Arc::clone(&faults),
    });
    serve_standin("service", options.listen, server, faults).await
}

/// Request handler of one instance of the service.
#[derive(Debug)]
pub struct PlainService {
    log: Mutex<ExecutionLog>,
    faults: Arc<FaultInjector>,
}

/// Executions by key. Instances of one service share them through a file, as real ones share a
/// database, so that a lookup at one instance also returns what another one executed.
#[derive(Debug)]
struct ExecutionLog {
    file: Option<File>,
    offset: u64,
    entries: BTreeMap<CallId, LookupBody>,
}

/// Identifies a call; two customers may use the same key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct CallId {
    key: String,
    customer: Option<CustomerId>,
}

impl CallId {
    fn new(key: &str, request: &Request<Bytes>) -> Self {
        let customer = request
            .headers()
            .get(CUSTOMER_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|name| name.parse().ok());
        Self {
            key: key.to_owned(),
            customer,
        }
    }

    fn never_executed(&self) -> LookupBody {
        LookupBody {
            key: self.key.clone(),
            customer: self.customer.clone(),
            executions: 0,
            response: None,
        }
    }
}

impl ExecutionLog {
    fn open(path: Option<&Path>) -> eyre::Result<Self> {
        let file = match path {
            Some(path) => Some(
                OpenOptions::new()
                    .create(true)
                    .append(true)
                    .read(true)
                    .open(path)
                    .wrap_err_with(|| format!("can't open {}", path.display()))?,
            ),
            None => None,
        };
        Ok(Self {
            file,
            offset: 0,
            entries: BTreeMap::new(),
        })
    }

    /// Records one execution. Each line is a single write in append mode, so that the lines of
    /// concurrent instances don't interleave.
    fn record(&mut self, id: CallId, response: Value) -> std::io::Result<()> {
        let Some(file) = &mut self.file else {
            self.count(id, response);
            return Ok(());
        };
        let line = format!("{}\n", json!([id, response]));
        file.write_all(line.as_bytes())
    }

    fn count(&mut self, id: CallId, response: Value) {
        let initial = id.never_executed();
        let entry = self.entries.entry(id).or_insert(initial);
        entry.executions += 1;
        entry.response = Some(response);
    }

    /// Reads the lines that were appended, by this and other instances, since the last call.
    fn read_new_lines(&mut self) -> std::io::Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        let mut text = String::new();
        file.seek(SeekFrom::Start(self.offset))?;
        file.read_to_string(&mut text)?;
        let complete = text.rfind('\n').map_or(0, |end| end + 1);
        self.offset += complete as u64;
        for line in text[..complete].lines() {
            let Ok((id, response)) = serde_json::from_str::<(CallId, Value)>(line) else {
                continue;
            };
            self.count(id, response);
        }
        Ok(())
    }
}

fn storage_error(error: &std::io::Error) -> WebResponse {
    text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string())
}

impl PlainService {
    fn read_log<A>(&self, read: impl FnOnce(&ExecutionLog) -> A) -> std::io::Result<A> {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.read_new_lines()?;
        Ok(read(&log))
    }

    fn lookup(&self, id: &CallId) -> WebResponse {
        let found = self.read_log(|log| log.entries.get(id).cloned());
        match found {
            Ok(entry) => json_response(
                StatusCode::OK,
                &entry.unwrap_or_else(|| id.never_executed()),
            ),
            Err(error) => storage_error(&error),
        }
    }

    fn list(&self) -> WebResponse {
        match self.read_log(|log| log.entries.values().cloned().collect::<Vec<_>>()) {
            Ok(entries) => json_response(StatusCode::OK, &entries),
            Err(error) => storage_error(&error),
        }
    }

    fn execute(&self, path: &str, request: &Request<Bytes>) -> WebResponse {
        let key = request
            .headers()
            .get(IDEMPOTENCY_KEY_HEADER)
            .and_then(|value| value.to_str().ok());
        let input: Value = parse_json(request.body()).unwrap_or(Value::Null);
        let receipt = json!({ "call": path, "key": key, "input": input, "done": true });
        if let Some(key) = key {
            let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
            if let Err(error) = log.record(CallId::new(key, request), receipt.clone()) {
                return storage_error(&error);
            }
        }
        json_response(StatusCode::OK, &receipt)
    }

    fn load(&self) -> ServiceLoad {
        ServiceLoad {
            running: self.faults.running(),
            slots: SLOTS,
        }
    }
}

impl StandinHandler for PlainService {
    async fn handle(&self, request: Request<Bytes>) -> WebResponse {
        let path = request.uri().path().to_owned();
        if let Some(key) = path.strip_prefix("/executions/") {
            return self.lookup(&CallId::new(key, &request));
        }
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/load") => json_response(StatusCode::OK, &self.load()),
            (Method::GET, "/executions") => self.list(),
            (Method::POST, _) => self.execute(&path, &request),
            _ => text_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}
