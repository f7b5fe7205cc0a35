//! Tests of control's state machines and stores against in-memory fakes.

mod allowed_drains;
mod assembly_rounds;
mod assembly_sim;
mod at_most_once;
mod claim_cleanup;
mod config_load;
mod config_state;
mod evidence_store;
mod fake;
mod host_reassignment;
mod lease_fencing;
mod member_state;
mod record_amend;
mod sim;
mod table_budget;
