//! The admin API: records, status, events and metrics for operators.

pub mod access;
pub mod records;
pub mod server;

pub use access::OperatorKey;
pub use server::{AdminContext, AdminServer, StatusSource};
