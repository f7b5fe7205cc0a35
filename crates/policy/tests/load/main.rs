//! Decisions under load, played on a virtual clock.

#[path = "../../examples/compare/baseline/mod.rs"]
mod baseline;
mod capacity_share;
mod driver;
mod early_refusal;
mod fair_admission;
mod prefix_affinity;
mod target_choice;
