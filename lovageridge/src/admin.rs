//! The administration port: sections, status, explanations, draining, metrics.

pub mod api;
pub mod edits;
pub mod explain;
#[allow(missing_docs)]
pub mod generated;
pub mod server;
pub mod status;
