//! Metrics, numbered log events and trace spans.

pub mod events;
pub mod export;
pub mod metrics;
pub mod trace;
