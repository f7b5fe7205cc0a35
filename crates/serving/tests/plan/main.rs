//! Which hosts form which replicas; one module a feature.

mod fabric_layout;
mod fabric_plan;
mod fair_repair;
mod kit;
mod staged_hosts;
