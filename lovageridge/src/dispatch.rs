//! Dispatch of requests to upstreams: combines admission and routing, and requests cold starts of
//! targets from the leads of the cells.

pub mod cells;
pub mod core;
pub mod driver;
#[cfg(test)]
mod tests;
