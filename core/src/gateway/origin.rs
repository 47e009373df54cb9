//! Origins of streams: the replica and the build that began a stream.
//!
//! A caller may resume a stream at any gateway, often because its own was killed, stopped or cut off.
//! While a service may have several builds, the gateway that forwards the first event of a stream
//! replicates the origin to some others before the event, so that the origin outlives it. The id of
//! the call determines these holders: a gateway at which a caller resumes the stream queries them.
//! While a service has had one build for as long as streams last, no event waits for that. The streams of
//! that time are replicated once another build is listed, or once this gateway's lists are stale. As the
//! gateway may end just then, it backs their origins up at one other gateway in batches before. It does
//! so in small fleets alone, in which a resumption queries all gateways.
//!
//! An origin is certain once it is shown that the stream's connection led to the listed incarnation of its
//! replica. Until then it is passed on with that incarnation, for whose confirmation each gateway waits
//! by its own lists; afterwards with the build alone.
//!
//! Replicas of an origin end with their gateways. What must outlive all gateways is also stored: the
//! builds of replicated streams, in batches, and which builds each service has had for as long as
//! streams last.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::build::Build;
use crate::incarnation::Digest;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

/// Most origins that a gateway keeps; the oldest are dropped.
const MAX_RECORDS: usize = 200_000;
/// Replica of an origin of which only the build counts.
pub const NO_REPLICA: Digest = Digest(0);

/// Largest fleet whose gateways store origins. In a larger one the bound on batches makes the time
/// between those of a gateway longer than most streams last, and readers of the store would still get
/// all of them.
const MAX_STORING_GATEWAYS: usize = 64;
/// Origins a second that all gateways store together. Each reader of the store gets all of them: with
/// many more, they would take its link and its memory. Of the streams of a fleet that begins more, most
/// can't be resumed after all gateways have ended.
const MAX_STORED_PER_SEC: usize = 500;
/// Batches of origins a second that all gateways store together, a fifth of the writes that a store of a
/// small fleet takes.
const MAX_BATCHES_PER_SEC: u64 = 80;
/// Batches that may wait to be stored after a burst at one gateway.
const MAX_WAITING_BATCHES: usize = 10;
/// Shortest time from one batch of a gateway to the next. Streams that began since the last batch are
/// lost if all gateways end.
const MIN_BATCH_INTERVAL: Span = Span::millis(100);

/// Hash of the id of a caller's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Call(pub u64);

impl Call {
    /// The attempt with this id.
    pub fn of(id: &[u8]) -> Call {
        Call(rendezvous::hash(&[id]))
    }
}

/// What began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Incarnation of the replica.
    pub replica: Digest,
    /// Build of the replica, if its entry stated one.
    pub build: Option<Build>,
}

impl Origin {
    /// The origin of a stream that a replica of this build began for certain.
    pub fn of_build(build: Build) -> Origin {
        Origin { replica: NO_REPLICA, build: Some(build) }
    }

    /// This origin without its replica, once it is certain that this one began the stream. Without a
    /// build the replica stays, as the stream goes on there alone.
    pub fn confirmed(self) -> Origin {
        self.build.map_or(self, Origin::of_build)
    }

    /// Whether nothing has to show that the replica began the stream.
    pub fn is_confirmed(&self) -> bool {
        self.replica == NO_REPLICA
    }
}

/// Origin of a stream, as gateways pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The attempt that brought the first event.
    pub call: Call,
    /// What began the stream.
    pub origin: Origin,
}

/// Build of a stream as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The attempt that brought the first event.
    pub call: Call,
    /// Build of the replica that began it.
    pub build: Build,
}

/// Builds that each service has had for as long as streams last, as they are stored. A service that is
/// missing has never been seen. One without a build has had replicas that stated none.
pub type Builds = BTreeMap<String, BTreeSet<Build>>;

/// Time from one batch of stored origins to the next of a gateway among so many.
pub fn batch_interval(gateways: usize) -> Span {
    let interval = Span(Span::secs(gateways as u64).0 / MAX_BATCHES_PER_SEC);
    interval.max(MIN_BATCH_INTERVAL)
}

/// Most origins in a batch of a gateway among so many; 0 if they store none.
pub fn max_batch(gateways: usize) -> usize {
    if gateways > MAX_STORING_GATEWAYS {
        return 0;
    }
    let millis = batch_interval(gateways).as_millis() as usize;
    (MAX_STORED_PER_SEC * millis / 1_000).div_ceil(gateways.max(1))
}

/// Query for the origin of a stream that a caller resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The attempt that brought the first event.
    pub call: Call,
    /// Short hash of the service's name.
    pub service: u32,
}

/// What a gateway knows of the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// What began the stream.
    Known(Origin),
    /// The service has had only this build for as long as streams last.
    Only(Option<Build>),
    /// Nothing.
    Unknown,
}

/// A stream that this gateway began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Own {
    /// Short hash of the service's name.
    pub service: u32,
    /// Whether the origin was sent to other gateways.
    pub is_replicated: bool,
    /// Time at which the connection to its replica was opened.
    pub opened: Time,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Time,
    origin: Origin,
    /// `None` if another gateway began the stream.
    own: Option<Own>,
}

impl Entry {
    fn known(&self) -> Known {
        let opened = self.own.map_or(self.at, |own| own.opened);
        Known { origin: self.origin, opened }
    }
}

/// The origin of a stream in a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// What began the stream.
    pub origin: Origin,
    /// Latest time at which the connection to its replica can have been opened.
    pub opened: Time,
}

/// Origins that this gateway knows: of its own streams and of those of others.
#[derive(Debug, Default)]
pub struct Table {
    entries: BTreeMap<Call, Entry>,
    /// Calls in the order of their records.
    order: VecDeque<(Time, Call)>,
    /// Own streams whose origins were not replicated, by service.
    unreplicated: BTreeSet<(u32, Call)>,
    /// Own streams whose origins were neither replicated nor backed up with certainty. The value says
    /// whether the origin was backed up while it was pending.
    unbacked: BTreeMap<Call, bool>,
    /// Own streams whose origins were replicated and not stored, in the order of their records.
    unstored: VecDeque<Call>,
}

impl Table {
    /// Records the origin of a stream, which this gateway began or another one.
    pub fn record(&mut self, now: Time, record: &Record, own: Option<Own>) {
        let Record { call, origin } = *record;
        let before = self.entries.insert(call, Entry { at: now, origin, own });
        if let Some(Own { service, .. }) = before.and_then(|entry| entry.own) {
            self.unreplicated.remove(&(service, call));
            self.unbacked.remove(&call);
        }
        self.order.push_back((now, call));
        match own {
            Some(Own { service, is_replicated: false, .. }) => {
                self.unreplicated.insert((service, call));
                self.unbacked.insert(call, false);
            }
            Some(_) => self.unstored.push_back(call),
            None => {}
        }
    }

    /// Drops origins from before `oldest`.
    pub fn sweep(&mut self, oldest: Time) {
        while let Some((at, call)) = self.order.front().copied()
            && (at < oldest || self.order.len() > MAX_RECORDS)
        {
            self.order.pop_front();
            // A later record of the same call stays.
            if let Some(entry) = self.entries.get(&call).filter(|entry| entry.at <= at) {
                if let Some(own) = entry.own {
                    self.unreplicated.remove(&(own.service, call));
                    self.unbacked.remove(&call);
                }
                self.entries.remove(&call);
            }
        }
    }

    /// Origin of a stream, and the latest time at which the connection to its replica can have been
    /// opened.
    pub fn get(&self, call: Call) -> Option<(Time, Origin)> {
        self.known(call).map(|known| (known.opened, known.origin))
    }

    /// What is known of the origin of a stream.
    pub fn known(&self, call: Call) -> Option<Known> {
        self.entries.get(&call).map(Entry::known)
    }

    /// Short hashes of the services with own streams whose origins were not replicated.
    pub fn unreplicated_services(&self) -> BTreeSet<u32> {
        self.unreplicated.iter().map(|(service, _)| *service).collect()
    }

    /// Takes the origins of own streams of a service that were not replicated yet.
    pub fn take_unreplicated(&mut self, service: u32) -> Vec<(Call, Known)> {
        let first = (service, Call(0));
        let calls: Vec<(u32, Call)> =
            self.unreplicated.range(first..=(service, Call(u64::MAX))).copied().collect();
        let mut records = Vec::new();
        for key in calls {
            self.unreplicated.remove(&key);
            self.unbacked.remove(&key.1);
            if let Some(entry) = self.entries.get_mut(&key.1)
                && let Some(own) = &mut entry.own
            {
                own.is_replicated = true;
                self.unstored.push_back(key.1);
                records.push((key.1, entry.known()));
            }
        }
        records
    }

    /// Origins of own streams that were neither replicated nor backed up with certainty. The flag says
    /// whether the origin was backed up while it was pending.
    pub fn unbacked(&self) -> impl Iterator<Item = (Call, Known, bool)> {
        let known = |(call, is_sent): (&Call, &bool)| {
            Some((*call, self.entries.get(call)?.known(), *is_sent))
        };
        self.unbacked.iter().filter_map(known)
    }

    /// Records that the origin of an own stream was backed up.
    pub fn record_backup(&mut self, call: Call) {
        if let Some(is_sent) = self.unbacked.get_mut(&call) {
            *is_sent = true;
        }
    }

    /// Records that the origin of an own stream needs no further backup.
    pub fn end_backup(&mut self, call: Call) {
        self.unbacked.remove(&call);
    }

    /// Takes the oldest origins of own streams that were replicated and not stored, `max_count` at most.
    /// Beyond some batches the oldest ones are never stored.
    pub fn take_unstored(&mut self, max_count: usize) -> Vec<(Call, Known)> {
        let excess = self.unstored.len().saturating_sub(MAX_WAITING_BATCHES * max_count);
        self.unstored.drain(..excess);
        let calls = self.unstored.drain(..max_count.min(self.unstored.len()));
        let known = calls.filter_map(|call| Some((call, self.entries.get(&call)?.known())));
        known.collect()
    }

    /// Replicated origins of own streams.
    pub fn replicated(&self) -> impl Iterator<Item = (Call, Known)> {
        let replicated =
            self.entries.iter().filter(|(_, entry)| entry.own.is_some_and(|o| o.is_replicated));
        replicated.map(|(call, entry)| (*call, entry.known()))
    }
}
