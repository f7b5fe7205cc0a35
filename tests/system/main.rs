//! End-to-end tests: the built binaries as separate processes on loopback, one module a feature.

mod claim_batches;
mod direct;
mod engine_load;
mod fault_switches;
mod host_leaving;
mod host_list;
mod host_loss;
mod host_missing;
mod lease_pause;
mod operator_client;
mod outage;
mod quickstart_keep;
mod stream_linger;
mod whole_path;

/// The built product.
const PRODUCT: &str = env!("CARGO_BIN_EXE_bramleyspring");
