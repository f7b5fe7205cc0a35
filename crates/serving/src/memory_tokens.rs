//! Requests whose tokens exceed the memory of a replica, which crashes if they reach it.

use std::fmt;

/// A request that no replica of its service can hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTooLarge {
    /// Prompt tokens and maximum output tokens of the request.
    pub tokens: u64,
    /// Tokens that a replica holds in memory.
    pub capacity: u64,
}

impl fmt::Display for RequestTooLarge {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "request needs {} tokens, a replica holds {}",
            self.tokens, self.capacity
        )
    }
}

/// Checks that a request of `tokens` fits into a replica by itself; `capacity` is `None` if the service
/// states none.
///
/// # Errors
///
/// [`RequestTooLarge`] if it does not.
pub fn check_size(tokens: u64, capacity: Option<u64>) -> Result<(), RequestTooLarge> {
    match capacity {
        Some(capacity) if tokens > capacity => Err(RequestTooLarge { tokens, capacity }),
        _ => Ok(()),
    }
}

/// Whether a request of `tokens` fits into a replica that runs requests of `running` tokens.
#[must_use]
pub fn fits_beside(tokens: u64, running: u64, capacity: Option<u64>) -> bool {
    capacity.is_none_or(|capacity| running.saturating_add(tokens) <= capacity)
}
