//! Distribution of the store's tables among nodes, without a network.

mod feed_timing;
mod feed_tree;
mod restored_store;
mod row_patch;
mod source_freshness;
mod table_copy;
mod version_claims;
