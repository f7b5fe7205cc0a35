//! End-to-end tests: the built binaries as separate processes on loopback, one module a feature.

mod claim_batches;
mod config_faults;
mod config_follow;
mod direct;
mod engine_load;
mod engine_roles;
mod event_stream;
mod fault_switches;
mod graceful_stop;
mod host_leaving;
mod host_list;
mod host_loss;
mod host_missing;
mod lease_pause;
mod operator_client;
mod outage;
mod payment_storm;
mod quickstart_keep;
mod service_calls;
mod stream_failover;
mod stream_linger;
mod stream_resume;
mod table_cut;
mod version_change;
mod watch_share;
mod whole_path;

/// The built product.
const PRODUCT: &str = env!("CARGO_BIN_EXE_bramleyspring");
