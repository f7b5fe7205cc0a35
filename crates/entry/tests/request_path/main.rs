//! Tests of the request path with fake engines, services and tables; one module per feature.

mod attempt_errors;
mod claimed_calls;
mod fake_engine;
mod fake_entry;
mod fake_service;
mod fake_table;
mod invalid_requests;
mod openai_compatibility;
mod queue_limits;
