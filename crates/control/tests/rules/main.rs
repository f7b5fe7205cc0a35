//! Tests of the real aggregates and state machines of control, over fakes in memory.

mod assembly_rounds;
mod assembly_world;
mod claim_cleanup;
mod config_load;
mod config_state;
mod dice;
mod drain_room;
mod evidence_store;
mod fake;
mod host_moves;
mod lease_fencing;
mod ledger_once;
mod member_state;
mod record_amend;
mod store_share;
