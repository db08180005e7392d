//! Metrics, numbered log events and spans.

pub mod events;
pub mod metrics;
pub mod trace;
