//! Runs a gateway: sockets, timers and logs for the decisions of [`laburnumwheel_core::gateway`].
//!
//! The gateway relays calls and event streams over HTTP/1.1 without interpreting their bodies. A
//! [`dialect::Dialect`] defines the names of headers, and a [`store::Store`] the source of the
//! lists of replicas, so a platform is supported by implementing these two. Everything runs on one
//! thread.

pub mod admission;
pub mod attempt;
pub mod body;
pub mod bootstrap;
pub mod brittle;
pub mod buffer;
pub mod cache;
pub mod call;
pub mod channel;
pub mod clock;
mod confirmation;
pub mod connection;
pub mod copy;
pub mod delegation;
pub mod departure;
pub mod dialect;
pub mod duty;
pub mod era;
pub mod fenced;
pub mod flaw;
pub mod gateway;
pub mod intake;
pub mod limit;
pub mod log;
pub mod memory;
pub mod metrics;
pub mod moves;
pub mod need;
pub mod origin;
pub mod pace;
pub mod peers;
pub mod quarantine;
pub mod reach;
pub mod relay;
pub mod response;
pub mod retry_after;
pub mod server;
pub mod shared;
mod statement;
pub mod store;
pub mod topic;
pub mod view;
