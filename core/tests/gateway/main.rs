//! Tests of the gateway module, in virtual time and without a network.

mod agreement;
mod autoscaler;
mod bootstrap;
mod budget;
mod delta;
mod directory;
mod events;
mod fleet;
mod freshness;
mod leader;
mod loads;
mod malformed;
mod mirror;
mod occupancy;
mod outage;
mod plan;
mod pool;
mod prefill;
mod quarantine;
mod restart;
mod rollback;
mod routes;
mod stop;
mod support;
mod usage;
mod wall;
