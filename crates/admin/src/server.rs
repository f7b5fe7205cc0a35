//! HTTP routes of the admin API.

use std::io;

use control::amend::AmendError;
use control::history::{HistoryQuery, get_record, list_records, read_history};
use control::{ConfigView, amend_record};
use domain::record::RecordKind;
use domain::{FindingList, RecordSpec};
use events::{EventCode, EventRecorder, EventSubject, NodeMetrics};
use http::{Method, StatusCode};
use intake::PlaceReport;
use platform::TableStore;
use web::{
    WebHandler, WebRequest, WebResponse, json_response, parse_json, query_value, read_body,
    text_response,
};
use wire::admin::{
    AmendRequest, AmendResponse, ChangeBody, NodeStatus, PATH_NOT_FOUND, RECORD_NOT_FOUND,
    RecordBody,
};

use crate::access::OperatorKey;
use crate::records::{
    amendment_from, change_body, record_body, response_from, review_amendment, split_report,
};

/// Maximum size of an amendment's body, in bytes.
const MAX_AMEND_BYTES: usize = 1 << 20;

/// Number of changes in a history response if the request has no limit.
const DEFAULT_HISTORY_LIMIT: usize = 20;

/// Maximum number of changes in a history response.
const MAX_HISTORY_LIMIT: usize = 1_000;

/// Provides the status of the node.
pub trait StatusSource: Send + Sync + 'static {
    /// Returns the current status.
    fn status(&self) -> NodeStatus;

    /// Returns why this node can't accept amendments at the moment; none if it can.
    fn amend_unavailable_reason(&self) -> Option<String>;
}

/// Dependencies of an [`AdminServer`].
#[derive(Debug)]
pub struct AdminContext<T, S> {
    /// Table with the records and the change log.
    pub table: T,
    /// Source of the node's status.
    pub status_source: S,
    /// Recorder whose recent events are served.
    pub recorder: EventRecorder,
    /// Metrics of the node, served without authentication.
    pub metrics: NodeMetrics,
    /// The operators' key; without it only the metrics are served.
    pub key: Option<OperatorKey>,
}

/// Serves the admin API.
#[derive(Debug)]
pub struct AdminServer<T, S> {
    context: AdminContext<T, S>,
}

impl<T: TableStore, S: StatusSource> AdminServer<T, S> {
    /// Creates a server.
    #[must_use]
    pub fn new(context: AdminContext<T, S>) -> Self {
        Self { context }
    }

    fn metrics(&self) -> WebResponse {
        match self.context.metrics.text() {
            Ok(text) => text_response(StatusCode::OK, &text),
            Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    async fn amend(&self, request: WebRequest) -> WebResponse {
        let bytes = match read_body(request.into_body(), MAX_AMEND_BYTES).await {
            Ok(bytes) => bytes,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let body: AmendRequest = match parse_json(&bytes) {
            Ok(body) => body,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if let Some(reason) = self.context.status_source.amend_unavailable_reason() {
            return json_response(StatusCode::OK, &AmendResponse::Unavailable { reason });
        }
        json_response(StatusCode::OK, &self.review_and_amend(body).await)
    }

    async fn review_and_amend(&self, body: AmendRequest) -> AmendResponse {
        let view = match self.stored_view().await {
            Ok(view) => view,
            Err(error) => return response_from(Err(error), FindingList::default()),
        };
        let report = match review_amendment(&view, &body) {
            Ok(report) => report,
            Err(findings) => return AmendResponse::Refused { findings },
        };
        let (errors, warnings) = split_report(report);
        if !errors.is_empty() {
            return AmendResponse::Refused { findings: errors };
        }
        let amendment = amendment_from(body);
        response_from(
            amend_record(&self.context.table, &amendment).await,
            warnings,
        )
    }

    /// Reads the records from the table. The configuration in force on the node may lag behind a
    /// record that the operator has just written, so a review against it could report that as
    /// missing.
    async fn stored_view(&self) -> Result<ConfigView, AmendError> {
        let mut view = ConfigView::default();
        for stored in list_records(&self.context.table, None).await? {
            let Ok(record) = RecordSpec::try_from(stored.record) else {
                continue;
            };
            view.insert(record);
        }
        Ok(view)
    }

    async fn records(&self, path: &str, query: &str) -> WebResponse {
        let segments: Vec<&str> = path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect();
        match segments.as_slice() {
            ["records"] => {
                let kind = match parse_kind(query_value(query, "kind")) {
                    Ok(kind) => kind,
                    Err(problem) => return text_response(StatusCode::BAD_REQUEST, &problem),
                };
                let result = list_records(&self.context.table, kind).await;
                let bodies = result.map(|records| {
                    records
                        .into_iter()
                        .map(record_body)
                        .collect::<Vec<RecordBody>>()
                });
                read_response(bodies)
            }
            ["records", kind, name] => {
                let kind = match kind.parse::<RecordKind>() {
                    Ok(kind) => kind,
                    Err(problem) => return text_response(StatusCode::BAD_REQUEST, &problem),
                };
                match get_record(&self.context.table, kind, name).await {
                    Ok(None) => text_response(StatusCode::NOT_FOUND, RECORD_NOT_FOUND),
                    result => read_response(result.map(|stored| stored.map(record_body))),
                }
            }
            _ => text_response(StatusCode::NOT_FOUND, PATH_NOT_FOUND),
        }
    }

    async fn history(&self, query: &str) -> WebResponse {
        let kind = match parse_kind(query_value(query, "kind")) {
            Ok(kind) => kind,
            Err(problem) => return text_response(StatusCode::BAD_REQUEST, &problem),
        };
        let limit = query_value(query, "limit")
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_HISTORY_LIMIT)
            .min(MAX_HISTORY_LIMIT);
        let name = query_value(query, "name").map(str::to_owned);
        let query = HistoryQuery {
            kind,
            name,
            before: None,
            limit,
        };
        let result = read_history(&self.context.table, &query).await;
        read_response(result.map(|rows| {
            rows.into_iter()
                .map(change_body)
                .collect::<Vec<ChangeBody>>()
        }))
    }
}

/// Converts the result of a read from the table into a response.
fn read_response<B: serde::Serialize>(result: Result<B, AmendError>) -> WebResponse {
    match result {
        Ok(body) => json_response(StatusCode::OK, &body),
        Err(error) => text_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

fn parse_kind(text: Option<&str>) -> Result<Option<RecordKind>, String> {
    text.map(str::parse).transpose()
}

impl<T: TableStore, S: StatusSource> WebHandler for AdminServer<T, S> {
    async fn handle(&self, request: WebRequest) -> WebResponse {
        let path = request.uri().path().to_owned();
        if path == "/metrics" {
            return self.metrics();
        }
        let authenticated = self
            .context
            .key
            .as_ref()
            .is_some_and(|key| key.authenticates(request.headers()));
        if !authenticated {
            let problem =
                "the operators' key is missing or wrong: send 'Authorization: Bearer <key>'";
            return text_response(StatusCode::UNAUTHORIZED, problem);
        }
        let query = request.uri().query().unwrap_or_default().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/amend") => self.amend(request).await,
            (Method::GET, "/status") => {
                json_response(StatusCode::OK, &self.context.status_source.status())
            }
            (Method::GET, "/events") => {
                json_response(StatusCode::OK, &self.context.recorder.recent())
            }
            (Method::GET, "/history") => self.history(&query).await,
            (Method::GET, _) if path.starts_with("/records") => self.records(&path, &query).await,
            _ => text_response(StatusCode::NOT_FOUND, PATH_NOT_FOUND),
        }
    }

    fn refuse(&self) -> WebResponse {
        let problem = "as many requests are handled as may be at once: try again";
        text_response(StatusCode::SERVICE_UNAVAILABLE, problem)
    }

    fn record_displaced(&self, report: PlaceReport) {
        let detail = format!("admin address: {report}");
        let subject = EventSubject::default();
        let recorder = &self.context.recorder;
        recorder.record(EventCode::ConnectionsDisplaced, subject, detail);
    }

    fn record_accept_failure(&self, error: &io::Error) {
        let detail = format!("admin address: {error}");
        let subject = EventSubject::default();
        let recorder = &self.context.recorder;
        recorder.record(EventCode::AcceptFailed, subject, detail);
    }
}
