//! Distribution of the store's tables among many nodes: a few read the store, the others get
//! copies over links.

mod claims;
mod clock_watch;
mod copy;
mod delta;
mod era_watch;
mod freshness;
mod patch;
mod refused;
mod store_anchor;
mod take;
mod timing;
mod tree;

pub use claims::VersionClaims;
pub use clock_watch::ClockWatch;
pub use copy::TableCopy;
pub use delta::{StoreRow, TableDelta, VersionGap};
pub use era_watch::{EraObservation, EraSource, EraWatch};
pub use freshness::FeedSample;
pub use patch::RowPatch;
pub use refused::{RefusalReason, RefusedRow};
pub use store_anchor::StoreAnchor;
pub use take::{DeltaOutcome, DeltaProof, LostRows, TakenDelta};
pub use timing::{FeedTiming, MAX_JITTER};
pub use tree::{
    MIN_FOLLOWING_NODES, TREE_FANOUT, fallback_sources, feed_order, feed_sources, tree_depth,
};
