//! Decisions of a gateway, which routes opaque calls and event streams by host and path.
//!
//! A [`Gateway`] holds a [`config::Config`], the replicas of its services and its peers, the other
//! gateways. It resolves calls to routes, chooses replicas, decides on retries, and selects the
//! gateways that callers are sent to. Like the rest of the core it has no clock and no socket.

pub mod admission;
pub mod autoscaler;
pub mod bootstrap;
pub mod brittle;
pub mod budget;
pub mod build;
pub mod cache;
pub mod config;
pub mod contact;
pub mod copy;
pub mod delegation;
pub mod delta;
pub mod departure;
pub mod directory;
pub mod engine;
pub mod events;
pub mod fingerprint;
pub mod fleet;
pub mod freshness;
pub mod gaps;
pub mod gossip;
pub mod heartbeat;
pub mod inversion;
pub mod journal;
pub mod leader;
pub mod limit;
pub mod liveness;
pub mod memory;
pub mod mirror;
mod model;
pub mod moves;
pub mod occupancy;
pub mod origin;
pub mod outage;
pub mod pace;
pub mod plan;
pub mod pool;
pub mod position;
pub mod prefill;
pub mod pulse;
pub mod quarantine;
pub mod reach;
pub mod refusal;
mod rollback;
mod state;
pub mod submission;
pub mod tally;
pub mod usage;
pub mod view;
pub mod wall;

pub use self::state::CacheTarget;
pub use self::state::CopyPlan;
pub use self::state::Crashes;
pub use self::state::Gateway;
pub use self::state::Grant;
pub use self::state::MovePlan;
pub use self::state::Pick;
pub use self::state::Published;
pub use self::state::Rank;
pub use self::state::Settings;
