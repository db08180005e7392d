//! The attempts slice: the life of a request at upstreams, and the truth about whether it ran.

pub mod claims;
pub mod generation;
pub mod grant;
pub mod outcome;
pub mod plain;
#[cfg(test)]
mod tests;
