//! HTTP clients of upstreams: orders to model engines, generations, and requests to plain services.

pub mod engine;
#[cfg(test)]
pub mod served;
pub mod service;
pub mod stream;
