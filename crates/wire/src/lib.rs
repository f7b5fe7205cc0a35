//! Wire types of every protocol, converted from and into the domain.

pub mod admin;
pub mod caller;
pub mod engine;
pub mod hostlist;
pub mod openai;
pub mod peer;
pub mod record;
pub mod service;
pub mod table;
