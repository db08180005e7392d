//! The placement duty: the lead of a cell decides replicas, orders loads and evicts.

pub mod call;
pub mod core;
pub mod demand;
pub mod duty;
pub mod event;
pub mod evict;
mod jobs;
pub mod keep;
pub mod ledger;
pub mod pace;
pub mod publish;
pub mod record;
pub mod status;
#[cfg(test)]
mod tests;
