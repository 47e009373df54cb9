//! The gateway's process: sockets, timers and logs round [`laburnumwheel_core::gateway`].
//!
//! It relays opaque calls and event streams over HTTP/1.1. What the headers are called and where
//! lists of replicas come from is defined by a [`dialect::Dialect`] and a [`store::Store`], so the
//! gateway runs on any platform that can fill these in. Everything runs on one thread.

pub mod attempt;
pub mod body;
pub mod call;
pub mod channel;
pub mod clock;
pub mod dialect;
pub mod duty;
pub mod era;
pub mod fenced;
pub mod flaw;
pub mod gateway;
pub mod log;
pub mod metrics;
pub mod peers;
pub mod quarantine;
pub mod relay;
pub mod server;
pub mod shared;
pub mod store;
pub mod view;
