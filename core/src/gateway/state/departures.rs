//! Departures: replicas that say in their answers that they leave.
//!
//! See [`crate::gateway::departure`].

use super::Gateway;
use crate::gateway::departure::Record;
use crate::gateway::fleet::Claim;
use crate::time::Span;
use crate::time::Time;

impl Gateway {
    /// Records that an answer says that its replica leaves; returns whether that was not known.
    pub fn record_departure(&mut self, now: Time, claim: &Claim) -> bool {
        self.fleet.record_departure(now, claim.incarnation).is_some()
    }

    /// Departures to gossip.
    pub fn gossip_departures(&mut self, now: Time) -> Vec<Record> {
        self.fleet.sweep_departures(now);
        self.fleet.gossip_departures(now, &mut self.rng)
    }

    /// Merges departures that another gateway knows; returns the ids of the replicas that this
    /// gateway did not know to leave.
    pub fn receive_departures(&mut self, now: Time, records: &[Record]) -> Vec<String> {
        let said_at = |record: &Record| now - Span::millis(u64::from(record.age_ms));
        let fleet = &mut self.fleet;
        let new = records.iter().map(|r| fleet.record_departure(said_at(r), r.replica));
        new.flatten().collect()
    }
}
