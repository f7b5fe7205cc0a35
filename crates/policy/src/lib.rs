//! Decisions under load, without I/O, clocks or hidden randomness.
