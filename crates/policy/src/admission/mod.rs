//! Admission of requests to one model at one entry: queueing, order and refusal.

mod drain;
mod first_token;
mod lane;
mod queue;
mod request;
mod spread;

pub use queue::AdmissionQueue;
pub use request::{FinishedWork, OfferOutcome, RefusalReason, WaitKey, WaitingRequest};
