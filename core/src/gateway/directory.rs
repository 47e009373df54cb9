//! Directory of the gateways: which are live, which accept callers, and which have a role for all.
//!
//! The directory combines the list of entries in the store with heartbeats between gateways. The
//! list needs no gateway to be up, but it lags and may be unreachable. Heartbeats are fast, but
//! some are lost. The roles (readers, decider, owners of engines) follow from the set of live
//! gateways alone, so that gateways with the same view agree on them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use crate::gateway::gossip::Demand;
use crate::gateway::gossip::Demands;
use crate::gateway::gossip::Observation;
use crate::gateway::plan::Plan;
use crate::gateway::prefill;
use crate::gateway::quarantine;
use crate::incarnation::Digest;
use crate::rendezvous;
use crate::time::Span;
use crate::time::Time;

/// Time without a heartbeat after which a gateway counts as dead and gets no new callers. It covers
/// several heartbeats, so that a few lost datagrams do not matter.
const LIVENESS_TIMEOUT: Span = Span::millis(1_800);
/// Time after its last entry or heartbeat in which a gateway counts as sharing the retry budget.
const RETENTION: Span = Span::secs(20);
/// Number of gateways in the caller's failure domain from which on no others are returned.
const ENOUGH_LOCAL: usize = 2;
/// Upper bound on a gateway's share of its failure domain's callers, in multiples of its usual one.
const MAX_LOCAL_OVERLOAD: u64 = 2;
/// Least number of readers, the gateways that read the store for all: two may fail at a time.
const MIN_READERS: usize = 3;
/// Divisor of the square root of the fleet's size that gives the number of additional readers. Each
/// reader calls the store and answers the proof requests of its part of the fleet; with the square
/// root both loads grow alike. With 295 gateways, 7 readers answer 80 proof requests a second each;
/// half as many readers would answer twice as many.
const READER_DIVISOR: usize = 4;
/// Number of gateways from which on a fleet is large: heartbeats alone do not tell a gateway which
/// of the others are live, so readers collect and pass on their liveness.
pub const LARGE_FLEET: usize = 400;
/// Upper bound on the addresses returned to a caller.
const MAX_ADDRESSES: usize = 16;

/// Entry of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Name, unique among the gateways.
    pub name: String,
    /// Address that callers connect to.
    pub address: String,
    /// Address for messages of other gateways.
    pub peer_address: String,
    /// Failure domain.
    pub domain: String,
    /// Number of its incarnation, higher than that of any earlier one.
    pub incarnation: u64,
    /// Capacity relative to other gateways.
    pub weight: u32,
}

/// Message that each gateway sends to some others in every round.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// Entry of the sender.
    pub entry: Entry,
    /// Demand of gateways, beginning with the sender's own.
    pub demands: Vec<Demand>,
    /// Loads of replicas that any gateway observed.
    pub loads: Vec<Observation>,
    /// Prefill estimates of services.
    #[serde(rename = "paces")]
    pub prefill: Vec<prefill::Estimate>,
    /// Plans in force, one for each service.
    pub plans: Vec<Plan>,
    /// Recent records of the quarantine.
    #[serde(rename = "suspects")]
    pub quarantine: Vec<quarantine::Record>,
    /// Version of the sender's configuration.
    pub version: u64,
    /// Age of the sender's proof that its configuration is current, in microseconds.
    pub proof_age: Option<u64>,
}

/// The gateways that read the store for all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Readers {
    /// Addresses of the other readers in this gateway's failure domain.
    pub local: Vec<String>,
    /// Addresses of the readers in other failure domains.
    pub remote: Vec<String>,
    /// Whether this gateway is a reader.
    pub is_own: bool,
}

impl Readers {
    /// Whether there is no other reader.
    pub fn is_empty(&self) -> bool {
        self.local.is_empty() && self.remote.is_empty()
    }

    /// Addresses of all other readers.
    pub fn addresses(&self) -> impl Iterator<Item = &String> {
        self.local.iter().chain(&self.remote)
    }
}

#[derive(Debug)]
struct Member {
    entry: Entry,
    short_hash: u32,
    listed: bool,
    open: bool,
    /// Time of the newest heartbeat, received or relayed by another gateway.
    last_heartbeat: Option<Time>,
    /// Time when the gateway was last listed or sent a heartbeat.
    last_seen: Time,
    /// Time when this incarnation was first seen.
    first_seen: Time,
}

impl Member {
    /// Whether the gateway may run although it has not sent a heartbeat yet. Without these, all
    /// gateways that start together would be readers until they have received heartbeats.
    fn is_starting(&self, now: Time) -> bool {
        self.last_heartbeat.is_none() && now.since(self.first_seen) < LIVENESS_TIMEOUT
    }

    fn is_live(&self, now: Time) -> bool {
        self.last_heartbeat.is_some_and(|at| now.since(at) < LIVENESS_TIMEOUT)
    }
}

/// All other gateways with a recent entry or heartbeat.
#[derive(Debug, Default)]
pub struct Directory {
    members: BTreeMap<String, Member>,
    demands: Demands,
}

/// Short hash of a name, which identifies a gateway or a service in messages between gateways.
pub fn short_hash(name: &str) -> u32 {
    rendezvous::hash(&[name.as_bytes()]) as u32
}

/// Whether a gateway is among the first `count` of `live` that hold copies under a key, as
/// [`Directory::holders`] ranks them. Most gateways are not, and some that precede them are found early.
pub fn is_holder(live: &[u32], gateway: u32, key: u64, count: usize) -> bool {
    let score = |gateway: u32| rendezvous::score(key, u64::from(gateway));
    let own = score(gateway);
    live.iter().filter(|other| score(**other) > own).take(count).count() < count
}

impl Directory {
    /// Updates the directory by the list in the store.
    pub fn update(&mut self, now: Time, entries: Vec<Entry>) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for entry in entries {
            let member = self.member(now, entry);
            member.listed = true;
            member.last_seen = now;
        }
        self.members.retain(|_, m| now.since(m.last_seen) < RETENTION);
    }

    /// Adds gateways that are known from elsewhere before they are listed.
    pub fn add(&mut self, now: Time, entries: impl IntoIterator<Item = Entry>) {
        for entry in entries {
            self.member(now, entry);
        }
    }

    /// Merges a heartbeat.
    pub fn receive(&mut self, now: Time, heartbeat: &Heartbeat) {
        let member = self.member(now, heartbeat.entry.clone());
        if heartbeat.entry.incarnation < member.entry.incarnation {
            return;
        }
        member.last_seen = now;
        self.demands.receive(now, &heartbeat.demands);
        for member in self.members.values_mut() {
            if let Some((at, open)) = self.demands.latest(member.short_hash)
                && member.last_heartbeat.is_none_or(|last| last < at)
            {
                member.last_heartbeat = Some(at);
                member.last_seen = member.last_seen.max(at);
                member.open = open;
            }
        }
    }

    /// Merges the demand of a gateway that this one heard from directly.
    pub fn receive_demand(&mut self, now: Time, demand: Demand) {
        self.demands.receive(now, &[demand]);
        let member = self.members.values_mut().find(|m| m.short_hash == demand.gateway);
        if let Some(member) = member {
            member.last_heartbeat = member.last_heartbeat.max(Some(now));
            member.last_seen = now;
            member.open = demand.open;
        }
    }

    /// Records at `now` that a reader reports a gateway as live. The reader's knowledge may be as
    /// old as the gateway's liveness lasts, so the report counts for half of that time.
    pub fn record_live(&mut self, now: Time, name: &str, open: bool) {
        let at = Some(now - Span(LIVENESS_TIMEOUT.0 / 2));
        if let Some(member) = self.members.get_mut(name)
            && member.last_heartbeat < at
        {
            member.last_heartbeat = at;
            member.last_seen = now;
            member.open = open;
        }
    }

    /// Time of a gateway's last sign of life, and whether it accepted callers then.
    pub fn last_sign(&self, name: &str) -> Option<(Time, bool)> {
        let member = self.members.get(name)?;
        Some((member.last_heartbeat?, member.open))
    }

    /// At most `limit` demands to gossip.
    pub fn gossip(&self, now: Time, limit: usize) -> Vec<Demand> {
        self.demands.gossip(now, limit)
    }

    /// Number of sensitive streams in progress at the other gateways.
    pub fn sensitive_streams(&self, now: Time) -> u32 {
        self.demands.sensitive_streams(now)
    }

    fn member(&mut self, now: Time, entry: Entry) -> &mut Member {
        let new_member = |entry: Entry| {
            let short_hash = short_hash(&entry.name);
            Member {
                entry,
                short_hash,
                listed: false,
                open: true,
                last_heartbeat: None,
                last_seen: now,
                first_seen: now,
            }
        };
        let member =
            self.members.entry(entry.name.clone()).or_insert_with(|| new_member(entry.clone()));
        if entry.incarnation > member.entry.incarnation {
            *member = new_member(entry);
        }
        member
    }

    /// Entries of all other gateways.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.members.values().map(|m| &m.entry)
    }

    /// Addresses to send heartbeats to.
    pub fn peer_addresses(&self) -> impl Iterator<Item = &str> {
        self.members.values().map(|m| m.entry.peer_address.as_str())
    }

    /// The gateways that read the store for all, as seen by the gateway with entry `own`.
    ///
    /// Readers are the live gateways of the greatest weight, whose links are the widest and whose
    /// proofs the most recent. Gateways of equal weight are taken from each failure domain in turn,
    /// so that differences seldom cross domains, and then by hash. If views differ for a moment, a
    /// gateway at worst reads the store once too often, or requests a proof from a gateway that is
    /// no reader itself.
    ///
    /// A gateway of a large fleet to which most others seem dead has more likely lost its source of
    /// liveness, so it takes all known gateways for live. Otherwise hundreds of gateways that miss
    /// the answers of their readers would all become readers.
    pub fn readers(&self, now: Time, own: &Entry) -> Readers {
        let mut ranked = self.ranked(now, own);
        ranked.truncate(MIN_READERS + ranked.len().isqrt() / READER_DIVISOR);
        let mut readers = Readers::default();
        for entry in ranked {
            if entry.name == own.name {
                readers.is_own = true;
            } else if entry.domain == own.domain {
                readers.local.push(entry.peer_address.clone());
            } else {
                readers.remote.push(entry.peer_address.clone());
            }
        }
        readers
    }

    /// This gateway, with entry `own`, and the live other ones in the order of the readers.
    fn ranked<'a>(&'a self, now: Time, own: &'a Entry) -> Vec<&'a Entry> {
        let is_candidate = |m: &&Member| m.is_live(now) || m.is_starting(now);
        let is_informed = self.members.len() < LARGE_FLEET
            || 2 * self.members.values().filter(is_candidate).count() > self.members.len();
        let candidates = self.members.values().filter(|m| !is_informed || is_candidate(m));
        let mut all: Vec<(u32, &Entry)> = candidates.map(|m| (m.short_hash, &m.entry)).collect();
        all.push((short_hash(&own.name), own));
        all.sort_unstable_by_key(|(hash, entry)| (Reverse(entry.weight), *hash));
        let mut counts: BTreeMap<(u32, &str), usize> = BTreeMap::new();
        let mut ranked: Vec<_> = all
            .into_iter()
            .map(|(hash, entry)| {
                let count = counts.entry((entry.weight, &entry.domain)).or_default();
                *count += 1;
                ((Reverse(entry.weight), *count, hash), entry)
            })
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Address of the decider, the gateway that decides the plans for all: the first in the order
    /// of the readers among the live gateways that accept callers. `None` if it is this gateway, or
    /// if no gateway accepts callers. `own` is this gateway's entry if it accepts callers.
    pub fn decider(&self, now: Time, own: Option<&Entry>) -> Option<String> {
        let rank = |hash: u32, entry: &Entry| (Reverse(entry.weight), hash);
        let open = self.members.values().filter(|m| m.open && m.is_live(now));
        let first = open.min_by_key(|m| rank(m.short_hash, &m.entry))?;
        let before =
            |own: &Entry| rank(short_hash(&own.name), own) < rank(first.short_hash, &first.entry);
        (!own.is_some_and(before)).then(|| first.entry.peer_address.clone())
    }

    /// Owner of an engine, by the short hash of its name and its address for datagrams; `None` if
    /// it is this gateway, whose name is `own`.
    pub fn owner(&self, now: Time, own: &str, engine: Digest) -> Option<(u32, &str)> {
        let score = |gateway: u32| rendezvous::score(u64::from(engine.0), u64::from(gateway));
        let own = score(short_hash(own));
        let live = self.members.values().filter(|m| m.is_live(now));
        let first = live.max_by_key(|m| score(m.short_hash))?;
        let address = first.entry.peer_address.as_str();
        (score(first.short_hash) > own).then_some((first.short_hash, address))
    }

    /// Hash of the set of live gateways, which changes when owners do.
    pub fn live_hash(&self, now: Time) -> u64 {
        let live = self.members.values().filter(|m| m.is_live(now));
        live.fold(0, |hash, m| hash ^ rendezvous::score(0, u64::from(m.short_hash)))
    }

    /// Address of the gateway that issues the permits for a replica; `None` if it is this gateway,
    /// whose name is `own`.
    ///
    /// It is a live gateway that accepts callers, if there is one: a stopping gateway would take
    /// the permits with it.
    pub fn issuer(&self, now: Time, own: &str, own_open: bool, replica: Digest) -> Option<&str> {
        let score = |gateway: u32| rendezvous::score(u64::from(replica.0), u64::from(gateway));
        let rank = |open: bool, gateway: u32| (open, score(gateway));
        let live = self.members.values().filter(|m| m.is_live(now));
        let first = live.max_by_key(|m| rank(m.open, m.short_hash))?;
        let is_other = rank(first.open, first.short_hash) > rank(own_open, short_hash(own));
        is_other.then_some(first.entry.peer_address.as_str())
    }

    /// Share of the gateways that are live, including this one, among those that are live or
    /// listed.
    pub fn live_share(&self, now: Time) -> f64 {
        let live = self.members.values().filter(|m| m.is_live(now)).count();
        let known = self.members.values().filter(|m| m.listed || m.is_live(now)).count();
        (live + 1) as f64 / (known + 1) as f64
    }

    /// Rank of this gateway, with entry `own`, in the order of the readers among all live gateways;
    /// 0 is the first.
    pub fn reader_rank(&self, now: Time, own: &Entry) -> usize {
        let ranked = self.ranked(now, own);
        ranked.iter().position(|entry| entry.name == own.name).unwrap_or(ranked.len())
    }

    /// The live gateway other than `except` that holds copies for this one, whose name is `own`:
    /// the short hash of its name and its address for datagrams.
    pub fn backup(&self, now: Time, own: &str, except: Option<u32>) -> Option<(u32, &str)> {
        let own = u64::from(short_hash(own));
        let live = self.members.values().filter(|m| m.is_live(now) && Some(m.short_hash) != except);
        let first = live.max_by_key(|m| rendezvous::score(own, u64::from(m.short_hash)))?;
        Some((first.short_hash, first.entry.peer_address.as_str()))
    }

    /// Short hashes of the names, and addresses for datagrams, of the gateways that were first seen at
    /// `since` or later; a restarted one is another.
    pub fn joined_since(&self, since: Time) -> impl Iterator<Item = (u32, &str)> {
        let joined = self.members.values().filter(move |m| m.first_seen >= since);
        joined.map(|m| (m.short_hash, m.entry.peer_address.as_str()))
    }

    /// Short hashes of the names of the live gateways, which may hold copies.
    pub fn live_hashes(&self, now: Time) -> Vec<u32> {
        let live = self.members.values().filter(|m| m.is_live(now) || m.is_starting(now));
        live.map(|m| m.short_hash).collect()
    }

    /// Addresses for datagrams of the live gateways that hold copies under a key: at most `count`, in
    /// the order in which they are chosen.
    pub fn holders(&self, now: Time, key: u64, count: usize) -> Vec<String> {
        let live = self.members.values().filter(|m| m.is_live(now) || m.is_starting(now));
        let score = |m: &Member| rendezvous::score(key, u64::from(m.short_hash));
        let mut ranked: Vec<(Reverse<u64>, &Member)> =
            live.map(|m| (Reverse(score(m)), m)).collect();
        if count < ranked.len() {
            ranked.select_nth_unstable_by_key(count, |(score, _)| *score);
            ranked.truncate(count);
        }
        ranked.sort_unstable_by_key(|(score, _)| *score);
        ranked.into_iter().map(|(_, m)| m.entry.peer_address.clone()).collect()
    }

    /// Address for datagrams of the gateway whose name has this short hash.
    pub fn address(&self, gateway: u32) -> Option<&str> {
        let member = self.members.values().find(|m| m.short_hash == gateway)?;
        Some(member.entry.peer_address.as_str())
    }

    /// The gateway whose name has this short hash, if it is live and accepts callers.
    pub fn open_entry(&self, now: Time, gateway: u32) -> Option<&Entry> {
        let mut open = self.members.values().filter(|m| m.open && m.is_live(now));
        open.find(|m| m.short_hash == gateway).map(|m| &m.entry)
    }

    /// Whether the gateway whose name has this short hash is live.
    pub fn is_live(&self, now: Time, gateway: u32) -> bool {
        self.members.values().any(|m| m.short_hash == gateway && m.is_live(now))
    }

    /// Short hashes of the names of the gateways that accept callers, also of those that may run
    /// although they have not sent a heartbeat yet.
    pub fn open_hashes(&self, now: Time) -> impl Iterator<Item = u32> {
        let live = self.members.values().filter(move |m| m.is_live(now) || m.is_starting(now));
        live.filter(|m| m.open).map(|m| m.short_hash)
    }

    /// Number of live peers.
    pub fn live_peers(&self, now: Time) -> usize {
        self.members.values().filter(|m| m.is_live(now)).count()
    }

    /// Number of gateways that may spend a share of the retry budget, including this one.
    pub fn gateway_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Addresses for a caller in the failure domain `domain`, in random order. `own` is this
    /// gateway's entry if it accepts callers.
    pub fn select_addresses(
        &self,
        now: Time,
        own: Option<&Entry>,
        domain: &str,
        rng: &mut SmallRng,
    ) -> Vec<String> {
        let any_live = self.members.values().any(|m| m.is_live(now));
        let accepts_callers = |m: &&Member| match m.last_heartbeat {
            Some(_) => m.open && (!any_live || m.is_live(now)),
            // A listed gateway without any heartbeat is returned for one timeout only. Its entry
            // may outlive it until the lease ends, and a caller that is sent to a dead gateway
            // loses a second. A gateway that has just started cannot tell the two cases apart.
            None => m.open && m.listed && (!any_live || now.since(m.first_seen) < LIVENESS_TIMEOUT),
        };
        let others = self.members.values().filter(accepts_callers).map(|m| &m.entry);
        let all: Vec<&Entry> = others.chain(own).collect();
        let (local, remote): (Vec<&Entry>, Vec<&Entry>) =
            all.iter().partition(|e| e.domain == domain);
        let is_enough = local.len() >= ENOUGH_LOCAL;
        let mut candidates = if remote.is_empty() {
            local
        } else if !is_enough {
            all
        } else if self.keeps_local(&local, own, domain, rng) {
            local
        } else {
            remote
        };
        candidates.shuffle(rng);
        sample_by_weight(&candidates, rng).into_iter().take(MAX_ADDRESSES).collect()
    }
}

impl Directory {
    /// Whether a caller in `domain` is sent to the gateways of that failure domain that accept
    /// callers, `local`. If less than half of the domain's capacity does, a part of its callers is
    /// sent to other domains, so that no gateway gets more than twice its usual share.
    fn keeps_local(
        &self,
        local: &[&Entry],
        own: Option<&Entry>,
        domain: &str,
        rng: &mut SmallRng,
    ) -> bool {
        let members = self.members.values().filter(|m| m.listed || m.last_heartbeat.is_some());
        let known = members.map(|m| &m.entry).chain(own).filter(|e| e.domain == domain);
        let known: u64 = known.map(|e| u64::from(e.weight)).sum();
        let open: u64 = local.iter().map(|e| u64::from(e.weight)).sum();
        rng.random_range(0..known.max(1)) < MAX_LOCAL_OVERLOAD * open
    }

    /// The gateway to delegate a call to: a random live one that accepts callers, by weight, other
    /// than those whose names are in `tried`. The first one is of this gateway's own `domain`, if
    /// possible; later ones are of others, because the whole domain may be cut off.
    pub fn select_delegate(
        &self,
        now: Time,
        domain: &str,
        tried: &[String],
        rng: &mut SmallRng,
    ) -> Option<&Entry> {
        let members = self.members.values().filter(|m| m.open && m.is_live(now));
        let all: Vec<&Entry> =
            members.map(|m| &m.entry).filter(|e| !tried.contains(&e.name)).collect();
        let wanted = |e: &&&Entry| (e.domain == domain) == tried.is_empty();
        let preferred: Vec<&Entry> = all.iter().filter(wanted).copied().collect();
        let candidates = if preferred.is_empty() { all } else { preferred };
        // As `u32`, the sum of the weights could overflow, and none would be selected.
        candidates.choose_weighted(rng, |e| u64::from(e.weight.max(1))).ok().copied()
    }
}

/// Samples addresses with a probability proportional to the gateway's weight; gateways of the
/// greatest weight are always included. Callers choose evenly among the addresses that they get.
fn sample_by_weight(entries: &[&Entry], rng: &mut SmallRng) -> Vec<String> {
    let max_weight = entries.iter().map(|e| e.weight).max().unwrap_or(1).max(1);
    let mut sample: Vec<String> = entries
        .iter()
        .filter(|e| rng.random_range(0..max_weight) < e.weight.max(1))
        .map(|e| e.address.clone())
        .collect();
    if sample.is_empty() {
        sample.extend(entries.first().map(|e| e.address.clone()));
    }
    sample
}
