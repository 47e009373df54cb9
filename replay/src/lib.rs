//! Replays traces of requests in virtual time.
//!
//! A replay runs the router's core, or one of two baselines that it is compared with, against fakes
//! of engines and plain services, and compares the results with the required outcomes of a site.

pub mod baseline;
pub mod caller;
pub mod error;
pub mod fake;
pub mod generate;
pub mod network;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod site;
pub mod trace;
