//! Brittle services: their replicas say that they fall over if they must refuse too many requests a
//! second for want of room.
//!
//! Refusals count over all gateways, and a burst meets all of them at once, so that backing off
//! after a refusal comes too late. While a service is brittle, each gateway keeps its calls in
//! progress at a replica to its share of the replica's slots. All gateways derive the shares from
//! the gateways that accept callers, without messages: each has the same whole number of slots, and
//! the slots that are left go to those that follow the replica on a hash ring. If there are fewer
//! slots than gateways, those that follow the replica have a few slots each. Gateways that disagree
//! about one other gateway then disagree about a few slots of a replica at most.
//!
//! A gateway without a free place delegates calls to one that has a place: a small service has fewer
//! slots than a large fleet has gateways.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::delegation;
use crate::gateway::delegation::Pause;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Time after the last statement for which a service counts as brittle if no answer denies it.
const LIFETIME: Span = Span::secs(5);
/// Divisor of a replica's slots that gives those left unused: a slot is free a little later than its
/// caller has the answer, and gateways may disagree about who is live.
const SPARE_DIVISOR: u32 = 8;

/// Longest time in which no call of a service is delegated for which no place was free. Places are
/// free again with each call that ends, so that a longer time would refuse calls for nothing.
const MAX_PAUSE: Span = delegation::MIN_PAUSE;
/// Places that a gateway has at a replica if there are more gateways than places. With single ones, a
/// gateway that is asked for a place would be without a free one as often as a place is in use.
const BUNDLE: u32 = 3;

/// Brittle service, as gateways pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Short hash of the service's name.
    pub service: u32,
    /// Time since the last statement, in milliseconds.
    pub age_ms: u16,
}

/// Brittle services that this gateway knows, by the short hash of their names.
#[derive(Debug, Default)]
pub struct Table {
    last_said: BTreeMap<u32, Time>,
    /// Times of the last answers that denied it.
    last_denied: BTreeMap<u32, Time>,
    /// Pauses of delegation to gateways with places.
    pauses: BTreeMap<u32, Pause>,
}

impl Table {
    /// Records a statement of a replica; returns whether its service was not known to be brittle.
    pub fn record(&mut self, now: Time, at: Time, service: u32) -> bool {
        let is_new = !self.is_brittle(now, service);
        let last = self.last_said.entry(service).or_insert(at);
        *last = (*last).max(at);
        is_new && self.is_brittle(now, service)
    }

    /// Records an answer without a statement: replicas say in all their answers that they are brittle.
    pub fn deny(&mut self, now: Time, service: u32) {
        if self.is_brittle(now, service) {
            self.last_denied.insert(service, now);
        }
    }

    /// Whether a service is brittle.
    pub fn is_brittle(&self, now: Time, service: u32) -> bool {
        let denied = self.last_denied.get(&service);
        self.last_said
            .get(&service)
            .is_some_and(|at| now.since(*at) < LIFETIME && denied.is_none_or(|denied| at > denied))
    }

    /// Whether calls of a service may be delegated to gateways with places.
    pub fn may_delegate(&self, now: Time, service: u32) -> bool {
        self.pauses.get(&service).is_none_or(|pause| pause.is_over(now))
    }

    /// Records whether one of the gateways that were asked had a place for a call of a service.
    pub fn record_delegation(&mut self, now: Time, service: u32, is_served: bool) {
        self.pauses.entry(service).or_default().record(now, is_served, MAX_PAUSE);
    }

    /// The brittle services.
    pub fn gossip(&self, now: Time) -> Vec<Record> {
        let brittle = self.last_said.iter().filter(|(service, _)| self.is_brittle(now, **service));
        let recent = brittle.map(|(service, at)| (*service, now.since(*at)));
        recent.map(|(service, age)| Record { service, age_ms: age.as_millis() as u16 }).collect()
    }

    /// Merges a record of another gateway; returns whether the service was not known to be brittle.
    pub fn receive(&mut self, now: Time, record: &Record) -> bool {
        self.record(now, now - Span::millis(u64::from(record.age_ms)), record.service)
    }
}

/// Number of a replica's slots that all gateways together use while its service is brittle.
pub fn room(slots: u32) -> u32 {
    slots.saturating_sub((slots / SPARE_DIVISOR).max(1)).max(1)
}

/// The gateways that accept callers, in the order of their short hashes. The others send few calls of
/// their own to replicas: they are stopping, or cut off.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    gateways: Vec<u32>,
    /// Position of this gateway, if it is one of them.
    own: Option<usize>,
}

impl Ring {
    /// The ring of the other gateways that accept callers, and of this one if it does, by their short
    /// hashes.
    pub fn new(own: Option<u32>, others: impl IntoIterator<Item = u32>) -> Ring {
        let mut gateways: Vec<u32> = others.into_iter().chain(own).collect();
        gateways.sort_unstable();
        gateways.dedup();
        let own = own.map(|own| gateways.partition_point(|gateway| *gateway < own));
        Ring { gateways, own }
    }

    /// This gateway's share of `room` calls in progress at a replica.
    pub fn share(&self, replica: Digest, room: u32) -> u32 {
        let Some(own) = self.own else {
            return 0;
        };
        let count = self.gateways.len();
        let rank = ((own + count - self.first(replica)) % count) as u32;
        let count = count as u32;
        if count > room {
            return room.saturating_sub(rank * BUNDLE).min(BUNDLE);
        }
        room / count + u32::from(rank < room % count)
    }

    /// The gateway that has place number `place` of `room` at a replica, by its short hash.
    pub fn holder(&self, replica: Digest, place: u32, room: u32) -> Option<u32> {
        let count = self.gateways.len().max(1);
        let rank = if count as u32 > room { place / BUNDLE } else { place };
        self.gateways.get((self.first(replica) + rank as usize) % count).copied()
    }

    /// Position of the first gateway that follows a replica.
    fn first(&self, replica: Digest) -> usize {
        self.gateways.partition_point(|gateway| *gateway < replica.0) % self.gateways.len().max(1)
    }
}
