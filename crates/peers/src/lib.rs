//! Gossip between the nodes: links over HTTP/2 that carry `bincode` digests.
//!
//! Each node opens links to a few peers ([`select`]) and maintains them ([`manage`]). On each link
//! it exchanges digests about once a second, and immediately when a newer configuration comes into
//! force ([`link`], [`listen`]). A digest contains only what the peer doesn't already have
//! ([`peer_view`], [`gossip`]), so a node's traffic grows linearly with the number of members and
//! replicas, not quadratically.
//!
//! A link may also carry byte streams to third parties ([`tunnel`]).

pub mod accepted;
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
pub mod transport;
pub mod tunnel;

pub use accepted::{AcceptedConnections, ConnectionPlace, LinkProof};
pub use auth::SharedKey;
pub use evidence::{EvidenceExchange, NoEvidence, TimedEvidence};
pub use gossip::GossipState;
pub use link::LinkContext;
pub use listen::accept_links;
pub use manage::maintain_links;
pub use settings::PeerSettings;
pub use traffic::{PeerTraffic, TrafficCounts};
pub use transport::DialedLink;
pub use tunnel::{STATEMENT_PATH, TUNNEL_PATH, TunnelLink, TunnelResponse, TunnelStream};
