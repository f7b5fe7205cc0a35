//! Non-idempotent calls: claimed, then sent once.
//!
//! A payment may leave the system once for each idempotency key. What could send it twice:
//!
//! * Two entries get the same key. Only the one whose claim was inserted sends; the other finds
//!   the claim.
//! * The claim's answer is lost. The ledger settles it before it gives leave, or gives none.
//! * The claimant is frozen between its claim and its send, for however long. Its claim stays, so
//!   nobody else sends for the key meanwhile, and nobody concludes from a look-up that shows no
//!   execution that the call was not run: the frozen claimant could still send it. When it goes on,
//!   it sends at most once, and not at all when the caller's deadline or the ticket's time has
//!   passed meanwhile.
//! * The connection breaks after the send. The call may have run, so it is never sent again; the
//!   claim stays until the service's own books, or the claimant, settle it.
//! * The client library sends a request again. Each call has a connection of its own and the
//!   client's retries are off.
//!
//! A connection that was never made proves that no byte left. The call is then tried at the next
//! instance under the same claim, and after the last one the claim is withdrawn.

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
use web::WebResponse;
use wire::caller::ErrorCode;

use super::{
    CALL_RETRY_AFTER, PendingCall, STORE_RETRY_AFTER, ServiceDispatcher, no_instance,
    response_from_service,
};
use crate::auth::sha256_hex;
use crate::error::RequestError;

/// Time that a claimant has to record an answer, besides the service's own.
const CLAIMANT_GRACE: Duration = Duration::from_secs(2);

/// What became of the one send.
enum SendOutcome {
    Answered(ServiceResponse),
    /// No byte left.
    Unsent(String),
    /// It may have run.
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
            .unwrap_or_else(|error| unreachable!("one id is as good as the other: {error}"));
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
                let message = "the idempotency key was used with another call or body";
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
            SendOutcome::Answered(answer) => {
                self.record_settled(
                    call,
                    self.ledger.settle(ticket, answered_state(&answer)).await,
                );
                Ok(response_from_service(&answer))
            }
            SendOutcome::Unsent(problem) => {
                let error = RequestError::not_run(ErrorCode::TargetFailed, problem);
                let error = error.with_retry_after(CALL_RETRY_AFTER);
                match self.ledger.settle(ticket, ClaimState::NotRun).await {
                    Ok(()) => self.record(EventCode::ClaimWithdrawn, call, ""),
                    // The call was not run and never will be under this claim; only its key stays
                    // taken until the ledger has written so.
                    Err(error) => self.record(EventCode::ClaimUnknown, call, &error.to_string()),
                }
                Err(error)
            }
            SendOutcome::Lost(problem) => {
                self.record(EventCode::ClaimUnknown, call, &problem);
                let error = RequestError::unknown(ErrorCode::TargetFailed, problem);
                Err(error.with_retry_after(CALL_RETRY_AFTER))
            }
        }
    }

    /// Sends a claimed call, to the first instance that can be connected to.
    async fn send_once(&self, call: &PendingCall, ticket: &ClaimTicket) -> SendOutcome {
        let addresses = &call.resolved.service.targets;
        let mut tried = FastSet::default();
        let mut problem = "no instance can be reached".to_owned();
        while let Some(address) = self.pool.choose(addresses, &tried) {
            tried.insert(address);
            if call.remaining().is_zero() || !ticket.is_fresh() {
                // Frozen or kept waiting for too long: the caller was told something else by now,
                // and the ledger may clean up settled rows that are far older than a ticket.
                self.pool
                    .record_ended(address, Duration::ZERO, CallOutcome::Answered);
                return SendOutcome::Unsent(
                    "the deadline passed before the call was sent".to_owned(),
                );
            }
            let started = Instant::now();
            self.record(EventCode::CallSent, call, &address.to_string());
            let limit = self.settings.call_timeout();
            let outcome = self.service.call(address, &call.request, limit).await;
            let ended = match &outcome {
                Ok(_) => CallOutcome::Answered,
                Err(_) => CallOutcome::Failed,
            };
            self.pool.record_ended(address, started.elapsed(), ended);
            match outcome {
                Ok(answer) => return SendOutcome::Answered(answer),
                Err(ServiceError::ResponseLost(error)) => {
                    self.record(EventCode::CallFailed, call, &format!("{address}: {error}"));
                    return SendOutcome::Lost(error.to_string());
                }
                Err(ServiceError::Unsent(error)) => {
                    self.record(EventCode::CallFailed, call, &format!("{address}: {error}"));
                    problem = error.to_string();
                }
            }
        }
        SendOutcome::Unsent(problem)
    }

    async fn resolve_existing_claim(
        &self,
        call: &PendingCall,
        key: &str,
        claim_key: &ClaimKey,
        claim: &CallClaim,
    ) -> Result<WebResponse, RequestError> {
        if let ClaimState::Answered {
            status,
            content_type,
            body,
        } = &claim.state
        {
            return Ok(response_from_service(&ServiceResponse {
                status: StatusCode::from_u16(*status).unwrap_or(StatusCode::OK),
                content_type: content_type.clone(),
                body: Bytes::from(body.clone()),
            }));
        }
        if let Some(answer) = self.look_up_execution(call, key).await {
            self.record(EventCode::ClaimFound, call, "");
            self.settle_later(claim_key, claim, answered_state(&answer));
            return Ok(response_from_service(&answer));
        }
        let message = "a call with this idempotency key may have run; it is not sent again. Ask \
                       again with the same key and body to learn of its outcome";
        let error = RequestError::unknown(ErrorCode::CallPending, message);
        Err(error.with_retry_after(CALL_RETRY_AFTER))
    }

    /// Settles a claim by the look-up, once a claimant that lives would have settled it itself.
    ///
    /// The claimant may be reading the service's answer at this moment. Its own receipt is the one
    /// to keep, or two requests with the same key would get different ones.
    fn settle_later(&self, claim_key: &ClaimKey, claim: &CallClaim, state: ClaimState) {
        let ledger = self.ledger.clone();
        let (claim_key, claim) = (claim_key.clone(), claim.clone());
        let wait = self.settings.call_timeout() + CLAIMANT_GRACE;
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            // When the store is down the next request with this key looks it up again.
            let settled = ledger.settle_from_lookup(&claim_key, &claim, state).await;
            log_skipped("settle claim", settled);
        });
    }

    /// The answer of a call that the service says it ran.
    ///
    /// A service that shows no execution proves nothing, since the call may still be on its way.
    /// Where several customers may call a service, their keys could be the same, and one would be
    /// told of the other's payment; the service's word counts then only when it names the customer.
    async fn look_up_execution(&self, call: &PendingCall, key: &str) -> Option<ServiceResponse> {
        let lookup = LookupRequest {
            path: call.resolved.call.lookup.clone()?,
            key: key.to_owned(),
            customer: call.resolved.customer.name.clone(),
        };
        let limit = self.settings.call_timeout().min(call.remaining());
        for address in &call.resolved.service.targets {
            let Ok(found) = self.service.lookup(*address, &lookup, limit).await else {
                continue;
            };
            let own = found.customer.as_ref() == Some(&lookup.customer);
            if found.executions == 0 || !own && !call.resolved.sole_customer {
                continue;
            }
            let answer = found.answer.unwrap_or(serde_json::Value::Null);
            return Some(ServiceResponse {
                status: StatusCode::OK,
                content_type: "application/json".to_owned(),
                body: Bytes::from(answer.to_string()),
            });
        }
        None
    }

    fn record_settled(&self, call: &PendingCall, settled: Result<(), StoreError>) {
        match settled {
            Ok(()) => self.record(EventCode::ClaimSettled, call, ""),
            Err(error) => {
                let detail = format!("answered, but not recorded: {error}");
                self.record(EventCode::ClaimUnknown, call, &detail);
            }
        }
    }
}

/// Hash of the whole call, so that a key that was used for another call is noticed too.
fn body_hash(call: &PendingCall) -> String {
    let mut bytes = call.request.path.clone().into_bytes();
    bytes.push(b'\n');
    bytes.extend_from_slice(&call.request.body);
    sha256_hex(&bytes)
}

fn answered_state(answer: &ServiceResponse) -> ClaimState {
    ClaimState::Answered {
        status: answer.status.as_u16(),
        content_type: answer.content_type.clone(),
        body: String::from_utf8_lossy(&answer.body).into_owned(),
    }
}

/// Nothing was sent without a claim, so the call was not run, whatever became of the claim.
fn store_error(error: &StoreError) -> RequestError {
    let after = match error {
        StoreError::Throttled { retry_after } => *retry_after,
        _ => STORE_RETRY_AFTER,
    };
    RequestError::not_run(ErrorCode::StoreUnavailable, error.to_string()).with_retry_after(after)
}
