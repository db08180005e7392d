//! Adapter for the platform that the gateway runs on: its names, formats and calls.
//!
//! The modules here only translate between the platform's formats and the types of
//! [`crate::gateway`]; all decisions are made there. `docs/GLOSSARY.md` maps the terms.

pub mod config;
pub mod control;
pub mod headers;
pub mod settings;
pub mod store;
pub mod workers;

#[cfg(test)]
mod tests;

/// Path of the load balancer's readiness requests.
pub const READY_PATH: &str = "/lovageridge/readiness";

/// A message of the platform that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The message is not JSON of the expected structure.
    #[error("malformed: {0}")]
    Json(#[from] serde_json::Error),
    /// A field is missing or has an unusable value.
    #[error("{field}: {reason}")]
    Field {
        /// Name of the field in the platform's format.
        field: &'static str,
        /// What is wrong with the field.
        reason: String,
    },
}

impl Error {
    pub(crate) fn field(field: &'static str, reason: impl Into<String>) -> Self {
        Self::Field { field, reason: reason.into() }
    }
}
