//! Non-idempotent calls, such as payments: claimed in the ledger, then sent at most once.
//!
//! A call must be executed at most once per idempotency key. Possible causes of a second execution
//! and how each is prevented:
//!
//! * Two entries receive the same key. Only the one that inserted the claim sends the call; the
//!   other finds the claim.
//! * The response to the insertion is lost. The ledger resolves the outcome before it grants the
//!   claim, or does not grant it.
//! * The claimant is suspended between the claim and the send for any length of time. Its claim
//!   remains, so no other entry sends the call. No entry concludes that the call was not executed
//!   from a lookup without executions either, since the claimant may still send it. After it
//!   resumes, the claimant sends at most once, and not at all if the client's deadline or the
//!   validity of the ticket has expired meanwhile.
//! * The connection breaks after the request was sent. The call may have been executed and is never
//!   sent again. The claim remains until the claimant or the service's records settle it.
//! * The HTTP client retries on its own. Each call uses a new connection, and client retries are
//!   disabled.
//!
//! If a connection could not be established, nothing was sent. The call is then tried at the next
//! instance under the same claim; after the last instance, the claim is withdrawn.

use std::time::{Duration, Instant};

use bytes::Bytes;
use control::{ClaimKey, ClaimOutcome, ClaimTicket};
use domain::{AttemptId, CallClaim, ClaimState, FastSet};
use events::{EventCode, log_skipped};
use http::StatusCode;
use platform::{StoreError, TableStore};
use policy::service::CallOutcome;
use target::service::LookupRequest;
use target::{ServiceClient, ServiceError, ServiceResponse};
use web::{WebResponse, is_final_status};
use wire::client_api::ErrorCode;

use super::{
    CALL_RETRY_AFTER, PendingCall, STORE_RETRY_AFTER, ServiceDispatcher, no_instance,
    response_from_service,
};
use crate::auth::sha256_hex;
use crate::error::RequestError;

/// Time granted to a claimant for recording the response, in addition to the call timeout.
const CLAIMANT_GRACE: Duration = Duration::from_secs(2);

/// Outcome of sending a claimed call.
enum SendOutcome {
    Answered(ServiceResponse),
    /// Nothing was sent, so the call was not executed.
    Unsent(String),
    /// The response is missing; the call may have been executed.
    Lost(String),
}

impl<T: TableStore, S: ServiceClient> ServiceDispatcher<T, S> {
    pub(super) async fn call_claimed(
        &self,
        call: &PendingCall,
        key: &str,
    ) -> Result<WebResponse, RequestError> {
        if call.resolved.service.targets.is_empty() {
            return Err(no_instance(call));
        }
        let claim_key = ClaimKey {
            service: call.resolved.service.name.clone(),
            customer: call.resolved.customer.name.clone(),
            key_hash: sha256_hex(key.as_bytes()),
        };
        let attempt: AttemptId = call
            .request_id
            .as_str()
            .parse()
            .unwrap_or_else(|error| unreachable!("request ids are valid attempt ids: {error}"));
        let claimed = self
            .ledger
            .claim(claim_key.clone(), attempt, body_hash(call))
            .await
            .map_err(|error| store_error(&error))?;
        match claimed {
            ClaimOutcome::Granted(ticket) => {
                self.record(EventCode::ClaimGranted, call, "");
                self.send_claimed(call, ticket).await
            }
            ClaimOutcome::Existing(claim) => {
                self.resolve_existing_claim(call, key, &claim_key, &claim)
                    .await
            }
            ClaimOutcome::Reused => {
                let message = "the idempotency key was already used for another call or body";
                let error = RequestError::not_run(ErrorCode::KeyReused, message);
                Err(error.with_param("header idempotency-key"))
            }
        }
    }

    async fn send_claimed(
        &self,
        call: &PendingCall,
        ticket: ClaimTicket,
    ) -> Result<WebResponse, RequestError> {
        match self.send_once(call, &ticket).await {
            SendOutcome::Answered(response) => {
                self.record_settled(
                    call,
                    self.ledger.settle(ticket, answered_state(&response)).await,
                );
                Ok(response_from_service(&response))
            }
            SendOutcome::Unsent(last_error) => {
                let error = RequestError::not_run(ErrorCode::TargetFailed, last_error);
                let error = error.with_retry_after(CALL_RETRY_AFTER);
                match self.ledger.settle(ticket, ClaimState::NotRun).await {
                    Ok(()) => self.record(EventCode::ClaimWithdrawn, call, ""),
                    // The call was not executed and never will be under this claim. Only the key
                    // remains claimed until the ledger has recorded the withdrawal.
                    Err(error) => self.record(EventCode::ClaimUnknown, call, &error.to_string()),
                }
                Err(error)
            }
            SendOutcome::Lost(last_error) => {
                self.record(EventCode::ClaimUnknown, call, &last_error);
                let error = RequestError::unknown(ErrorCode::TargetFailed, last_error);
                Err(error.with_retry_after(CALL_RETRY_AFTER))
            }
        }
    }

    /// Sends a claimed call to the first instance that accepts a connection.
    async fn send_once(&self, call: &PendingCall, ticket: &ClaimTicket) -> SendOutcome {
        let addresses = &call.resolved.service.targets;
        let mut tried = FastSet::default();
        let mut last_error = "no instance is reachable".to_owned();
        while let Some(address) = self.pool.choose(addresses, &tried) {
            tried.insert(address);
            if call.remaining().is_zero() || !ticket.is_fresh() {
                // The entry was suspended or delayed for too long. The client has been told that
                // the outcome is unknown, and the ledger may remove settled claims that are much
                // older than a ticket.
                self.pool.record_unsent(address);
                return SendOutcome::Unsent(
                    "the deadline expired before the call was sent".to_owned(),
                );
            }
            let started = Instant::now();
            self.record(EventCode::CallSent, call, &address.to_string());
            let timeout = self.settings.call_timeout();
            let outcome = self.service.call(address, &call.request, timeout).await;
            let call_outcome = match &outcome {
                Ok(_) => CallOutcome::Responded,
                Err(_) => CallOutcome::Failed,
            };
            self.pool
                .record_ended(address, started.elapsed(), call_outcome);
            match outcome {
                Ok(response) => return SendOutcome::Answered(response),
                Err(ServiceError::ResponseLost(error)) => {
                    self.record(EventCode::CallFailed, call, &format!("{address}: {error}"));
                    return SendOutcome::Lost(error.to_string());
                }
                Err(ServiceError::Unsent(error)) => {
                    self.record(EventCode::CallFailed, call, &format!("{address}: {error}"));
                    last_error = error.to_string();
                }
            }
        }
        SendOutcome::Unsent(last_error)
    }

    async fn resolve_existing_claim(
        &self,
        call: &PendingCall,
        key: &str,
        claim_key: &ClaimKey,
        claim: &CallClaim,
    ) -> Result<WebResponse, RequestError> {
        if let Some(response) = recorded_response(&claim.state) {
            return Ok(response_from_service(&response));
        }
        if let Some(response) = self.look_up_execution(call, key).await {
            self.record(EventCode::ClaimFound, call, "");
            self.settle_later(claim_key, claim, answered_state(&response));
            return Ok(response_from_service(&response));
        }
        let message = "a call with this idempotency key may have been executed and is not sent \
                       again; repeat the request with the same key and body to query its outcome";
        let error = RequestError::unknown(ErrorCode::CallPending, message);
        Err(error.with_retry_after(CALL_RETRY_AFTER))
    }

    /// Settles a claim with the result of a lookup, after the time within which a live claimant
    /// would have settled it.
    ///
    /// The claimant may be reading the service's response at this moment. Its response takes
    /// precedence; otherwise two requests with the same key would get different responses.
    fn settle_later(&self, claim_key: &ClaimKey, claim: &CallClaim, state: ClaimState) {
        let ledger = self.ledger.clone();
        let (claim_key, claim) = (claim_key.clone(), claim.clone());
        let delay = self.settings.call_timeout() + CLAIMANT_GRACE;
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // If the store is unavailable, the next request with this key repeats the lookup.
            let settled = ledger.settle_from_lookup(&claim_key, &claim, state).await;
            log_skipped("settle claim", settled);
        });
    }

    /// Returns the response of a call that the service reports as executed.
    ///
    /// A lookup without executions proves nothing, since the call may still be on its way. If
    /// several customers may call the service, they may use the same key, and one would be told of
    /// the other's payment. In that case the result only counts if the service names the customer.
    async fn look_up_execution(&self, call: &PendingCall, key: &str) -> Option<ServiceResponse> {
        let lookup = LookupRequest {
            path: call.resolved.call.lookup.clone()?,
            key: key.to_owned(),
            customer: call.resolved.customer.name.clone(),
        };
        let timeout = self.settings.call_timeout().min(call.remaining());
        for address in &call.resolved.service.targets {
            let Ok(found) = self.service.lookup(*address, &lookup, timeout).await else {
                continue;
            };
            let is_own = found.customer.as_ref() == Some(&lookup.customer);
            if found.executions == 0 || !is_own && !call.resolved.sole_customer {
                continue;
            }
            let response = found.response.unwrap_or(serde_json::Value::Null);
            return Some(ServiceResponse {
                status: StatusCode::OK,
                content_type: "application/json".to_owned(),
                body: Bytes::from(response.to_string()),
            });
        }
        None
    }

    fn record_settled(&self, call: &PendingCall, settled: Result<(), StoreError>) {
        match settled {
            Ok(()) => self.record(EventCode::ClaimSettled, call, ""),
            Err(error) => {
                let detail = format!("response received but not recorded: {error}");
                self.record(EventCode::ClaimUnknown, call, &detail);
            }
        }
    }
}

/// Returns a hash of path and body, to detect a key that is reused for another call.
fn body_hash(call: &PendingCall) -> String {
    let mut bytes = call.request.path.clone().into_bytes();
    bytes.push(b'\n');
    bytes.extend_from_slice(&call.request.body);
    sha256_hex(&bytes)
}

/// The response that a claim was settled with; `None` if there is none, or if its status is none of an answer, so that
/// nothing is known of how the call ended.
fn recorded_response(state: &ClaimState) -> Option<ServiceResponse> {
    let ClaimState::Answered {
        status,
        content_type,
        body,
    } = state
    else {
        return None;
    };
    let status = StatusCode::from_u16(*status).ok();
    Some(ServiceResponse {
        status: status.filter(|status| is_final_status(*status))?,
        content_type: content_type.clone(),
        body: Bytes::from(body.clone()),
    })
}

fn answered_state(response: &ServiceResponse) -> ClaimState {
    ClaimState::Answered {
        status: response.status.as_u16(),
        content_type: response.content_type.clone(),
        body: String::from_utf8_lossy(&response.body).into_owned(),
    }
}

/// Nothing is sent without a claim, so the call was not executed regardless of whether the claim
/// was inserted.
fn store_error(error: &StoreError) -> RequestError {
    let after = match error {
        StoreError::Throttled { retry_after } => *retry_after,
        _ => STORE_RETRY_AFTER,
    };
    RequestError::not_run(ErrorCode::StoreUnavailable, error.to_string()).with_retry_after(after)
}
