//! Liveness of the gateways of a large fleet, collected and passed on by its readers.
//!
//! Heartbeats to random peers tell a gateway of each other one only every few seconds once there
//! are many, unless each sends ever more of them. But every gateway asks a reader for a proof about
//! twice a second. It states its demand with the question, readers exchange what they were told,
//! and the answer holds two bits for each listed gateway. Plans and quarantine records, which must
//! reach all gateways soon, travel the same way; heartbeats become rarer.

use serde::Deserialize;
use serde::Serialize;

use super::Gateway;
use super::directory;
use super::directory::Entry;
use super::directory::LARGE_FLEET;
use super::gossip::Demand;
use super::plan::Comparison;
use super::plan::Plan;
use super::quarantine;
use crate::time::Span;
use crate::time::Time;

/// Time since the last sign of life for which a reader reports a gateway as live: two questions, of
/// which one may be lost, and the exchange between readers.
const REPORTED_FOR: Span = Span::millis(1_500);
/// Time between two heartbeats in a small fleet.
const HEARTBEAT_INTERVAL: Span = Span::millis(250);
/// Gateways of a large fleet for each [`HEARTBEAT_INTERVAL`] between two heartbeats, so that the
/// fleet's heartbeats do not grow with its size.
const GATEWAYS_PER_INTERVAL: u64 = 128;

/// What a gateway of a large fleet states with its question for a proof.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// Digest of its list of gateways. While gateways come and go, the reader's newest list is
    /// seldom the same.
    pub list: u64,
    /// Demand of the gateway.
    pub demand: Demand,
    /// Its recent records of the quarantine.
    pub quarantine: Vec<quarantine::Record>,
}

/// What a reader adds to its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Digest of the list of gateways that the bits refer to, in its order.
    pub list: u64,
    /// A bit for each listed gateway: whether it is live.
    pub live: Vec<u8>,
    /// A bit for each listed gateway: whether it accepts callers.
    pub open: Vec<u8>,
    /// Plans in force.
    pub plans: Vec<Plan>,
    /// Recent records of the quarantine.
    pub quarantine: Vec<quarantine::Record>,
}

fn set_bit(bits: &mut [u8], index: usize) {
    bits[index / 8] |= 1 << (index % 8);
}

fn bit(bits: &[u8], index: usize) -> bool {
    bits.get(index / 8).is_some_and(|byte| byte >> (index % 8) & 1 == 1)
}

impl Gateway {
    /// Whether readers collect the liveness of gateways.
    pub fn is_in_large_fleet(&self) -> bool {
        self.gateway_count() >= LARGE_FLEET
    }

    /// Time to the next heartbeat; `is_reader` says whether this gateway is a reader.
    pub fn heartbeat_interval(&self, is_reader: bool) -> Span {
        if is_reader || !self.is_in_large_fleet() {
            return HEARTBEAT_INTERVAL;
        }
        Span(HEARTBEAT_INTERVAL.0 * self.gateway_count() as u64 / GATEWAYS_PER_INTERVAL)
    }

    /// What to state with a question for a proof, with the digest of this gateway's list of
    /// gateways; `None` in a small fleet.
    pub fn poll(&self, now: Time, list: u64) -> Option<Poll> {
        let poll =
            || Poll { list, demand: self.demand(now), quarantine: self.quarantine_gossip(now) };
        self.is_in_large_fleet().then(poll)
    }

    /// Records what another gateway stated with its question.
    pub fn receive_poll(&mut self, now: Time, poll: &Poll) {
        self.receive_demand(now, poll.demand);
        self.merge_quarantine(now, &poll.quarantine);
    }

    /// What to add to an answer; `entries` is the list of gateways that the question stated, whose
    /// digest is `list`.
    pub fn summary(&self, now: Time, list: u64, entries: &[Entry]) -> Summary {
        let mut live = vec![0; entries.len().div_ceil(8)];
        let mut open = live.clone();
        for (index, entry) in entries.iter().enumerate() {
            if let Some((at, is_open)) = self.last_sign(now, &entry.name)
                && now.since(at) < REPORTED_FOR
            {
                set_bit(&mut live, index);
                if is_open {
                    set_bit(&mut open, index);
                }
            }
        }
        let quarantine = self.quarantine_gossip(now);
        Summary { list, live, open, plans: self.plans(now), quarantine }
    }

    /// Merges what a reader added to its answer; `entries` is this gateway's list of gateways with
    /// the digest `list`. Returns how each plan compares to the known one, with its age.
    pub fn receive_summary(
        &mut self,
        now: Time,
        list: u64,
        entries: &[Entry],
        summary: &Summary,
    ) -> Vec<(Comparison, Span)> {
        if summary.list == list {
            let is_live = |(index, _): &(usize, &Entry)| bit(&summary.live, *index);
            for (index, entry) in entries.iter().enumerate().filter(is_live) {
                self.record_live(now, &entry.name, bit(&summary.open, index));
            }
        }
        self.merge_quarantine(now, &summary.quarantine);
        self.receive_plans(now, &summary.plans)
    }

    /// Time of a gateway's last sign of life, and whether it accepted callers then.
    fn last_sign(&self, now: Time, name: &str) -> Option<(Time, bool)> {
        if name == self.name() {
            return Some((now, self.takes_callers(now)));
        }
        self.directory().last_sign(name)
    }

    /// Short hash of this gateway's name.
    pub(super) fn short_hash(&self) -> u32 {
        directory::short_hash(self.name())
    }
}
