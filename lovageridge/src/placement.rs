//! The placement duty: the lead of a cell decides replicas, orders loads and evicts.

pub mod call;
pub mod core;
pub mod demand;
pub mod driver;
pub mod event;
pub mod eviction;
mod jobs;
pub mod keep_alive;
pub mod ledger;
pub mod load_limiter;
pub mod publish;
pub mod record;
pub mod status;
#[cfg(test)]
mod tests;
