//! Shares of the hosts by what clients ask of each model.
//!
//! Pattern: work that shifted. Operators publish the shares that they expect, and months later one
//! model is asked for several times as much as the other. Its clients find all replicas full beside
//! replicas of the other one with room. Shares then follow the work that clients ask for, refused
//! work included, and the published ones are the start and a lower bound.

mod decider;
mod ledger;
mod meter;
mod shares;

pub use decider::ShareDecider;
pub use ledger::{DemandLedger, ModelValues, ReportedDemand, ReviewInput, ShareDecision};
pub use meter::DemandMeter;
pub use shares::{ModelDemand, shares_by_work};
