//! Stand-ins for the external systems, for tests, examples and measurements.
//!
//! Each runs as a small process of its own; none is part of the server.

pub mod deployment;
pub mod engine;
pub mod faults;
pub mod hostlist;
pub mod interrupt;
pub mod load;
pub mod measure;
pub mod objects;
pub mod options;
pub mod quickstart;
pub mod relay;
pub mod rows;
pub mod serve;
pub mod service;
pub mod site;
pub mod stack;
pub mod table;
pub mod weights;
