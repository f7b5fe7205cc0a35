//! Calls of plain services, idempotent and not.

mod claimed;
mod idempotent;
mod instances;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use control::{CallLedger, ConfigView};
use domain::record::{CustomerRecord, ServiceCall, ServiceRecord};
use events::{EventCode, EventRecorder, EventSubject};
use http::{HeaderValue, header};
use platform::TableStore;
use target::service::ServiceRequest;
use target::{ServiceClient, ServiceResponse};
use web::WebResponse;
use web::body::full_body;
use wire::caller::ErrorCode;

use crate::error::RequestError;
use crate::headers::{idempotency_key, request_deadline};
use crate::request_head::RequestHead;
use crate::settings::EntrySettings;
use instances::InstancePool;

/// When to ask again for a call that failed or is not settled.
const CALL_RETRY_AFTER: Duration = Duration::from_secs(2);

/// When to come back while the store is down.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A call that a customer may make.
#[derive(Debug, Clone)]
pub struct ResolvedCall {
    /// Who calls.
    pub customer: CustomerRecord,
    /// The service.
    pub service: ServiceRecord,
    /// The call.
    pub call: ServiceCall,
    /// Whether no other customer may call the service, so that a key names one call there.
    pub sole_customer: bool,
}

/// Finds a call in the configuration.
///
/// # Errors
///
/// [`ErrorCode::NotFound`] or [`ErrorCode::NotGranted`], each with its place.
pub fn resolve_call(
    view: &ConfigView,
    customer: &CustomerRecord,
    name: &str,
    path: &str,
) -> Result<ResolvedCall, RequestError> {
    let unknown = || {
        let message = format!("there is no call {path:?} of a service {name:?}");
        RequestError::not_run(ErrorCode::NotFound, message).at("path")
    };
    let service = view
        .services
        .values()
        .find(|service| service.name.as_str() == name)
        .ok_or_else(unknown)?;
    if !customer.services.contains(&service.name) {
        let message = format!("the customer may not call {name:?}");
        return Err(RequestError::not_run(ErrorCode::NotGranted, message).at("path"));
    }
    let call = service
        .calls
        .iter()
        .find(|call| call.path == path)
        .ok_or_else(unknown)?;
    let callers = view
        .customers
        .values()
        .filter(|other| other.services.contains(&service.name));
    Ok(ResolvedCall {
        customer: customer.clone(),
        service: service.clone(),
        call: call.clone(),
        sole_customer: callers.count() == 1,
    })
}

/// Sends calls to plain services.
#[derive(Debug)]
pub struct ServiceDispatcher<T: TableStore, S> {
    ledger: CallLedger<T>,
    service: S,
    pool: InstancePool,
    recorder: EventRecorder,
    settings: Arc<EntrySettings>,
}

impl<T: TableStore, S: ServiceClient> ServiceDispatcher<T, S> {
    /// A dispatcher.
    #[must_use]
    pub fn new(
        ledger: CallLedger<T>,
        service: S,
        recorder: EventRecorder,
        settings: Arc<EntrySettings>,
    ) -> Self {
        Self {
            ledger,
            service,
            pool: InstancePool::default(),
            recorder,
            settings,
        }
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// [`RequestError`].
    pub async fn call(
        &self,
        found: ResolvedCall,
        caller: &RequestHead,
        body: Bytes,
    ) -> Result<WebResponse, RequestError> {
        let deadline = request_deadline(&caller.headers, &self.settings)?;
        let key = idempotency_key(&caller.headers)?;
        let order = ServiceRequest {
            path: format!("/{}", found.call.path),
            key: key.map(str::to_owned),
            customer: found.customer.name.clone(),
            content_type: caller.headers.get(header::CONTENT_TYPE).cloned(),
            body,
        };
        let run = PendingCall {
            request: caller.request.clone(),
            found,
            order,
            deadline,
        };
        self.note(EventCode::RequestAdmitted, &run, &run.order.path);
        let answered = if run.found.call.idempotent {
            self.call_idempotent(&run).await
        } else {
            let Some(key) = key else {
                let message = "this call may not be repeated: send an Idempotency-Key header";
                let error = RequestError::not_run(ErrorCode::KeyRequired, message);
                return Err(error.at("header idempotency-key"));
            };
            self.call_claimed(&run, key).await
        }?;
        self.note(EventCode::RequestAnswered, &run, answered.status().as_str());
        Ok(answered)
    }

    fn note(&self, code: EventCode, run: &PendingCall, detail: &str) {
        let subject = EventSubject::request(&run.request).and_customer(&run.found.customer.name);
        self.recorder.note(code, subject, detail);
    }
}

/// One call on its way.
#[derive(Debug)]
struct PendingCall {
    request: domain::RequestId,
    found: ResolvedCall,
    order: ServiceRequest,
    deadline: std::time::Instant,
}

impl PendingCall {
    fn left(&self) -> Duration {
        self.deadline
            .saturating_duration_since(std::time::Instant::now())
    }
}

fn no_instance(run: &PendingCall) -> RequestError {
    let message = format!("service {} has no instance", run.found.service.name);
    RequestError::not_run(ErrorCode::NoReplica, message).retry(CALL_RETRY_AFTER)
}

fn response_from_service(answer: &ServiceResponse) -> WebResponse {
    let mut out = http::Response::new(full_body(answer.body.clone()));
    *out.status_mut() = answer.status;
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        out.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    out
}
