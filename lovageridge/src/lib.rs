//! lovageridge serves rarely used language models that the partners of a joint venture share.
//!
//! It provides all processes between callers and upstreams. `docs/ARCHITECTURE.md` describes the path of
//! a request and the responsibility of each module.

pub mod admin;
pub mod admission;
pub mod attempts;
pub mod batch;
pub mod callers;
pub mod cli;
pub mod clock;
pub mod config;
pub mod context;
pub mod dispatch;
pub mod document;
pub mod gateway;
pub mod hashing;
pub mod infra;
pub mod ini;
pub mod instance;
pub mod leadership;
pub mod membership;
pub mod outbound;
pub mod placement;
pub mod platform;
pub mod routing;
pub mod settings;
pub mod sorted;
pub mod telemetry;
pub mod upstream;
pub mod wire;
