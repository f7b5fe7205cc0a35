//! Calls of plain services, idempotent and not.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use control::{CallLedger, ClaimKey, ClaimOutcome};
use domain::record::{CustomerRecord, ServiceCall, ServiceRecord};
use domain::{AttemptId, CallClaim, ClaimState, RequestId};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use platform::TableStore;
use target::service::ServiceCallOrder;
use target::{EnginePort, ServiceAnswer, ServiceError, ServicePort};
use web::WebAnswer;
use web::body::full_body;
use wire::caller::ErrorCode;
use wire::service::IDEMPOTENCY_HEADER;

use crate::caller::hex_hash;
use crate::failure::CallerFailure;
use crate::server::EntryParts;

/// Longest wait for a service's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// When to ask again for a call that is not settled.
const PENDING_RETRY: Duration = Duration::from_secs(2);

/// When to come back while the store is down.
const STORE_RETRY: Duration = Duration::from_secs(5);

/// One caller's call of a service.
#[derive(Debug)]
pub struct ServiceOrder<'view> {
    /// The request.
    pub request: RequestId,
    /// Who calls.
    pub customer: &'view CustomerRecord,
    /// The service.
    pub service: &'view ServiceRecord,
    /// The call.
    pub call: &'view ServiceCall,
    /// The request's headers.
    pub headers: HeaderMap,
    /// The request's body.
    pub body: Bytes,
}

/// Runs a call.
///
/// # Errors
///
/// [`CallerFailure`].
pub async fn run_call<E: EnginePort, T: TableStore, S: ServicePort>(
    _parts: &EntryParts<E>,
    ledger: &CallLedger<T>,
    service: &S,
    order: ServiceOrder<'_>,
) -> Result<WebAnswer, CallerFailure> {
    let key = order
        .headers
        .get(IDEMPOTENCY_HEADER)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let address =
        order.service.targets.first().copied().ok_or_else(|| {
            CallerFailure::not_run(ErrorCode::NoReplica, "the service has no target")
        })?;
    let call_order = ServiceCallOrder {
        path: format!("/{}", order.call.path),
        key: key.clone(),
        content_type: order.headers.get(header::CONTENT_TYPE).cloned(),
        body: order.body.clone(),
    };
    if order.call.idempotent {
        return run_idempotent(service, address, &call_order).await;
    }
    let Some(key) = key else {
        let message = "this call may not be repeated: send an Idempotency-Key header";
        let failure = CallerFailure::not_run(ErrorCode::KeyRequired, message);
        return Err(failure.at("header Idempotency-Key"));
    };
    run_claimed(ledger, service, address, &order, &call_order, &key).await
}

async fn run_idempotent<S: ServicePort>(
    service: &S,
    address: SocketAddr,
    order: &ServiceCallOrder,
) -> Result<WebAnswer, CallerFailure> {
    match service.call(address, order, CALL_TIMEOUT).await {
        Ok(answer) => Ok(answer_from_service(&answer)),
        Err(ServiceError::Unsent(error)) => Err(CallerFailure::not_run(
            ErrorCode::TargetFailed,
            error.to_string(),
        )
        .retry(PENDING_RETRY)),
        Err(ServiceError::AnswerLost(error)) => Err(CallerFailure::unknown(
            ErrorCode::TargetFailed,
            error.to_string(),
        )
        .retry(PENDING_RETRY)),
    }
}

async fn run_claimed<T: TableStore, S: ServicePort>(
    ledger: &CallLedger<T>,
    service: &S,
    address: SocketAddr,
    order: &ServiceOrder<'_>,
    call_order: &ServiceCallOrder,
    key: &str,
) -> Result<WebAnswer, CallerFailure> {
    let claim_key = ClaimKey {
        service: order.service.name.clone(),
        customer: order.customer.name.clone(),
        key_hash: hex_hash(key.as_bytes()),
    };
    let attempt: AttemptId = order
        .request
        .as_str()
        .parse()
        .map_err(|error: domain::IdError| {
            CallerFailure::not_run(ErrorCode::Internal, error.to_string())
        })?;
    let claimed = ledger
        .claim(claim_key, attempt, hex_hash(&order.body))
        .await;
    let ticket = match claimed {
        Ok(ClaimOutcome::Granted(ticket)) => ticket,
        Ok(ClaimOutcome::Existing(claim)) => return existing_answer(&claim),
        Ok(ClaimOutcome::Reused) => {
            let message = "the idempotency key was used with another body";
            let failure = CallerFailure::not_run(ErrorCode::KeyReused, message);
            return Err(failure.at("header Idempotency-Key"));
        }
        Err(error) => {
            let failure = CallerFailure::not_run(ErrorCode::StoreUnavailable, error.to_string());
            return Err(failure.retry(STORE_RETRY));
        }
    };
    match service.call(address, call_order, CALL_TIMEOUT).await {
        Ok(answer) => {
            let state = ClaimState::Answered {
                status: answer.status.as_u16(),
                content_type: answer.content_type.clone(),
                body: String::from_utf8_lossy(&answer.body).into_owned(),
            };
            let _ = ledger.settle(ticket, state).await;
            Ok(answer_from_service(&answer))
        }
        Err(ServiceError::Unsent(error)) => {
            let failure = match ledger.settle(ticket, ClaimState::NotRun).await {
                Ok(()) => CallerFailure::not_run(ErrorCode::TargetFailed, error.to_string()),
                Err(_) => CallerFailure::unknown(ErrorCode::TargetFailed, error.to_string()),
            };
            Err(failure.retry(PENDING_RETRY))
        }
        Err(ServiceError::AnswerLost(error)) => Err(CallerFailure::unknown(
            ErrorCode::TargetFailed,
            error.to_string(),
        )
        .retry(PENDING_RETRY)),
    }
}

fn existing_answer(claim: &CallClaim) -> Result<WebAnswer, CallerFailure> {
    match &claim.state {
        ClaimState::Answered {
            status,
            content_type,
            body,
        } => Ok(answer_from_service(&ServiceAnswer {
            status: StatusCode::from_u16(*status).unwrap_or(StatusCode::OK),
            content_type: content_type.clone(),
            body: Bytes::from(body.clone()),
        })),
        ClaimState::Claimed | ClaimState::NotRun => Err(CallerFailure::unknown(
            ErrorCode::CallPending,
            "a call with this idempotency key is not settled yet",
        )
        .retry(PENDING_RETRY)),
    }
}

fn answer_from_service(answer: &ServiceAnswer) -> WebAnswer {
    let mut out = http::Response::new(full_body(answer.body.clone()));
    *out.status_mut() = answer.status;
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        out.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    out
}
