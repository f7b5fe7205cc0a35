//! End-to-end tests: the built binary against a simulated platform, one module per feature.

mod barred_before_write;
mod blocked_log;
mod cold_crashes;
mod cold_targets;
mod config_freshness;
mod config_history;
mod config_soak;
mod crash_soak;
mod crashing_parts;
mod endless_bytes;
mod evacuated_site;
mod evacuation;
mod evacuation_soak;
mod failure_diagnosis;
mod foreign_servers;
mod full_restart;
mod idle_connections;
mod invalid_input;
mod link_proxy;
mod load_hints;
mod lost_hosts;
mod node;
mod normal_operation;
mod operator_commands;
mod overload;
mod partition_soak;
mod partitioned_nodes;
mod plain_services;
mod poison_requests;
mod proved_answers;
mod refusal_cost;
mod refusal_makers;
mod regions;
mod request;
mod request_heads;
mod retry_totals;
mod send_barriers;
mod share_decisions;
mod shared_soak;
mod shutdown;
mod site;
mod slow_bodies;
mod slow_readers;
mod soak_client;
mod stated_backoff;
mod stated_drain;
mod stated_limits;
mod store_faults;
mod store_feed;

mod target_proxies;
mod tunnel_promises;
mod uneven_connections;
mod unframed_responses;

/// Path of the built binary.
const BINARY: &str = env!("CARGO_BIN_EXE_bramleyspring");
