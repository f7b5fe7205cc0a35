//! Which hosts form which replicas; one module a feature.

mod fabric_layout;
mod fabric_plan;
mod kit;
mod staged_hosts;
