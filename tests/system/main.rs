//! End-to-end tests: the built binaries as separate processes on loopback, one module a feature.

mod fault_switches;
mod whole_path;

/// The built product.
const PRODUCT: &str = env!("CARGO_BIN_EXE_bramleyspring");
