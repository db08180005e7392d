//! Placement: the lead of a cell decides which worker holds which model, and orders loads and
//! unloads.

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
