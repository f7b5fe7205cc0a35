//! End-to-end tests: the built binary against a simulated platform, one module per feature.

mod bad_input;
mod crashing_request;
mod failed_requests;
mod kept_connection;
mod log_reader;
mod lost_hosts;
mod node;
mod operator_calls;
mod plain_calls;
mod prompt_hints;
mod request;
mod restart_all;
mod site;
mod stop_signal;
mod store_faults;
mod whole_path;

/// Path of the built binary.
const BINARY: &str = env!("CARGO_BIN_EXE_bramleyspring");
