//! Keeps the configuration, the registry and the heartbeats current.
//!
//! In a large deployment a few nodes read the store and pass its changes on along a tree
//! ([`serving::feed`]); the others follow a node of their failure domain ([`follow`], [`serve`]). A
//! node reads the store itself ([`direct`]) while it has no source that is recent enough, so the
//! store remains the truth, and no node depends on another one for longer than a source's maximum
//! age. While the store turns a node away too, it follows one of another failure domain.
//!
//! Small changes and large tables have links of their own ([`wire::feed::FeedLane`]).

mod direct;
mod follow;
mod intake;
mod messages;
mod not_taken;
mod pace;
mod provenance;
mod serve;
mod state;
mod watchers;

pub use direct::read_directly;
pub use follow::follow_sources;
pub use intake::FeedIntake;
pub use not_taken::log_refused;
pub use provenance::{TableConfirmation, TableOrigin};
pub use serve::serve_links;
pub use state::{COUNT_INTERVAL, FeedMember, FeedState};
