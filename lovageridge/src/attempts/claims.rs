//! Idempotency keys: the first claim in the log wins on all instances.

pub mod driver;
pub mod key_table;
