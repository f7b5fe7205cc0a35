//! Links between the nodes: `h2` streams that carry `bincode` digests.
//!
//! Each node makes a few links ([`select`]) and keeps them ([`manage`]); on each it exchanges
//! digests about once a second and at once when a newer configuration is in force ([`link`],
//! [`listen`]). A digest holds only what the peer is not known to have ([`peer_view`], [`gossip`]). So a
//! node's traffic grows with the members and replicas, and not with their square.

pub mod auth;
pub mod error;
pub mod evidence;
pub mod gossip;
pub mod link;
pub mod listen;
pub mod manage;
pub mod peer_view;
pub mod select;
pub mod settings;
pub mod traffic;

pub use auth::SharedKey;
pub use evidence::{EvidenceExchange, NoEvidence, TimedEvidence};
pub use gossip::GossipState;
pub use link::LinkContext;
pub use listen::accept_links;
pub use manage::maintain_links;
pub use settings::PeerSettings;
pub use traffic::{PeerTraffic, TrafficCounts};
