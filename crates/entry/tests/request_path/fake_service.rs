//! A plain service that counts what it runs.

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

/// What the service does with one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceScript {
    /// Runs it, and the answer is lost.
    LoseAnswer,
    /// The connection breaks before it is run.
    BreakUnrun,
    /// It can't be connected to.
    Unreached,
}

/// The service; without a script it runs and answers.
#[derive(Debug, Clone, Default)]
pub struct FakeService {
    inner: Arc<Mutex<ServiceBook>>,
}

#[derive(Debug, Default)]
struct ServiceBook {
    scripts: VecDeque<ServiceScript>,
    sends: usize,
    lookups: usize,
    runs: Vec<(String, String)>,
}

impl FakeService {
    fn book(&self) -> std::sync::MutexGuard<'_, ServiceBook> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the next calls go by these scripts, one each.
    pub fn script(&self, scripts: &[ServiceScript]) {
        self.book().scripts.extend(scripts);
    }

    /// Calls that left for the service.
    pub fn sends(&self) -> usize {
        self.book().sends
    }

    /// Look-ups that were asked.
    pub fn lookups(&self) -> usize {
        self.book().lookups
    }

    /// Times that a customer's key was run.
    pub fn runs(&self, customer: &str, key: &str) -> usize {
        let wanted = (customer.to_owned(), key.to_owned());
        let book = self.book();
        book.runs.iter().filter(|run| **run == wanted).count()
    }
}

impl ServiceClient for FakeService {
    async fn call(
        &self,
        address: SocketAddr,
        order: &ServiceRequest,
        _: Duration,
    ) -> Result<ServiceResponse, ServiceError> {
        let mut book = self.book();
        let script = book.scripts.pop_front();
        if script == Some(ServiceScript::Unreached) {
            return Err(ServiceError::Unsent(ClientError::NotConnected(address)));
        }
        book.sends += 1;
        let broken = ClientError::Broken(address, "reset".to_owned());
        if script == Some(ServiceScript::BreakUnrun) {
            return Err(ServiceError::ResponseLost(broken));
        }
        let key = order.key.clone().unwrap_or_default();
        book.runs.push((order.customer.to_string(), key));
        if script == Some(ServiceScript::LoseAnswer) {
            return Err(ServiceError::ResponseLost(broken));
        }
        Ok(ServiceResponse {
            status: StatusCode::OK,
            content_type: "text/plain".to_owned(),
            body: Bytes::from(format!("paid by {}", order.customer)),
        })
    }

    async fn lookup(
        &self,
        _: SocketAddr,
        lookup: &LookupRequest,
        _: Duration,
    ) -> Result<LookupBody, ClientError> {
        self.book().lookups += 1;
        let executions = self.runs(lookup.customer.as_str(), &lookup.key);
        Ok(LookupBody {
            key: lookup.key.clone(),
            customer: Some(lookup.customer.clone()),
            executions: executions as u64,
            answer: Some(serde_json::json!("found")),
        })
    }

    async fn load(&self, address: SocketAddr, _: Duration) -> Result<ServiceLoad, ClientError> {
        Err(ClientError::NotConnected(address))
    }
}
