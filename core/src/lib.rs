//! The decision logic of a laburnumwheel router, without input or output.
//!
//! [`node::Node`] takes `(now, Event)` and returns `Vec<Action>`. Time, seed, caller requests,
//! upstream frames, load reports, key-value replies and peer messages are values in events; every
//! effect is a value in an action. The same settings and events give the same actions, byte for
//! byte. [`codec`] encodes this interface for external drivers.

pub mod action;
pub mod arena;
pub mod cell;
pub mod codec;
pub mod config;
pub mod entry;
pub mod estimate;
pub mod event;
pub mod gateway;
pub mod idempotency;
pub mod incarnation;
pub mod limit;
pub mod member;
pub mod node;
pub mod order;
pub mod outlier;
pub mod peer;
pub mod prefix;
pub mod queue;
pub mod rendezvous;
pub mod retry;
pub mod share;
pub mod stats;
pub mod sync;
pub mod time;
pub mod upstream;
