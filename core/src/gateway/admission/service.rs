//! Queues of the calls that wait for a place at any replica of a service.
//!
//! A queue of one replica makes its calls wait there although another one has a free place sooner.
//! The replicas of a service with few of them therefore have one owner, which takes their places
//! together: [`queue::Queue`] decides on the order of the calls as at one large replica, and each granted
//! call goes to the replica where it is expected to end first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Answer;
use super::Decision;
use super::PLAIN_MS;
use super::Request;
use super::queue;
use super::table::CHECK_INTERVAL;
use crate::gateway::occupancy::Snapshot;
use crate::incarnation::Digest;
use crate::time::Time;

/// Upper bound on the replicas of a service with one owner, which gets the messages of all calls to
/// the service while it is short of places.
pub const MAX_REPLICAS: usize = 12;
/// Calls beyond the slots of a replica that it gets, as a divisor of its slots. They start while the
/// next grants travel; without them, each freed slot is idle for a round trip.
const READY_DIVISOR: u16 = 8;
/// Time from the grant of a place to the start of its call at the replica, in milliseconds.
const GRANT_MS: i32 = 10;
/// Upper bound on the time that a call takes at a replica, in milliseconds.
const MAX_RUN_MS: f64 = 10_000.0;
/// Lower bound on the time that a call takes at a replica, in milliseconds.
const MIN_RUN_MS: f64 = 1.0;

/// A replica whose places a queue grants.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Calls of all gateways at the replica, without those that were granted a place and not sent.
    pub calls: u16,
    /// Calls that the replica runs at a time.
    pub slots: u16,
    /// Time that a call takes at the replica, in milliseconds.
    pub run_ms: f64,
    /// Calls up to which the replica gets more because calls break off there; `None` if they do not.
    pub limit: Option<u16>,
}

impl Member {
    /// Calls up to which the replica gets more.
    fn max_calls(&self) -> u16 {
        let most = self.slots.saturating_add(self.slots.div_ceil(READY_DIVISOR));
        self.limit.map_or(most, |limit| limit.min(most))
    }

    /// Expected time until the end of a call that is sent behind `calls` others, in milliseconds.
    fn expected_ms(&self, calls: u16) -> f64 {
        let rounds = f64::from(calls + 1) / f64::from(self.slots.max(1));
        self.run_ms.max(MIN_RUN_MS) * rounds.max(1.0)
    }
}

/// Queue of one service.
#[derive(Debug, Default)]
pub struct Queue {
    calls: queue::Queue,
    /// Replicas at which the calls with a reserved place have it.
    granted: BTreeMap<u64, Digest>,
}

impl Queue {
    /// Adds a call, or refreshes it if it waits already. [`Queue::decide`] then grants places.
    pub fn join(&mut self, now: Time, request: &Request, members: &[Member]) -> Answer {
        let members = &without_common_limits(members)[..];
        let slots = members.iter().fold(0, |sum: u16, member| sum.saturating_add(member.slots));
        let on_time_ms = request.on_time_ms.saturating_sub(extra_ms(members));
        let request = Request { max_calls: max_calls(members), slots, on_time_ms, ..*request };
        let occupancy = self.occupancy(now, members);
        let answer = self.calls.join(now, &request, &occupancy);
        match (answer, self.granted.get(&request.call)) {
            (Answer::Granted, Some(replica)) => Answer::GrantedAt(*replica),
            (answer, _) => answer,
        }
    }

    /// Records that a call was sent or has left.
    pub fn close(&mut self, now: Time, call: u64) {
        self.calls.close(now, call);
        self.granted.remove(&call);
    }

    /// Grants free places and refuses the calls that can't start in time.
    pub fn decide(&mut self, now: Time, members: &[Member]) -> Vec<Decision> {
        let members = &without_common_limits(members)[..];
        self.calls.set_max_calls(max_calls(members));
        let occupancy = self.occupancy(now, members);
        let decisions = self.calls.decide(now, &occupancy);
        decisions
            .into_iter()
            .map(|(call, answer)| (call, self.place(call, answer, members)))
            .collect()
    }

    /// Ends all waiting, because this gateway can't decide on it.
    pub fn dissolve(&mut self) -> Vec<Decision> {
        self.granted.clear();
        self.calls.dissolve()
    }

    /// Number of calls that wait.
    pub fn waiting(&self) -> usize {
        self.calls.load().waiting
    }

    /// Calls that were granted a place at a replica and are not counted there.
    fn reserved(&self, replica: Digest) -> u16 {
        self.granted.values().filter(|granted| **granted == replica).count() as u16
    }

    /// Whether nothing of the queue matters any longer at `now`.
    pub fn is_idle(&self, now: Time) -> bool {
        self.calls.is_idle(now)
    }

    /// The replica of a granted call: the one where it is expected to end first.
    fn place(&mut self, call: u64, answer: Answer, members: &[Member]) -> Answer {
        if answer != Answer::Granted {
            return answer;
        }
        let expected = |member: &&Member| {
            let calls = member.calls.saturating_add(self.reserved(member.replica));
            (calls >= member.max_calls(), member.expected_ms(calls), calls)
        };
        let first = members.iter().min_by(|a, b| {
            let (a, b) = (expected(a), expected(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2))
        });
        let Some(first) = first else {
            return Answer::Unknown;
        };
        self.granted.insert(call, first.replica);
        Answer::GrantedAt(first.replica)
    }

    /// Occupancy of all members together, without the reserved places.
    fn occupancy(&mut self, now: Time, members: &[Member]) -> Snapshot {
        let calls = &self.calls;
        self.granted.retain(|call, _| calls.is_reserved(now, *call));
        let taken = members.iter().map(|member| {
            let calls = member.calls.saturating_add(self.reserved(member.replica));
            usize::from(calls.min(member.max_calls()))
        });
        let taken = taken.sum::<usize>().saturating_sub(self.granted.len());
        let sound = members.iter().filter(|member| member.limit.is_none());
        let ends_per_ms = sound.map(|m| f64::from(m.slots) / m.run_ms.max(MIN_RUN_MS));
        Snapshot {
            engine: Digest(0),
            calls: taken.min(usize::from(u16::MAX)) as u16,
            pending_prefill_ms: 0.0,
            interval_ms: (1.0 / ends_per_ms.sum::<f64>().max(f64::MIN_POSITIVE)).min(1e3) as f32,
            pace: 0,
            cached_tokens: None,
            ranks: None,
            memory: None,
        }
    }
}

/// The members without their limits if all have one: else no call would be served.
fn without_common_limits(members: &[Member]) -> Vec<Member> {
    let are_all_limited = members.iter().all(|member| member.limit.is_some());
    let limit = |member: &Member| member.limit.filter(|_| !are_all_limited);
    members.iter().map(|member| Member { limit: limit(member), ..*member }).collect()
}

/// Time by which a call must be sent earlier than its gateway states, which knows neither how slow
/// the replicas are nor how long a grant takes, in milliseconds.
fn extra_ms(members: &[Member]) -> i32 {
    let fastest_ms = members.iter().map(|member| member.run_ms).fold(MAX_RUN_MS, f64::min);
    (fastest_ms - PLAIN_MS).max(0.0) as i32 + GRANT_MS
}

fn max_calls(members: &[Member]) -> u16 {
    members.iter().fold(0, |sum: u16, member| sum.saturating_add(member.max_calls()))
}

/// The queues of the services that this gateway owns, by the short hash of the service's name.
#[derive(Debug, Default)]
pub struct Table {
    queues: BTreeMap<u32, Queue>,
    /// Services at which something has changed since the last decision.
    changed: BTreeSet<u32>,
    /// Time of the last decision on all queues.
    checked: Time,
    /// Decisions on other calls than the one that was asked for, to be sent.
    decided: Vec<Decision>,
}

impl Table {
    /// Answers a request for a place at a service with these replicas.
    pub fn join(
        &mut self,
        now: Time,
        service: u32,
        request: &Request,
        members: &[Member],
    ) -> Answer {
        let queue = self.queues.entry(service).or_default();
        let answer = queue.join(now, request, members);
        self.decided.extend(queue.decide(now, members));
        match self.decided.iter().position(|(call, _)| *call == request.call) {
            Some(at) => self.decided.swap_remove(at).1,
            None => answer,
        }
    }

    /// Records that a call was sent or has left; its place is reserved no longer.
    pub fn close(&mut self, now: Time, service: u32, call: u64) {
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.close(now, call);
            self.changed.insert(service);
        }
    }

    /// Records that the occupancy of a replica has changed.
    pub fn touch(&mut self, service: u32) {
        if self.queues.contains_key(&service) {
            self.changed.insert(service);
        }
    }

    /// Decides on the calls that wait at services where something has changed, and on all others in
    /// each [`CHECK_INTERVAL`]; `members` is `None` for a service that this gateway does not own, or
    /// whose calls it does not know. Returns the decisions to send.
    pub fn decide(
        &mut self,
        now: Time,
        mut members: impl FnMut(u32) -> Option<Vec<Member>>,
    ) -> Vec<Decision> {
        let mut decided = std::mem::take(&mut self.decided);
        let changed = std::mem::take(&mut self.changed);
        let is_due = now.since(self.checked) >= CHECK_INTERVAL;
        if is_due {
            self.checked = now;
        }
        self.queues.retain(|service, queue| {
            if !is_due && !changed.contains(service) {
                return true;
            }
            match members(*service) {
                Some(members) => decided.extend(queue.decide(now, &members)),
                None => decided.extend(queue.dissolve()),
            }
            !queue.is_idle(now)
        });
        decided
    }

    /// Number of calls that wait at all services.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(Queue::waiting).sum()
    }

    /// Whether there are decisions to make or to send.
    pub fn is_active(&self) -> bool {
        !self.decided.is_empty() || self.queues.values().any(|queue| queue.waiting() > 0)
    }
}
