//! Load-dependent decisions, without I/O, clocks or hidden randomness.
//!
//! All times are [`std::time::Duration`]s since the node's start, on the node's own monotonic
//! clock. Randomness comes from an `Rng` or a seed that the caller passes in, so that every
//! decision can be reproduced in a test.

pub mod admission;
pub mod capacity;
pub mod placement;
pub mod retry;
pub mod rollout;
pub mod service;
