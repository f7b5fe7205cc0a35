//! Routes of the admin listener.

use control::amend::AmendError;
use control::history::{HistoryQuery, get_record, list_records, read_history};
use control::{ConfigView, amend_record};
use domain::record::RecordKind;
use domain::{FindingList, RecordSpec};
use events::{EventRecorder, NodeMetrics};
use http::{Method, StatusCode};
use platform::TableStore;
use web::{
    WebHandler, WebRequest, WebResponse, json_response, parse_json, query_value, read_body,
    text_response,
};
use wire::admin::{AmendAnswer, AmendBody, ChangeBody, NO_CALL, NO_RECORD, NodeStatus, RecordBody};

use crate::access::OperatorKey;
use crate::records::{
    amendment_from, answer_from, change_body, record_body, review_amendment, split_report,
};

/// Largest amendment, in bytes.
const MAX_AMEND_BYTES: usize = 1 << 20;

/// Changes in an answer that names no limit.
const DEFAULT_HISTORY: usize = 20;

/// Most changes in one answer.
const MAX_HISTORY: usize = 1_000;

/// What a node knows of itself.
pub trait StatusSource: Send + Sync + 'static {
    /// The status now.
    fn status(&self) -> NodeStatus;

    /// Why no amendment can be taken through this node now; none when it can.
    fn amend_unavailable_reason(&self) -> Option<String>;
}

/// What the listener works with.
#[derive(Debug)]
pub struct AdminContext<T, S> {
    /// The table.
    pub table: T,
    /// Status.
    pub source: S,
    /// Events.
    pub recorder: EventRecorder,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// The operators' key; without one only the metrics are served.
    pub key: Option<OperatorKey>,
}

/// The admin listener.
#[derive(Debug)]
pub struct AdminServer<T, S> {
    context: AdminContext<T, S>,
}

impl<T: TableStore, S: StatusSource> AdminServer<T, S> {
    /// A listener.
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
        let body: AmendBody = match parse_json(&bytes) {
            Ok(body) => body,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if let Some(reason) = self.context.source.amend_unavailable_reason() {
            return json_response(StatusCode::OK, &AmendAnswer::Unavailable { reason });
        }
        json_response(StatusCode::OK, &self.amended(body).await)
    }

    async fn amended(&self, body: AmendBody) -> AmendAnswer {
        let view = match self.stored_view().await {
            Ok(view) => view,
            Err(error) => return answer_from(Err(error), FindingList::default()),
        };
        let report = match review_amendment(&view, &body) {
            Ok(report) => report,
            Err(findings) => return AmendAnswer::Refused { findings },
        };
        let (errors, warnings) = split_report(report);
        if !errors.is_empty() {
            return AmendAnswer::Refused { findings: errors };
        }
        let amendment = amendment_from(body);
        answer_from(
            amend_record(&self.context.table, &amendment).await,
            warnings,
        )
    }

    /// The records as the table has them: what is in force here may lag behind the record that
    /// the operator wrote a moment ago, and a warning about its absence would be wrong.
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
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        match parts.as_slice() {
            ["records"] => {
                let kind = match parse_kind(query_value(query, "kind")) {
                    Ok(kind) => kind,
                    Err(problem) => return text_response(StatusCode::BAD_REQUEST, &problem),
                };
                let listed = list_records(&self.context.table, kind).await;
                let bodies = listed.map(|records| {
                    records
                        .into_iter()
                        .map(record_body)
                        .collect::<Vec<RecordBody>>()
                });
                table_answer(bodies)
            }
            ["records", kind, name] => {
                let kind = match kind.parse::<RecordKind>() {
                    Ok(kind) => kind,
                    Err(problem) => return text_response(StatusCode::BAD_REQUEST, &problem),
                };
                match get_record(&self.context.table, kind, name).await {
                    Ok(None) => text_response(StatusCode::NOT_FOUND, NO_RECORD),
                    found => table_answer(found.map(|stored| stored.map(record_body))),
                }
            }
            _ => text_response(StatusCode::NOT_FOUND, NO_CALL),
        }
    }

    async fn history(&self, query: &str) -> WebResponse {
        let kind = match parse_kind(query_value(query, "kind")) {
            Ok(kind) => kind,
            Err(problem) => return text_response(StatusCode::BAD_REQUEST, &problem),
        };
        let limit = query_value(query, "limit")
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEFAULT_HISTORY)
            .min(MAX_HISTORY);
        let name = query_value(query, "name").map(str::to_owned);
        let wanted = HistoryQuery {
            kind,
            name,
            before: None,
            limit,
        };
        let read = read_history(&self.context.table, &wanted).await;
        table_answer(read.map(|rows| {
            rows.into_iter()
                .map(change_body)
                .collect::<Vec<ChangeBody>>()
        }))
    }
}

fn table_answer<B: serde::Serialize>(read: Result<B, AmendError>) -> WebResponse {
    match read {
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
        let allowed = self
            .context
            .key
            .as_ref()
            .is_some_and(|key| key.allows(request.headers()));
        if !allowed {
            let problem = "send the operators' key: 'Authorization: Bearer <key>'";
            return text_response(StatusCode::UNAUTHORIZED, problem);
        }
        let query = request.uri().query().unwrap_or_default().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/amend") => self.amend(request).await,
            (Method::GET, "/status") => {
                json_response(StatusCode::OK, &self.context.source.status())
            }
            (Method::GET, "/events") => {
                json_response(StatusCode::OK, &self.context.recorder.recent())
            }
            (Method::GET, "/history") => self.history(&query).await,
            (Method::GET, _) if path.starts_with("/records") => self.records(&path, &query).await,
            _ => text_response(StatusCode::NOT_FOUND, NO_CALL),
        }
    }
}
