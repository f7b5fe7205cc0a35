//! Links between the nodes: `h2` streams that carry `bincode` digests.
//!
//! Each node makes a few links ([`choose`]) and keeps them ([`manage`]); on each it exchanges
//! digests about once a second and at once when a newer configuration is in force ([`link`],
//! [`listen`]). A digest holds only what the peer is not known to have ([`memory`], [`hub`]). So a
//! node's traffic grows with the members and replicas, and not with their square.

pub mod auth;
pub mod choose;
pub mod error;
pub mod evidence;
pub mod hub;
pub mod link;
pub mod listen;
pub mod manage;
pub mod memory;
pub mod settings;
pub mod traffic;

pub use auth::SharedKey;
pub use evidence::{EvidencePort, NoEvidence, TimedEvidence};
pub use hub::PeerHub;
pub use link::LinkParts;
pub use listen::accept_links;
pub use manage::keep_links;
pub use settings::PeerSettings;
pub use traffic::{PeerTraffic, TrafficCounts};
