//! Adapter for the users' platform: names, formats and calls.
//!
//! Everything here translates between the platform's words and the types of [`crate::gateway`];
//! nothing here decides. `docs/GLOSSARY.md` maps the words.

pub mod config;
pub mod control;
pub mod headers;
pub mod settings;
pub mod store;
pub mod workers;

#[cfg(test)]
mod tests;

/// Path of the readiness question that the balancer asks.
pub const READY_PATH: &str = "/lovageridge/readiness";

/// A message of the platform that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not in the expected form.
    #[error("malformed: {0}")]
    Json(#[from] serde_json::Error),
    /// A field has a value that cannot be used.
    #[error("{field}: {reason}")]
    Field {
        /// Name of the field.
        field: &'static str,
        /// What is wrong with it.
        reason: String,
    },
}

impl Error {
    pub(crate) fn field(field: &'static str, reason: impl Into<String>) -> Self {
        Self::Field { field, reason: reason.into() }
    }
}
