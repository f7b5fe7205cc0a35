//! The gateway: takes callers' requests on a platform that has a registry of targets and a store,
//! and cares for the replicas that serve them.
//!
//! One thread runs everything. What the gateway knows lives in [`node::GatewayNode`], and nothing
//! of it outlasts the process: configuration, targets and replicas are read from the store again.

mod admit;
mod answer;
mod care;
mod crash;
mod ends;
mod forward;
mod handle;
mod hints;
mod listen;
mod members;
mod metrics;
mod node;
mod orders;
mod pool;
mod probe;
mod relay;
mod run;
mod send;
mod settings;
mod usage;
mod watch;

pub use hints::{HostHash, LoadHint};
pub use run::run_gateway;
pub use settings::{GatewaySettings, is_gateway_file};
