//! The callers' port: an OpenAI-compatible completions API and the plain services.
//!
//! The port uses `tiny_http` directly instead of `rouille`, which is built on it: `rouille` delays
//! streamed chunks until its buffer is full.

pub mod auth;
pub mod generations;
pub mod openai;
pub mod reply;
pub mod server;
pub mod services;
