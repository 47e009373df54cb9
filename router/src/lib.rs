//! The router process: sockets, timers and logs around a node of `laburnumwheel-core`.

pub mod admin;
pub mod api;
pub mod body;
pub mod driver;
pub mod error;
pub mod kv;
pub mod link;
pub mod log;
pub mod metrics;
pub mod peer;
pub mod poll;
pub mod publish;
pub mod reply;
pub mod router;
pub mod serve;
pub mod settings;
pub mod sse;
pub mod upstream;
