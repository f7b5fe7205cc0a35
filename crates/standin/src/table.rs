//! Stand-in for the transactional table. Rows are kept in memory behind one lock, which makes
//! every batch atomic.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use serde_json::Value;
use web::{WebResponse, json_response, parse_json, query_value, text_response};
use wire::table::{
    BatchCommitted, BatchConflict, BatchRequest, ChangeBody, ExpectBody, RowBody, ScanPage,
    WRITE_TOKEN_HEADER,
};

use crate::faults::FaultInjector;
use crate::options::TableOptions;
use crate::serve::{StandinHandler, serve_standin};

/// Serves the table until interrupted.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run(options: TableOptions) -> eyre::Result<()> {
    let server = Arc::new(TableServer::default());
    let faults = Arc::new(FaultInjector::default());
    serve_standin("table", options.listen, server, faults).await
}

/// Request handler of the table.
#[derive(Debug, Default)]
pub struct TableServer {
    rows: Mutex<TableRows>,
}

#[derive(Debug, Default)]
struct TableRows {
    version: u64,
    rows: BTreeMap<String, RowBody>,
}

impl TableRows {
    fn conflicts(&self, batch: &BatchRequest) -> Vec<RowBody> {
        let mut conflicts = Vec::new();
        for write in &batch.writes {
            let row = self.rows.get(&write.key);
            let matches = match write.expect {
                ExpectBody::Any => true,
                ExpectBody::Absent => row.is_none(),
                ExpectBody::Version { version } => row.is_some_and(|row| row.version == version),
            };
            if matches {
                continue;
            }
            conflicts.push(row.cloned().unwrap_or_else(|| absent_row(&write.key)));
        }
        conflicts
    }

    fn apply(&mut self, batch: BatchRequest) -> u64 {
        self.version += 1;
        for write in batch.writes {
            match write.change {
                ChangeBody::Check => {}
                ChangeBody::Delete => {
                    self.rows.remove(&write.key);
                }
                ChangeBody::Put { value } => {
                    let row = RowBody {
                        key: write.key.clone(),
                        version: self.version,
                        token: batch.token.clone(),
                        value,
                    };
                    self.rows.insert(write.key, row);
                }
            }
        }
        self.version
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> ScanPage {
        let start = if after.is_empty() {
            Bound::Included(prefix.to_owned())
        } else {
            Bound::Excluded(after.to_owned())
        };
        let mut rows = Vec::new();
        for (key, row) in self.rows.range((start, Bound::Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            if rows.len() == limit {
                return ScanPage { rows, more: true };
            }
            rows.push(row.clone());
        }
        ScanPage { rows, more: false }
    }
}

fn absent_row(key: &str) -> RowBody {
    RowBody {
        key: key.to_owned(),
        version: 0,
        token: String::new(),
        value: Value::Null,
    }
}

impl TableServer {
    fn lock(&self) -> MutexGuard<'_, TableRows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read_row(&self, key: &str, request: &Request<Bytes>) -> WebResponse {
        let store = self.lock();
        let Some(row) = store.rows.get(key) else {
            return text_response(StatusCode::NOT_FOUND, "no such row");
        };
        let etag = format!("\"{}\"", row.version);
        let known_etag = request.headers().get(header::IF_NONE_MATCH);
        if known_etag.is_some_and(|value| value.as_bytes() == etag.as_bytes()) {
            return text_response(StatusCode::NOT_MODIFIED, "");
        }
        let mut response = json_response(StatusCode::OK, &row.value);
        if let Ok(value) = HeaderValue::from_str(&etag) {
            response.headers_mut().insert(header::ETAG, value);
        }
        if let Ok(value) = HeaderValue::from_str(&row.token) {
            response.headers_mut().insert(WRITE_TOKEN_HEADER, value);
        }
        response
    }

    fn commit(&self, request: &Request<Bytes>) -> WebResponse {
        let batch: BatchRequest = match parse_json(request.body()) {
            Ok(batch) => batch,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let mut store = self.lock();
        let conflicts = store.conflicts(&batch);
        if conflicts.is_empty() {
            let version = store.apply(batch);
            return json_response(StatusCode::OK, &BatchCommitted { version });
        }
        json_response(
            StatusCode::PRECONDITION_FAILED,
            &BatchConflict { conflicts },
        )
    }

    fn scan(&self, query: &str) -> WebResponse {
        let prefix = query_value(query, "prefix").unwrap_or_default();
        let after = query_value(query, "after").unwrap_or_default();
        let limit = query_value(query, "limit")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1000);
        json_response(StatusCode::OK, &self.lock().scan(prefix, after, limit))
    }
}

impl StandinHandler for TableServer {
    async fn handle(&self, request: Request<Bytes>) -> WebResponse {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if let Some(key) = path.strip_prefix("/rows/")
            && method == Method::GET
        {
            return self.read_row(key, &request);
        }
        match (method, path.as_str()) {
            (Method::GET, "/scan") => self.scan(request.uri().query().unwrap_or_default()),
            (Method::POST, "/batch") => self.commit(&request),
            _ => text_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}
