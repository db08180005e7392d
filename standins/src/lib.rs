//! Stand-ins for the systems that lovageridge meets, and the runner of scripted scenarios.
//!
//! Each stand-in counts what really happened, so that scenarios assert on the truth and not on what
//! lovageridge believes.

pub mod booking;
pub mod client;
pub mod collector;
pub mod demo;
pub mod engine;
pub mod http;
pub mod limits;
pub mod list;
pub mod log;
pub mod measure;
pub mod planner;
pub mod platform;
pub mod process;
pub mod relay;
pub mod replay;
pub mod scenario;
pub mod soak;
pub mod store;
pub mod venture;
pub mod world;
