//! The admission slice: fair queues, limits over all instances, predicted waits, retry budget.

pub mod budget;
pub mod limit;
pub mod predict;
pub mod queue;
#[cfg(test)]
mod tests;
