//! The dispatch duty: joins admission and routing, and asks leads for cold targets.

pub mod cells;
pub mod core;
pub mod driver;
#[cfg(test)]
mod tests;
