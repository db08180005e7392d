//! The admission slice: fair queues, rate limits shared by all instances, wait prediction, retry
//! budget.

pub mod budget;
pub mod limit;
pub mod predict;
pub mod queue;
#[cfg(test)]
mod tests;
