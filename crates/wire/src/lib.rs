//! Wire formats of all protocols, and their conversion from and to domain types.

pub mod admin;
pub mod client_api;
pub mod engine;
pub mod feed;
pub mod hostlist;
pub mod openai;
pub mod packed;
pub mod peer;
pub mod record;
pub mod service;
pub mod table;
pub mod tunnel;
