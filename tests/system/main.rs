//! End-to-end tests: the built binaries run as separate processes on loopback, one module per
//! feature.

mod availability;
mod claim_batching;
mod config_faults;
mod config_propagation;
mod direct_engine;
mod engine_queue_and_cache;
mod engine_roles_and_faults;
mod engine_streams;
mod event_stream_client;
mod fault_injection;
mod graceful_shutdown;
mod host_draining;
mod host_list_delay;
mod lease_takeover;
mod loss_under_load;
mod lost_responses;
mod normal_operation;
mod operator_commands;
mod payment_stress;
mod probe_sharing;
mod quickstart;
mod replica_recovery;
mod rolling_update;
mod service_calls;
mod stream_failover;
mod stream_resume;
mod table_proxy;

/// Path of the built binary.
const BINARY: &str = env!("CARGO_BIN_EXE_bramleyspring");
