//! Connections to targets through other nodes.
//!
//! A node that can't connect to a target asks another one ([`relays`]), which connects in its place and
//! passes bytes on ([`serve`]). Only the path of the connection differs ([`connect`]): the asking node
//! chooses the target, sends the request once, and judges the response as on a connection of its own.
//! A target is suspected only if no other node reaches it either, and only by nodes that reach others
//! ([`contact`]). Lost paths are checked until they
//! work again ([`checks`]). The other node is told what the target states in the response ([`statements`]).

mod checks;
mod connect;
mod connection;
mod contact;
mod relays;
mod serve;
mod state;
mod statements;

pub use checks::{check_lost_paths, watch_path};
pub use connect::connect_target;
pub use connection::{ConnectLimits, TargetConnection};
pub use contact::confirm_doubts;
pub use serve::serve_tunnel;
pub use state::{TunnelRelay, TunnelState};
pub use statements::{record_tunnel_statement, tell_relay};
