//! Tests of the gateway's decisions, in virtual time and without a network.

mod agreement;
mod autoscaler;
mod budget;
mod delta;
mod directory;
mod events;
mod fleet;
mod freshness;
mod leader;
mod loads;
mod occupancy;
mod outage;
mod plan;
mod pool;
mod prefill;
mod quarantine;
mod restart;
mod returns;
mod routes;
mod stop;
mod strays;
mod support;
mod usage;
mod wall;
