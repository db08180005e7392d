//! The callers' port: OpenAI-compatible generations and plain services.
//!
//! The port is served by `tiny_http`, on which `rouille` is built: `rouille` holds streamed chunks
//! back until its buffer is full.

pub mod auth;
pub mod generations;
pub mod openai;
pub mod reply;
pub mod server;
pub mod services;
