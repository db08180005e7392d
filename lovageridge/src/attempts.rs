//! The attempts slice: sends requests to upstreams, retries them, and tracks whether they ran.

pub mod claims;
pub mod generation;
pub mod grant;
pub mod outcome;
pub mod plain;
#[cfg(test)]
mod tests;
