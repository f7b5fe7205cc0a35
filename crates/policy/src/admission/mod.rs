//! Admission control: queueing, ordering and refusal of requests.
//!
//! There are two kinds of targets. Engines that run requests in the order of arrival are sent
//! hardly more than they can run, and [`AdmissionQueue`] orders the remaining requests at the
//! entry. Engines that queue by rank themselves are sent every request whose [`AdmissionClass`]
//! accepts the length of their queue.

mod class;
mod drain_rate;
mod fair_queue;
mod first_token;
mod lateness;
mod queue;
mod request;
mod retry_after;
mod shares;

pub use class::AdmissionClass;
pub use lateness::{UsualTimes, is_late};
pub use queue::AdmissionQueue;
pub use request::{AdmissionRequest, FinishedRequest, OfferOutcome, RefusalReason, RequestKey};
pub use shares::CustomerShares;
