//! The request path from a caller to a target and back.

pub mod caller;
pub mod completion;
pub mod failure;
pub mod place;
pub mod server;
pub mod services;

pub use server::{EntryParts, EntryServer};
