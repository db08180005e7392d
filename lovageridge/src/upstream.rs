//! Clients of upstreams: orders to model engines, generations, and plain calls.

pub mod engine;
pub mod service;
pub mod stream;
