//! Reach: the services whose replicas this gateway can open no connections to.
//!
//! A gateway can lose its links to replicas while callers, peers and the store still reach it. One
//! replica without a connection may be down. Several in a row, with no connection opened in
//! between, mean that the service is out of reach, and other gateways serve its calls. Open
//! connections say nothing about that: they may live on while new ones are refused.
//!
//! A service is also out of reach if all of its replicas are down, as after a request that crashes
//! them. The links of this gateway are at fault only if replicas to which it failed to connect were
//! heard, mostly by other gateways, right before and right after.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::gateway::delegation::Pause;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Time for which a failed connection counts.
const FAILURE_LIFETIME: Span = Span::secs(3);
/// Time for which an opened connection proves that a service is in reach while another one is not.
const PROOF_LIFETIME: Span = Span::secs(2);
/// Replicas without a connection from which on others of the service are probed.
const DOUBTED_REPLICAS: usize = 2;
/// Replicas without a connection from which on a service is out of reach; all of them if it has
/// fewer.
const LOST_REPLICAS: usize = 4;
/// Time after which a loss is certain: the probes in it would have found a live replica.
const CONFIRMATION_TIME: Span = Span::secs(1);
/// Longest time between two signs of life of a replica, with a failed connection in between, that
/// show the links of this gateway at fault. In a longer one the replica may have started again.
const MAX_SIGHTING_GAP: Span = Span::secs(1);

/// Longest time in which no call of a service is delegated that no gateway reaches: it is down then.
const MAX_DELEGATION_PAUSE: Span = Span::secs(1);

/// Change of the reach of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Change {
    /// No replica can be reached any more.
    Lost,
    /// A replica can be reached again.
    Restored,
}

/// A connection that could not be opened.
#[derive(Clone, Copy, Debug)]
struct Failure {
    at: Time,
    /// Time of the last sign of life of the replica before the failure.
    seen: Option<Time>,
}

impl Failure {
    /// Whether a sign of life at `seen` shows that the replica was alive when the connection failed.
    fn is_contradicted(&self, seen: Option<Time>) -> bool {
        let alive = self.seen.zip(seen);
        alive.is_some_and(|(before, after)| {
            after > self.at && after.since(before) <= MAX_SIGHTING_GAP
        })
    }
}

#[derive(Debug, Default)]
struct Service {
    /// Replicas to which a connection failed since the last one was opened, and how it last did.
    failed: BTreeMap<Digest, Failure>,
    /// Time since which the service is out of reach.
    lost_since: Option<Time>,
    /// Whether a replica was alive while no connection to it could be opened.
    is_contradicted: bool,
    /// Whether [`Reach::confirm_losses`] has returned this loss.
    is_confirmed: bool,
    /// Pause of delegation, as the service may be down.
    pause: Pause,
}

/// Reach of all services.
#[derive(Debug, Default)]
pub struct Reach {
    services: BTreeMap<String, Service>,
    /// Time at which a connection to a replica of each service was last opened.
    last_opened: BTreeMap<String, Time>,
    /// Pauses of delegation of services that are partly in reach.
    partial: BTreeMap<String, Pause>,
}

impl Reach {
    /// Records that a connection to a replica of a service was opened.
    pub fn record_opened(&mut self, now: Time, service: &str) -> Option<Change> {
        match self.last_opened.get_mut(service) {
            Some(last) => *last = now,
            None => drop(self.last_opened.insert(service.to_owned(), now)),
        }
        let removed = self.services.remove(service)?;
        removed.lost_since.map(|_| Change::Restored)
    }

    /// Records that no connection to `replica` could be opened, whose last sign of life was at `seen`.
    /// The service has `open` replicas that may get calls.
    pub fn record_failed(
        &mut self,
        now: Time,
        service: &str,
        replica: Digest,
        seen: Option<Time>,
        open: usize,
    ) -> Option<Change> {
        self.record_seen(service, replica, seen);
        let known = self.services.entry(service.to_owned()).or_default();
        known.failed.retain(|_, failure| now.since(failure.at) < FAILURE_LIFETIME);
        known.failed.insert(replica, Failure { at: now, seen });
        let is_enough = known.failed.len() >= LOST_REPLICAS.min(open.max(1));
        let is_new = is_enough && known.lost_since.is_none();
        if is_new {
            known.lost_since = Some(now);
        }
        is_new.then_some(Change::Lost)
    }

    /// Records the time of the last sign of life of a replica to which a connection failed.
    pub fn record_seen(&mut self, service: &str, replica: Digest, seen: Option<Time>) {
        if let Some(known) = self.services.get_mut(service) {
            let failure = known.failed.get(&replica);
            known.is_contradicted |= failure.is_some_and(|failure| failure.is_contradicted(seen));
        }
    }

    /// Replicas to which a connection failed, with their services.
    pub fn failed_replicas(&self) -> Vec<(String, Digest)> {
        let services = self.services.iter();
        let failed = services.flat_map(|(service, known)| {
            known.failed.keys().map(move |replica| (service.clone(), *replica))
        });
        failed.collect()
    }

    /// Whether no replica of a service can be reached although some are alive.
    pub fn has_lost_links(&self, service: &str) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|known| known.lost_since.is_some() && known.is_contradicted)
    }

    /// Whether no replica of a service can be reached.
    pub fn is_lost(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|known| known.lost_since.is_some())
    }

    /// Whether any service is out of reach.
    pub fn is_any_lost(&self) -> bool {
        self.services.values().any(|known| known.lost_since.is_some())
    }

    /// Services whose links are lost for long enough to be sure, and since when; each loss is returned
    /// once.
    pub fn confirm_losses(&mut self, now: Time) -> Vec<(String, Time)> {
        let mut losses = Vec::new();
        for (service, known) in &mut self.services {
            let since = known.lost_since.filter(|at| now.since(*at) >= CONFIRMATION_TIME);
            if let Some(since) = since
                && known.is_contradicted
                && !std::mem::replace(&mut known.is_confirmed, true)
            {
                losses.push((service.clone(), since));
            }
        }
        losses
    }

    /// Whether the replicas of a service must be probed: it is out of reach, or may be. The calls of
    /// a service may all use open connections, so that it may be out of reach without a failure if
    /// another one is.
    pub fn is_doubted(&self, now: Time, service: &str, open: usize) -> bool {
        let last_opened = self.last_opened.get(service);
        let is_unproved = last_opened.is_none_or(|at| now.since(*at) >= PROOF_LIFETIME);
        self.has_failures(now, service, open) || (is_unproved && self.is_any_lost())
    }

    /// Whether enough connections to replicas of a service failed to doubt that it is in reach.
    fn has_failures(&self, now: Time, service: &str, open: usize) -> bool {
        let recent = |failure: &&Failure| now.since(failure.at) < FAILURE_LIFETIME;
        self.services.get(service).is_some_and(|known| {
            let failed = known.failed.values().filter(recent).count();
            known.lost_since.is_some() || failed >= DOUBTED_REPLICAS.min(open.max(1))
        })
    }

    /// Whether a connection to `replica` of a service failed since the last one was opened.
    pub fn has_failed(&self, service: &str, replica: Digest) -> bool {
        self.services.get(service).is_some_and(|known| known.failed.contains_key(&replica))
    }

    /// Forgets services that have no replicas any more.
    pub fn retain(&mut self, mut has_replicas: impl FnMut(&str) -> bool) {
        self.services.retain(|service, _| has_replicas(service));
        self.last_opened.retain(|service, _| has_replicas(service));
        self.partial.retain(|service, _| has_replicas(service));
    }

    /// Whether calls of a service that is partly in reach may be delegated.
    pub fn may_delegate_partly(&self, now: Time, service: &str) -> bool {
        self.partial.get(service).is_none_or(|pause| pause.is_over(now))
    }

    /// Records whether a peer that was asked to serve a call of a service that is partly in reach did.
    pub fn record_partial_delegation(&mut self, now: Time, service: &str, served: bool) {
        let pause = self.partial.entry(service.to_owned()).or_default();
        pause.record(now, served, MAX_DELEGATION_PAUSE);
    }

    /// Whether calls of a service that is out of reach may be delegated.
    pub fn may_delegate(&self, now: Time, service: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(|known| known.lost_since.is_some() && known.pause.is_over(now))
    }

    /// Records whether a peer that was asked to serve a call of a service reached a replica.
    pub fn record_delegation(&mut self, now: Time, service: &str, reached: bool) {
        if let Some(known) = self.services.get_mut(service) {
            known.pause.record(now, reached, MAX_DELEGATION_PAUSE);
        }
    }
}
