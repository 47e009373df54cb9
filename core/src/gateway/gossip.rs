//! Gossip in heartbeats: loads of replicas and demand of gateways.
//!
//! In a large fleet each gateway receives few replies of any one replica, so its own observations
//! are out of date. Gateways therefore pass on all observations with their age. Within a few rounds
//! an observation reaches all gateways, at a cost that depends on the number of replicas and not on
//! the number of calls.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Age from which on observations are not passed on.
const MAX_AGE: Span = Span::millis(1_200);
/// Age from which on the demand of a gateway is ignored, because the gateway has probably ended.
const MAX_DEMAND_AGE: Span = Span::millis(3_000);
/// Upper bound on entries of one kind in a heartbeat, so that it fits into a datagram.
pub const MAX_ENTRIES: usize = 100;

/// The same for demands in the heartbeats between readers of a large fleet: those of the gateways
/// that ask a reader, and of as many more. With the loads they fill half a datagram.
pub const MAX_COLLECTED: usize = 400;

/// Observed load of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Calls that run.
    pub running: u16,
    /// Calls that wait inside the replica.
    pub waiting: u16,
    /// Age in milliseconds.
    pub age_ms: u16,
    /// Pace of the replica, see [`Word`](super::pace::Word); zero if it is unknown.
    pub pace: u8,
}

/// Demand of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Short hash of the gateway's name.
    pub gateway: u32,
    /// Whether the gateway accepts callers.
    pub open: bool,
    /// Streams in progress that the prefill of long prompts would delay.
    pub sensitive: u16,
    /// Age in milliseconds.
    pub age_ms: u16,
}

#[derive(Clone, Copy, Debug)]
struct Timestamped<T> {
    value: T,
    at: Time,
}

/// Newest known demand of each gateway.
#[derive(Debug, Default)]
pub struct Demands {
    by_gateway: BTreeMap<u32, Timestamped<Demand>>,
}

/// The time `age_ms` before `now`.
pub fn time_before(now: Time, age_ms: u16) -> Time {
    now - Span::millis(u64::from(age_ms))
}

/// Milliseconds from `at` to `now`; `None` if an observation of that age is not passed on.
pub fn age_ms(now: Time, at: Time) -> Option<u16> {
    let age = now.since(at);
    (age < MAX_AGE).then_some(age.as_millis() as u16)
}

impl Demands {
    /// Merges the demand that a peer gossips.
    pub fn receive(&mut self, now: Time, demands: &[Demand]) {
        for demand in demands {
            let received = Timestamped { value: *demand, at: time_before(now, demand.age_ms) };
            let known = self.by_gateway.entry(demand.gateway).or_insert(received);
            if received.at > known.at {
                *known = received;
            }
        }
        self.by_gateway.retain(|_, d| now.since(d.at) < MAX_DEMAND_AGE);
    }

    /// At most `limit` demands to gossip, the newest first.
    pub fn gossip(&self, now: Time, limit: usize) -> Vec<Demand> {
        let mut recent: Vec<Demand> = self
            .by_gateway
            .values()
            .filter_map(|d| age_ms(now, d.at).map(|age_ms| Demand { age_ms, ..d.value }))
            .collect();
        recent.sort_by_key(|d| d.age_ms);
        recent.truncate(limit);
        recent
    }

    /// Number of sensitive streams in progress at all gateways with a known demand.
    pub fn sensitive_streams(&self, now: Time) -> u32 {
        let live = self.by_gateway.values().filter(|d| now.since(d.at) < MAX_DEMAND_AGE);
        live.map(|d| u32::from(d.value.sensitive)).sum()
    }

    /// Time of a gateway's newest known demand, and whether it accepted callers then.
    pub fn latest(&self, gateway: u32) -> Option<(Time, bool)> {
        self.by_gateway.get(&gateway).map(|d| (d.at, d.value.open))
    }
}
