//! Admission of requests: queueing, order and refusal.
//!
//! There are two kinds of targets. Engines that run what they are sent in the order of arrival get
//! hardly more than they can run, and [`AdmissionQueue`] orders the rest at the entry. Engines that
//! queue by rank themselves are sent every request that accepts their queue ([`AdmissionClass`]).

mod class;
mod drain;
mod first_token;
mod lane;
mod queue;
mod request;
mod shares;
mod spread;

pub use class::AdmissionClass;
pub use queue::AdmissionQueue;
pub use request::{AdmissionRequest, FinishedRequest, OfferOutcome, RefusalReason, RequestKey};
pub use shares::CustomerShares;
