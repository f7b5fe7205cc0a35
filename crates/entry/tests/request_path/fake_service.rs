//! A plain service that counts its executions.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use target::service::{LookupRequest, ServiceRequest};
use target::{ServiceClient, ServiceError, ServiceResponse};
use web::ClientError;
use wire::service::{LookupBody, ServiceLoad};

/// Behavior of the service for one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceBehavior {
    /// Executes the call, but the response is lost.
    LoseResponse,
    /// The connection breaks before the call is executed.
    BreakBeforeExecution,
    /// Executes the call and responds with this status.
    Responds(StatusCode),
    /// The service refuses connections.
    Unreachable,
}

/// A plain service. Without a script it executes calls and responds.
#[derive(Debug, Clone, Default)]
pub struct FakeService {
    inner: Arc<Mutex<ServiceLog>>,
}

#[derive(Debug, Default)]
struct ServiceLog {
    behaviors: VecDeque<ServiceBehavior>,
    send_count: usize,
    lookup_count: usize,
    executions: Vec<(String, String)>,
}

impl FakeService {
    fn log(&self) -> std::sync::MutexGuard<'_, ServiceLog> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues the behaviors for the next calls, one each.
    pub fn script(&self, behaviors: &[ServiceBehavior]) {
        self.log().behaviors.extend(behaviors);
    }

    /// Returns the number of calls that were sent to the service.
    pub fn send_count(&self) -> usize {
        self.log().send_count
    }

    /// Returns the number of lookups.
    pub fn lookup_count(&self) -> usize {
        self.log().lookup_count
    }

    /// Returns the number of executions for a customer's key.
    pub fn execution_count(&self, customer: &str, key: &str) -> usize {
        let wanted = (customer.to_owned(), key.to_owned());
        let log = self.log();
        log.executions
            .iter()
            .filter(|execution| **execution == wanted)
            .count()
    }
}

impl ServiceClient for FakeService {
    async fn call(
        &self,
        address: SocketAddr,
        request: &ServiceRequest,
        _: Duration,
    ) -> Result<ServiceResponse, ServiceError> {
        let mut log = self.log();
        let behavior = log.behaviors.pop_front();
        if behavior == Some(ServiceBehavior::Unreachable) {
            return Err(ServiceError::Unsent(ClientError::NotConnected(address)));
        }
        log.send_count += 1;
        let broken = ClientError::Broken(address, "reset".to_owned());
        if behavior == Some(ServiceBehavior::BreakBeforeExecution) {
            return Err(ServiceError::ResponseLost(broken));
        }
        let key = request.key.clone().unwrap_or_default();
        log.executions.push((request.customer.to_string(), key));
        if behavior == Some(ServiceBehavior::LoseResponse) {
            return Err(ServiceError::ResponseLost(broken));
        }
        let status = match behavior {
            Some(ServiceBehavior::Responds(status)) => status,
            _ => StatusCode::OK,
        };
        Ok(ServiceResponse {
            status,
            content_type: "text/plain".to_owned(),
            body: Bytes::from(format!("paid by {}", request.customer)),
        })
    }

    async fn lookup(
        &self,
        _: SocketAddr,
        lookup: &LookupRequest,
        _: Duration,
    ) -> Result<LookupBody, ClientError> {
        self.log().lookup_count += 1;
        let executions = self.execution_count(lookup.customer.as_str(), &lookup.key);
        Ok(LookupBody {
            key: lookup.key.clone(),
            customer: Some(lookup.customer.clone()),
            executions: executions as u64,
            response: Some(serde_json::json!("found")),
        })
    }

    async fn load(&self, address: SocketAddr, _: Duration) -> Result<ServiceLoad, ClientError> {
        Err(ClientError::NotConnected(address))
    }
}
