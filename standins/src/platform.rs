//! Stand-ins for the platform that the gateway runs on: its store, its workers and callers, with
//! gateway instances between them.

pub mod caller;
pub mod deployment;
pub mod measure;
pub mod store;
pub mod wire;
pub mod worker;
