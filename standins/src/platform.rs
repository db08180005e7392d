//! Stand-ins that speak the users' platform: its store, its workers, and gateway instances between
//! them and callers.

pub mod caller;
pub mod deployment;
pub mod measure;
pub mod store;
pub mod wire;
pub mod worker;
