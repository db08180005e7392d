//! The administration port: sections, status, explanations, draining, metrics.

pub mod api;
pub mod edits;
pub mod explain;
pub mod server;
pub mod status;
