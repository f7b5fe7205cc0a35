//! End-to-end tests: the built binaries as separate processes on loopback, one module a feature.

mod config_faults;
mod config_follow;
mod direct;
mod engine_load;
mod fault_switches;
mod host_list;
mod quickstart_keep;
mod stream_linger;
mod table_cut;
mod whole_path;

/// The built product.
const PRODUCT: &str = env!("CARGO_BIN_EXE_bramleyspring");
