//! Places at replicas: requests for them, the queues of the replicas that this gateway owns, and
//! the tickets of refused calls.
//!
//! See [`crate::gateway::admission`].

use super::Gateway;
use super::Grant;
use super::Pick;
use crate::gateway::admission::Answer;
use crate::gateway::admission::Decision;
use crate::gateway::admission::PLAIN_MS;
use crate::gateway::admission::Query;
use crate::gateway::admission::Request;
use crate::gateway::admission::service::MAX_REPLICAS;
use crate::gateway::admission::service::Member;
use crate::gateway::config::Config;
use crate::gateway::directory;
use crate::gateway::fingerprint::Fingerprint;
use crate::gateway::fleet::Fleet;
use crate::gateway::occupancy::Change;
use crate::gateway::occupancy::Snapshot;
use crate::gateway::occupancy::Update;
use crate::incarnation::Digest;
use crate::time::Span;
use crate::time::Time;

/// Calls beyond the slots of a replica that it gets, as a divisor of its slots. They start while the
/// next grants travel; without them, each freed slot is idle for a round trip.
const READY_DIVISOR: usize = 8;
/// The same for calls above the lowest rank at engines, which preempt others: half of a batch.
const PREEMPTING_DIVISOR: usize = 2;
/// Upper bound on the slots of a replica; more count as this many.
const MAX_SLOTS: u16 = u16::MAX / 4;

/// Whether all replicas of a service have one owner: those of a plain service with few replicas.
fn has_one_owner(config: Option<&Config>, fleet: &Fleet, service: &str) -> bool {
    let is_plain = config.and_then(|c| c.service(service)).is_some_and(|s| s.engine.is_none());
    is_plain && fleet.open_replicas(service).count() <= MAX_REPLICAS
}

/// Short hash of the service of a replica, if all replicas of the service have one owner.
fn service_of(config: Option<&Config>, fleet: &Fleet, replica: Digest) -> Option<u32> {
    let (_, replica) = fleet.replica(replica)?;
    let service = replica.listing.service.as_str();
    has_one_owner(config, fleet, service).then(|| directory::short_hash(service))
}

/// Key by which the owner of a replica is found.
pub(super) fn owner_key(config: Option<&Config>, fleet: &Fleet, replica: Digest) -> Digest {
    service_of(config, fleet, replica).map_or(replica, Digest)
}

impl Gateway {
    /// Whether a call may wait for a place, if the settings let calls wait. Further attempts and streams that go on with an origin
    /// are sent as soon as a replica is chosen, and the delegate of a call does not let it wait.
    pub(super) fn may_queue(&self, grant: &Grant) -> bool {
        let may_queue = match self.has_one_owner(&grant.service) {
            true => self.settings.queues_services,
            false => self.settings.queues_calls,
        };
        may_queue && grant.attempts == 0 && grant.origin.is_none() && !grant.is_delegated
    }

    /// The request for a place that a call needs before it is sent to its replica; `None` if it
    /// needs none, or no owner can give it. `is_refused` says whether the call would otherwise be
    /// refused for overload. Gives the claim its number, by which the owner knows the call.
    pub fn place_query(
        &mut self,
        now: Time,
        grant: &Grant,
        pick: &mut Pick,
        is_refused: bool,
    ) -> Option<Query> {
        let replica = self.fleet.get(pick.claim.replica)?;
        if !pick.claim.from_snapshot
            || !self.may_queue(grant)
            || self.fleet.has_other_rules(now, replica)
        {
            return None;
        }
        let config = self.config.as_ref()?;
        let engine = config.service(&grant.service).and_then(|service| service.engine);
        let slots = engine.map_or(replica.listing.slots, |engine| engine.slots).max(1);
        let slots = slots.min(u32::from(MAX_SLOTS)) as usize;
        let is_lowest_rank =
            engine.is_none() || config.has_lowest_rank(&grant.route, &grant.service);
        let max_calls = match (is_lowest_rank, grant.rank.route) {
            (true, _) => slots + slots.div_ceil(READY_DIVISOR),
            // Engines start these before all others.
            (false, 0) => usize::from(u16::MAX),
            (false, _) => slots + slots.div_ceil(PREEMPTING_DIVISOR),
        };
        let objective_ms = grant.route.objective.as_secs_f64() * 1e3;
        let is_short = is_refused
            || self.has_one_owner(&grant.service)
            || pick.claim.load >= max_calls as f64
            || (is_lowest_rank && pick.claim.load >= slots as f64)
            || (is_lowest_rank && pick.engine && pick.claim.expected_ms > objective_ms);
        if !is_short {
            return None;
        }
        pick.claim.call = self.fleet.next_call();
        let prefill_ms = if pick.engine { pick.claim.prefill_ms } else { 0.0 };
        let bias_ms = self.bias_ms(&grant.service)[usize::from(pick.claim.in_pool)];
        let taken_ms = if pick.engine { prefill_ms + bias_ms } else { PLAIN_MS };
        let taken_us = (taken_ms * 1e3) as i64;
        let organisation = grant.organisation.as_deref().map_or(0, directory::short_hash);
        let replica = pick.claim.incarnation;
        let owner = self.owner_of(now, replica).map(str::to_owned);
        let request = Request {
            replica,
            call: (u64::from(self.short_hash()) << 32) | pick.claim.call,
            rank: grant.rank.route,
            organisation_rank: grant.rank.organisation,
            is_lowest_rank,
            organisation,
            prefill_ms: prefill_ms as f32,
            on_time_ms: 0,
            limit_ms: 0,
            max_calls: max_calls.min(usize::from(u16::MAX)) as u16,
            slots: slots as u16,
            is_returning: false,
        };
        let on_time_until = (grant.arrived + grant.route.objective).0 as i64 - taken_us;
        let limit = Time(grant.deadline.0.saturating_add_signed(-taken_us));
        Some(Query { owner, request, on_time_until, limit })
    }

    /// The same call at another replica of its service, where it was granted a place; `None` if this
    /// gateway can't send it there.
    pub fn redirect(&self, now: Time, grant: &Grant, pick: &Pick, to: Digest) -> Option<Pick> {
        let (key, replica) = self.fleet.replica(to)?;
        let may_go = self.fleet.may_get_calls(now, replica)
            && replica.listing.service == grant.service
            && !grant.tried.contains(&key);
        may_go.then(|| Pick {
            claim: pick.claim.at(key, to),
            id: replica.listing.incarnation.id.clone(),
            address: replica.listing.address.clone(),
            build: replica.listing.build.clone(),
            ..pick.clone()
        })
    }

    /// Answers a request for a place at a replica that this gateway owns.
    pub fn join_queue(&mut self, now: Time, request: &Request) -> Answer {
        if let Some(service) = self.service_of(request.replica) {
            return match self.members(now, service) {
                Some(members) => self.service_queues.join(now, service, request, &members),
                None => Answer::Unknown,
            };
        }
        match self.owned_occupancy(now, request.replica) {
            Some(occupancy) => self.queues.join(now, request, &occupancy),
            None => Answer::Unknown,
        }
    }

    /// Records that a call, known by its number, no longer waits for a place and does not use one
    /// that it was granted.
    pub fn leave_queue(&mut self, now: Time, replica: Digest, call: u64) {
        match self.service_of(replica) {
            Some(service) => self.service_queues.close(now, service, call),
            None => self.queues.close(now, replica, call),
        }
    }

    /// Decides on all calls that wait at the replicas of this gateway; returns the decisions to send.
    pub fn decide_queues(&mut self, now: Time) -> Vec<Decision> {
        let mut queues = std::mem::take(&mut self.queues);
        let mut decisions = queues.decide(now, |replica| self.owned_occupancy(now, replica));
        self.queues = queues;
        let mut queues = std::mem::take(&mut self.service_queues);
        decisions.extend(queues.decide(now, |service| self.members(now, service)));
        self.service_queues = queues;
        decisions
    }

    /// Whether calls wait at replicas of this gateway.
    pub fn has_queued(&self) -> bool {
        self.queues.is_active() || self.service_queues.is_active()
    }

    /// Number of calls that wait at replicas of this gateway.
    pub fn queued(&self) -> usize {
        self.queues.waiting() + self.service_queues.waiting()
    }

    /// Whether all replicas of a service have one owner.
    pub(super) fn has_one_owner(&self, service: &str) -> bool {
        has_one_owner(self.config.as_deref(), &self.fleet, service)
    }

    /// Whether the owner of a service counts the calls to it: it is short of places, and all of its
    /// replicas have one owner.
    pub(super) fn is_counted(&self, now: Time, service: &str) -> bool {
        self.settings.queues_services
            && self.has_one_owner(service)
            && self.fleet.is_scarce(now, service)
    }

    /// Address of the gateway that counts the calls at a replica; `None` if it is this one.
    pub(super) fn owner_of(&self, now: Time, replica: Digest) -> Option<&str> {
        let key = owner_key(self.config.as_deref(), &self.fleet, replica);
        let owner = self.directory.owner(now, &self.settings.entry.name, key);
        owner.map(|(_, address)| address)
    }

    /// Occupancy of a replica, if it is open and this gateway owns it and knows its calls.
    fn owned_occupancy(&mut self, now: Time, replica: Digest) -> Option<Snapshot> {
        self.fleet.open_replica(replica)?;
        let is_owned = self.owner_of(now, replica).is_none();
        if is_owned { self.occupancy_of(now, replica) } else { None }
    }

    /// Short hash of the service of a replica, if all replicas of the service have one owner.
    fn service_of(&self, replica: Digest) -> Option<u32> {
        service_of(self.config.as_deref(), &self.fleet, replica)
    }

    /// The replicas of a service that this gateway owns and whose calls it knows; `None` if there is
    /// none.
    fn members(&mut self, now: Time, service: u32) -> Option<Vec<Member>> {
        let name = self.fleet.services().find(|name| directory::short_hash(name) == service)?;
        let places = self.fleet.places(now, name);
        let mut members = Vec::with_capacity(places.len());
        for (replica, slots) in places {
            let Some(snapshot) = self.owned_occupancy(now, replica) else {
                continue;
            };
            members.push(Member {
                replica,
                calls: snapshot.calls,
                slots: slots.clamp(1, u32::from(MAX_SLOTS)) as u16,
                run_ms: self.occupancy.run_ms(replica),
                limit: self.occupancy.failing_limit(now, replica),
            });
        }
        (!members.is_empty()).then_some(members)
    }

    /// Occupancy of a listed replica by the count of this gateway.
    pub(super) fn occupancy_of(&mut self, now: Time, replica: Digest) -> Option<Snapshot> {
        let service = self.fleet.open_replica(replica).map(|r| r.listing.service.as_str());
        let is_plain = service.is_some_and(|service| {
            let config = self.config.as_ref();
            config.and_then(|c| c.service(service)).is_some_and(|s| s.engine.is_none())
        });
        match is_plain {
            true => self.occupancy.plain_snapshot(now, replica),
            false => self.occupancy.snapshot(now, replica),
        }
    }

    /// A snapshot that also counts the calls that wait or were granted a place, so that calls which
    /// come later do not go before them.
    pub(super) fn with_queue(&self, snapshot: Snapshot) -> Snapshot {
        let load = self.queues.load(snapshot.engine);
        let calls = usize::from(snapshot.calls) + load.waiting + load.reserved;
        Snapshot {
            calls: calls.min(usize::from(u16::MAX)) as u16,
            pending_prefill_ms: snapshot.pending_prefill_ms + load.prefill_ms as f32,
            ..snapshot
        }
    }

    /// Frees the reserved place of a call that was sent: the occupancy counts it from now on. The
    /// queue of its replica is decided on again.
    pub(super) fn close_queued(&mut self, now: Time, update: &Update) {
        if matches!(update.change, Change::Sent(_) | Change::Ended) {
            self.leave_queue(now, update.engine, update.call);
        }
        match self.service_of(update.engine) {
            Some(service) => self.service_queues.touch(service),
            None => self.queues.touch(update.engine),
        }
    }

    /// Address of the gateway that keeps the ticket of a request; `None` if it is this one.
    pub fn ticket_holder(&self, now: Time, fingerprint: Fingerprint) -> Option<String> {
        let key = Digest((fingerprint.0 ^ (fingerprint.0 >> 32)) as u32);
        let holder = self.directory.owner(now, &self.settings.entry.name, key);
        holder.map(|(_, address)| address.to_owned())
    }

    /// Records that a call was refused `age` after its first arrival.
    pub fn put_ticket(&mut self, now: Time, fingerprint: Fingerprint, age: Span) {
        self.tickets.put(now, fingerprint, age);
    }

    /// Takes the ticket of a call that may have returned: the time since its first arrival.
    pub fn take_ticket(&mut self, now: Time, fingerprint: Fingerprint) -> Option<Span> {
        self.tickets.take(now, fingerprint)
    }

    /// Address for datagrams of the gateway that sent a request for this call; `None` if it is this
    /// gateway or an unknown one.
    pub fn requester(&self, call: u64) -> Option<&str> {
        self.directory.address((call >> 32) as u32)
    }

    /// Whether this gateway sent the request for this call.
    pub fn is_own_request(&self, call: u64) -> bool {
        (call >> 32) as u32 == self.short_hash()
    }
}
