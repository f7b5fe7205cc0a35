//! Clients of model engines and plain services.

pub mod engine;
pub mod service;

pub use engine::{EnginePort, HttpEngine, OrderOutcome, StreamStart, TokenStream};
pub use service::{HttpService, ServiceError, ServicePort, ServiceResponse};
