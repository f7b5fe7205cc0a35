//! Protocol of a plain service: calls below its address, by path.
//!
//! A call carries `Idempotency-Key` and `X-Customer`; a look-up is `GET {lookup}/{key}`, with
//! `X-Customer` too: 200 with a [`LookupBody`], whichever instance of the service ran the call.
//! Reported load stands at `GET /load`.

use domain::CustomerId;
use serde::{Deserialize, Serialize};

/// Header that names a non-idempotent call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Header that names the customer on whose behalf a call is made.
pub const CUSTOMER_HEADER: &str = "x-customer";

/// What a service knows of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupBody {
    /// The idempotency key.
    pub key: String,
    /// Whose key it is; a service that does not tell the keys of customers apart leaves it out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// Times that the call was run.
    pub executions: u64,
    /// Its answer, when it ran.
    pub answer: Option<serde_json::Value>,
}

/// Load of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Calls that run now.
    pub running: u32,
    /// Most calls at once.
    pub slots: u32,
}
