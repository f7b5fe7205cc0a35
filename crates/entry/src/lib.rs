//! Request path of an entry: from a client request to a target and back.

pub mod attempt;
pub mod auth;
pub mod completion;
pub mod completion_handler;
pub mod context;
pub mod digest;
pub mod dispatch;
pub mod error;
pub mod formatter;
pub mod generation;
pub mod headers;
pub mod held_memory;
mod held_response;
pub mod latency;
pub mod models;
pub mod progress;
pub mod replica_health;
pub mod request_head;
pub mod routes;
pub mod server;
pub mod services;
pub mod settings;
pub mod shutdown;
pub mod sink;
pub mod token;

pub use context::{EntryContext, IdGenerator};
pub use dispatch::RequestDispatcher;
pub use server::EntryServer;
pub use settings::EntrySettings;
pub use shutdown::{ShutdownHandle, ShutdownPhase};
pub use token::TokenSigner;
