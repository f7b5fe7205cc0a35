//! Idempotent calls: retried on other instances within the retry budget.

use std::time::Instant;

use domain::FastSet;
use events::EventCode;
use http::StatusCode;
use platform::TableStore;
use policy::retry::RetryDecision;
use policy::service::CallOutcome;
use target::{ServiceClient, ServiceError, ServiceResponse};
use web::WebResponse;
use wire::client_api::ErrorCode;

use super::{CALL_RETRY_AFTER, PendingCall, ServiceDispatcher, no_instance, response_from_service};
use crate::error::RequestError;

/// Returns whether a response indicates a failure of the instance, so that another one may succeed.
fn is_instance_failure(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

impl<T: TableStore, S: ServiceClient> ServiceDispatcher<T, S> {
    /// Sends an idempotent call, retrying on other instances.
    ///
    /// A lookup must not fail because one of three instances is down. The retry budget keeps a
    /// service that fails entirely from receiving a multiple of its load.
    pub(super) async fn call_idempotent(
        &self,
        call: &PendingCall,
    ) -> Result<WebResponse, RequestError> {
        let addresses = &call.resolved.service.targets;
        let mut tried = FastSet::default();
        let mut may_have_run = false;
        let mut number = 0;
        loop {
            if tried.len() == addresses.len() {
                tried.clear();
            }
            let address = self
                .pool
                .choose(addresses, &tried)
                .ok_or_else(|| no_instance(call))?;
            tried.insert(address);
            number += 1;
            let started = Instant::now();
            let timeout = self.settings.call_timeout().min(call.remaining());
            self.record(EventCode::CallSent, call, &address.to_string());
            let outcome = self.service.call(address, &call.request, timeout).await;
            let call_outcome = match &outcome {
                Ok(response) if !is_instance_failure(response.status) => CallOutcome::Responded,
                Ok(_) | Err(_) => CallOutcome::Failed,
            };
            self.pool
                .record_ended(address, started.elapsed(), call_outcome);
            if let (Ok(response), CallOutcome::Responded) = (&outcome, call_outcome) {
                return Ok(response_from_service(response));
            }
            may_have_run |= !matches!(&outcome, Err(ServiceError::Unsent(_)));
            let detail = match &outcome {
                Ok(response) => format!("{address}: status {}", response.status),
                Err(error) => format!("{address}: {error}"),
            };
            self.record(EventCode::CallFailed, call, &detail);
            match self.pool.decide(number, call.deadline) {
                RetryDecision::Retry { wait } => tokio::time::sleep(wait).await,
                RetryDecision::GiveUp(_) => return final_response(outcome, may_have_run),
            }
        }
    }
}

fn final_response(
    outcome: Result<ServiceResponse, ServiceError>,
    may_have_run: bool,
) -> Result<WebResponse, RequestError> {
    let error = match outcome {
        Ok(response) => return Ok(response_from_service(&response)),
        Err(error) => error,
    };
    let error = RequestError::not_run(ErrorCode::TargetFailed, error.to_string());
    let error = error.with_retry_after(CALL_RETRY_AFTER);
    Err(if may_have_run {
        error.with_unknown_execution()
    } else {
        error
    })
}
