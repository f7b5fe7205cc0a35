//! Clients for model engines and plain services.

pub mod engine;
pub mod service;

pub use engine::{EngineClient, HttpEngineClient, OrderOutcome, StreamStart, TokenStream};
pub use service::{HttpServiceClient, ServiceClient, ServiceError, ServiceResponse};
