//! Protocol of plain HTTP services.
//!
//! Calls have the headers `Idempotency-Key` and `X-Customer`. `GET {lookup}/{key}`, also with
//! `X-Customer`, returns 200 with a [`LookupBody`] from any instance, whichever ran the call.
//! `GET /load` returns a [`ServiceLoad`].

use domain::CustomerId;
use serde::{Deserialize, Serialize};

/// Header with the idempotency key, which identifies a non-idempotent call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Maximum length of an idempotency key in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Header with the customer on whose behalf a call is made.
pub const CUSTOMER_HEADER: &str = "x-customer";

/// What a service knows about a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupBody {
    /// Idempotency key of the call.
    pub key: String,
    /// Customer that owns the key; omitted by services that don't separate the keys of customers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// How often the call was run.
    pub executions: u64,
    /// Response of the call; none if it did not run.
    #[serde(rename = "answer")]
    pub response: Option<serde_json::Value>,
}

/// Current load of a service instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Number of calls in progress.
    pub running: u32,
    /// Maximum number of concurrent calls.
    pub slots: u32,
}
