//! The request path over small fakes of engines, services and the table; one module a feature.

mod attempt_faults;
mod bad_input;
mod claimed_calls;
mod fake_engine;
mod fake_entry;
mod fake_service;
mod fake_table;
mod openai_shape;
mod queue_limits;
