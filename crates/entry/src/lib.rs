//! The request path from a caller to a target and back.

pub mod answer;
pub mod attempt;
pub mod auth;
pub mod call;
pub mod completion;
pub mod context;
pub mod digest;
pub mod dispatch;
pub mod failure;
pub mod frame;
pub mod headers;
pub mod models;
pub mod order;
pub mod progress;
pub mod routes;
pub mod server;
pub mod services;
pub mod settings;
pub mod shutdown;
pub mod sink;
pub mod standing;
pub mod timing;
pub mod token;

pub use context::{EntryContext, IdGenerator};
pub use dispatch::RequestDispatcher;
pub use server::EntryServer;
pub use settings::EntrySettings;
pub use shutdown::{ShutdownHandle, ShutdownPhase};
pub use token::TokenSigner;
