//! What gateways gossip in every heartbeat: loads of replicas and demand of gateways.
//!
//! A gateway of many sees few answers of any one replica, and what it knows is old when it
//! matters. Passed on with their age, the sightings of all gateways reach each of them within a
//! few rounds, at a cost that depends on the number of replicas and not on that of calls.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Older sightings are not passed on.
const OLDEST: Span = Span::millis(1_200);
/// Older demand counts for nothing: the gateway is gone.
const DEMAND_LIFE: Span = Span::millis(3_000);
/// Sightings in one heartbeat, so that it fits a datagram.
pub const MAX_ENTRIES: usize = 100;

/// Load of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Run of the replica.
    pub replica: Digest,
    /// Calls it works on.
    pub running: u16,
    /// Calls that wait inside it.
    pub waiting: u16,
    /// Age in milliseconds.
    pub age_ms: u16,
}

/// Demand of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Short hash of the gateway's name.
    pub gateway: u32,
    /// It takes callers.
    pub open: bool,
    /// Streams in progress that long prompts would disturb.
    pub sensitive: u16,
    /// Age in milliseconds.
    pub age_ms: u16,
}

#[derive(Clone, Copy, Debug)]
struct Stamped<T> {
    value: T,
    at: Time,
}

/// Demand of all gateways, each as last seen.
#[derive(Debug, Default)]
pub struct Demands {
    all: BTreeMap<u32, Stamped<Demand>>,
}

/// The time `age_ms` before `now`.
pub fn time_before(now: Time, age_ms: u16) -> Time {
    now - Span::millis(u64::from(age_ms))
}

/// Milliseconds from `at` to `now`, for a sighting that is young enough to be passed on.
pub fn age_ms(now: Time, at: Time) -> Option<u16> {
    let age = now.since(at);
    (age < OLDEST).then_some(age.as_millis() as u16)
}

impl Demands {
    /// Merges the demand that a peer gossips.
    pub fn receive(&mut self, now: Time, demands: &[Demand]) {
        for demand in demands {
            let heard = Stamped { value: *demand, at: time_before(now, demand.age_ms) };
            let known = self.all.entry(demand.gateway).or_insert(heard);
            if heard.at > known.at {
                *known = heard;
            }
        }
        self.all.retain(|_, d| now.since(d.at) < DEMAND_LIFE);
    }

    /// Demand to gossip, the youngest first.
    pub fn gossip(&self, now: Time) -> Vec<Demand> {
        let mut young: Vec<Demand> = self
            .all
            .values()
            .filter_map(|d| age_ms(now, d.at).map(|age_ms| Demand { age_ms, ..d.value }))
            .collect();
        young.sort_by_key(|d| d.age_ms);
        young.truncate(MAX_ENTRIES);
        young
    }

    /// Sensitive streams of all other gateways.
    pub fn sensitive_streams(&self, now: Time) -> u32 {
        let live = self.all.values().filter(|d| now.since(d.at) < DEMAND_LIFE);
        live.map(|d| u32::from(d.value.sensitive)).sum()
    }

    /// When a gateway was last known to live, and whether it took callers then.
    pub fn latest(&self, gateway: u32) -> Option<(Time, bool)> {
        self.all.get(&gateway).map(|d| (d.at, d.value.open))
    }
}
