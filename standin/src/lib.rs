//! Test doubles of the systems that a router talks to: the key-value service, a model engine and a
//! plain service. The first two simulate faults on demand.

pub mod engine;
mod http;
pub mod kv;
pub mod service;
