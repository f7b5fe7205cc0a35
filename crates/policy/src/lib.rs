//! Decisions under load, without I/O, clocks or hidden randomness.
//!
//! Every time is a [`std::time::Duration`] since the node's start, on the node's own monotonic
//! clock. Randomness is an `Rng` or a seed that the caller passes in, so that each decision can
//! be replayed in a test.

pub mod admission;
pub mod capacity;
pub mod placement;
pub mod retry;
pub mod rollout;
pub mod service;
