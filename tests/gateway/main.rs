//! End-to-end tests of the gateway: the built binary against stand-ins of the users' platform,
//! one module a feature.

mod bad_input;
mod call;
mod crashing_request;
mod failed_requests;
mod kept_connection;
mod kit;
mod log_reader;
mod lost_hosts;
mod node;
mod operator_calls;
mod plain_calls;
mod prompt_hints;
mod restart_all;
mod stop_signal;
mod store_faults;
mod whole_path;

/// The built product.
const PRODUCT: &str = env!("CARGO_BIN_EXE_bramleyspring");
