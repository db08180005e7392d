//! Metrics, numbered log events and spans.

pub mod events;
pub mod export;
pub mod metrics;
pub mod trace;
