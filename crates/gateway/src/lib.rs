//! Gateway process for a platform that has its own target registry and store: proxies client
//! requests to targets and reconciles the model replicas that serve them.
//!
//! Everything runs on one thread. `node::GatewayNode` holds the state, none of which is
//! persisted: configuration, targets and replicas are read from the store again after a restart.

mod accept;
mod admit;
mod admitted;
mod attempt_connection;
mod attempt_outcome;
mod attempts;
mod boot_clock;
mod buffered;
mod client_connection;
mod connection_path;
mod contradiction;
mod crash;
mod feed;
mod fingerprint;
mod handle;
mod head_lines;
mod head_room;
mod head_stream;
mod heartbeat;
mod held;
mod hint_channel;
mod hints;
mod identity;
mod in_flight;
mod lease_rows;
mod limited_target;
mod limits;
mod listen;
mod load_batches;
mod local_response;
mod memory_tokens;
mod metrics;
mod node;
mod order_tracker;
mod orders;
mod overload;
mod overload_state;
mod planned_order;
mod pool;
mod probe;
mod reconcile;
mod refusal;
mod refusal_maker;
mod relay;
mod respond;
mod restore;
mod retry_leases;
mod run;
mod send;
mod settings;
mod statements;
mod status;
mod target_response;
mod tunnel;
mod unreadable_rows;
mod usage;

pub use hint_channel::{HeadHint, HintReport, HostHash, LoadHint};
pub use run::run_gateway;
pub use settings::{GatewaySettings, is_gateway_file};
