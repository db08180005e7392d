//! Accounting of the bytes that an instance holds for callers and upstreams, within a share of its
//! memory.

pub mod budget;
pub mod driver;
pub mod upstreams;
