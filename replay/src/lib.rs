//! Replay of recorded traces in virtual time over the core, with page-sized fakes of engines and
//! plain services, and two baselines in the same run.

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
