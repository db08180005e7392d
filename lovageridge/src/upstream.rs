//! HTTP clients of upstreams: orders to model engines, generations, and requests to plain services.

pub mod engine;
pub mod service;
pub mod stream;
