//! Calls of plain services, both idempotent and non-idempotent.

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
use wire::client_api::ErrorCode;

use crate::error::RequestError;
use crate::headers::{idempotency_key, request_deadline};
use crate::request_head::RequestHead;
use crate::settings::EntrySettings;
use instances::InstancePool;

/// Retry delay for a call that failed or whose outcome is not known yet.
const CALL_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Retry delay while the store is unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A call that a customer has been granted.
#[derive(Debug, Clone)]
pub struct ResolvedCall {
    /// Customer that makes the call.
    pub customer: CustomerRecord,
    /// Service with the addresses of its instances.
    pub service: ServiceRecord,
    /// Configuration of the call.
    pub call: ServiceCall,
    /// Whether no other customer may call the service. Idempotency keys are then unambiguous there.
    pub sole_customer: bool,
}

/// Resolves a call and checks the customer's grants.
///
/// # Errors
///
/// [`ErrorCode::NotFound`] if the service has no such call, [`ErrorCode::NotGranted`] if the
/// customer may not call the service.
pub fn resolve_call(
    view: &ConfigView,
    customer: &CustomerRecord,
    name: &str,
    path: &str,
) -> Result<ResolvedCall, RequestError> {
    let unknown = || {
        let message = format!("call {path:?} of service {name:?} does not exist");
        RequestError::not_run(ErrorCode::NotFound, message).with_param("path")
    };
    let service = view
        .services
        .values()
        .find(|service| service.name.as_str() == name)
        .ok_or_else(unknown)?;
    if !customer.services.contains(&service.name) {
        let message = format!("the customer has no grant for service {name:?}");
        return Err(RequestError::not_run(ErrorCode::NotGranted, message).with_param("path"));
    }
    let call = service
        .calls
        .iter()
        .find(|call| call.path == path)
        .ok_or_else(unknown)?;
    let customers = view
        .customers
        .values()
        .filter(|other| other.services.contains(&service.name));
    Ok(ResolvedCall {
        customer: customer.clone(),
        service: service.clone(),
        call: call.clone(),
        sole_customer: customers.count() == 1,
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
    /// Creates a dispatcher without statistics of any instance.
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

    /// Executes a call within the client's timeout.
    ///
    /// # Errors
    ///
    /// [`RequestError`] that states whether the call was executed.
    pub async fn call(
        &self,
        resolved: ResolvedCall,
        head: &RequestHead,
        body: Bytes,
    ) -> Result<WebResponse, RequestError> {
        let deadline = request_deadline(&head.headers, &self.settings)?;
        let key = idempotency_key(&head.headers)?;
        let request = ServiceRequest {
            path: format!("/{}", resolved.call.path),
            key: key.map(str::to_owned),
            customer: resolved.customer.name.clone(),
            content_type: head.headers.get(header::CONTENT_TYPE).cloned(),
            body,
        };
        let call = PendingCall {
            request_id: head.id.clone(),
            resolved,
            request,
            deadline,
        };
        self.record(EventCode::RequestAdmitted, &call, &call.request.path);
        let response = if call.resolved.call.idempotent {
            self.call_idempotent(&call).await
        } else {
            let Some(key) = key else {
                let message = "this call is not idempotent: send an Idempotency-Key header";
                let error = RequestError::not_run(ErrorCode::KeyRequired, message);
                return Err(error.with_param("header idempotency-key"));
            };
            self.call_claimed(&call, key).await
        }?;
        self.record(
            EventCode::RequestAnswered,
            &call,
            response.status().as_str(),
        );
        Ok(response)
    }

    fn record(&self, code: EventCode, call: &PendingCall, detail: &str) {
        let subject =
            EventSubject::request(&call.request_id).with_customer(&call.resolved.customer.name);
        self.recorder.record(code, subject, detail);
    }
}

/// A call in progress.
#[derive(Debug)]
struct PendingCall {
    request_id: domain::RequestId,
    resolved: ResolvedCall,
    request: ServiceRequest,
    deadline: std::time::Instant,
}

impl PendingCall {
    fn remaining(&self) -> Duration {
        self.deadline
            .saturating_duration_since(std::time::Instant::now())
    }
}

fn no_instance(call: &PendingCall) -> RequestError {
    let message = format!("service {} has no instances", call.resolved.service.name);
    RequestError::not_run(ErrorCode::NoReplica, message).with_retry_after(CALL_RETRY_AFTER)
}

fn response_from_service(response: &ServiceResponse) -> WebResponse {
    let mut web_response = http::Response::new(full_body(response.body.clone()));
    *web_response.status_mut() = response.status;
    if let Ok(value) = HeaderValue::from_str(&response.content_type) {
        web_response
            .headers_mut()
            .insert(header::CONTENT_TYPE, value);
    }
    web_response
}
