//! The gateways that callers may use, and how they learn of one another.
//!
//! Two sources are joined: the list in the store, which survives any gateway but lags and can be
//! out of reach, and heartbeats between gateways, which are quick but lost now and then.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;
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

/// A gateway without a heartbeat for this long gets no new callers: several heartbeats, so that
/// lost datagrams alone do not take it out.
const SILENT: Span = Span::millis(1_800);
/// How long a gateway that was seen counts as one that may spend a share of a budget.
const REMEMBERED: Span = Span::secs(20);
/// Gateways of the caller's own failure domain that are enough for an answer.
const ENOUGH: usize = 2;
/// Gateways that read the store for all: so many that two may be lost at a time.
const READERS: usize = 3;
/// One reader more for so many times the square root of the fleet's size. Readers cost calls of the
/// store, and each takes the questions of its part of the fleet; at the square root both grow alike. 7
/// readers of 295 gateways answer 80 questions a second each; half as many would answer twice as many.
const ROOTS_PER_READER: usize = 4;
/// Most addresses in an answer.
const ADDRESSES: usize = 16;

/// A gateway's entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Name, unique among the gateways.
    pub name: String,
    /// Address for callers.
    pub address: String,
    /// Address for heartbeats.
    pub peer_address: String,
    /// Failure domain.
    pub domain: String,
    /// Number of its run, higher than that of any earlier one.
    pub incarnation: u64,
    /// Relative capacity.
    pub weight: u32,
}

/// What a heartbeat says besides who sent it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub entry: Entry,
    /// Demand of gateways, the sender's own among it.
    pub demands: Vec<Demand>,
    /// Loads of replicas.
    pub loads: Vec<Observation>,
    /// What prompts cost at the engines of services.
    #[serde(rename = "paces")]
    pub prefill: Vec<prefill::Estimate>,
    /// What gateways agree on, by service.
    pub plans: Vec<Plan>,
    /// Recent changes of the quarantine.
    #[serde(rename = "suspects")]
    pub quarantine: Vec<quarantine::Record>,
    /// Version of its configuration.
    pub version: u64,
    /// Age of its proof that this version is the newest, in microseconds.
    pub proof_age: Option<u64>,
}

#[derive(Debug)]
struct Member {
    entry: Entry,
    short: u32,
    listed: bool,
    open: bool,
    heard: Option<Time>,
    seen: Time,
    since: Time,
}

impl Member {
    fn is_live(&self, now: Time) -> bool {
        self.heard.is_some_and(|at| now.since(at) < SILENT)
    }
}

/// All gateways that were seen, without this one.
#[derive(Debug, Default)]
pub struct Directory {
    members: BTreeMap<String, Member>,
    demands: Demands,
}

/// Short hash of a gateway's name, by which gateways speak of it.
pub fn short_hash(name: &str) -> u32 {
    rendezvous::hash(&[name.as_bytes()]) as u32
}

impl Directory {
    /// Takes the store's list in.
    pub fn update(&mut self, now: Time, entries: Vec<Entry>) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for entry in entries {
            let member = self.member(now, entry);
            member.listed = true;
            member.seen = now;
        }
        self.members.retain(|_, m| now.since(m.seen) < REMEMBERED);
    }

    /// Merges a heartbeat.
    pub fn receive(&mut self, now: Time, heartbeat: &Heartbeat) {
        let member = self.member(now, heartbeat.entry.clone());
        if heartbeat.entry.incarnation < member.entry.incarnation {
            return;
        }
        member.seen = now;
        self.demands.receive(now, &heartbeat.demands);
        for member in self.members.values_mut() {
            if let Some((at, open)) = self.demands.latest(member.short)
                && member.heard.is_none_or(|heard| heard < at)
            {
                member.heard = Some(at);
                member.seen = member.seen.max(at);
                member.open = open;
            }
        }
    }

    /// Demand to gossip.
    pub fn gossip(&self, now: Time) -> Vec<Demand> {
        self.demands.gossip(now)
    }

    /// Sensitive streams of the other gateways.
    pub fn sensitive_streams(&self, now: Time) -> u32 {
        self.demands.sensitive_streams(now)
    }

    fn member(&mut self, now: Time, entry: Entry) -> &mut Member {
        let fresh = |entry: Entry| {
            let short = short_hash(&entry.name);
            Member { entry, short, listed: false, open: true, heard: None, seen: now, since: now }
        };
        let member = self.members.entry(entry.name.clone()).or_insert_with(|| fresh(entry.clone()));
        if entry.incarnation > member.entry.incarnation {
            *member = fresh(entry);
        }
        member
    }

    /// Addresses for heartbeats.
    pub fn peer_addresses(&self) -> impl Iterator<Item = &str> {
        self.members.values().map(|m| m.entry.peer_address.as_str())
    }

    /// Addresses of the gateways that read the store for all, and whether this one, `own`, is one.
    ///
    /// Of those that live the ones of the greatest weight, for their links are wide and their proofs
    /// young; among equals the first by hash. All gateways agree but for a moment, and one that
    /// disagrees only reads once more, or asks one that asks itself.
    pub fn readers(&self, now: Time, own: &Entry) -> (Vec<String>, bool) {
        let rank = |short: u32, entry: &Entry| (Reverse(entry.weight), short);
        let live = self.members.values().filter(|m| m.is_live(now));
        let address = |m: &Member| m.entry.peer_address.clone();
        let mut all: Vec<_> = live.map(|m| (rank(m.short, &m.entry), Some(address(m)))).collect();
        all.push((rank(short_hash(&own.name), own), None));
        all.sort();
        all.truncate(READERS + all.len().isqrt() / ROOTS_PER_READER);
        let is_reader = all.iter().any(|(_, address)| address.is_none());
        (all.into_iter().filter_map(|(_, address)| address).collect(), is_reader)
    }

    /// Address of the gateway that decides for all, or `None` if that is this one: of those that live
    /// and take callers the first in the order of the readers. `own` is this gateway's entry if it
    /// takes callers itself.
    pub fn decider(&self, now: Time, own: Option<&Entry>) -> Option<String> {
        let rank = |short: u32, entry: &Entry| (Reverse(entry.weight), short);
        let open = self.members.values().filter(|m| m.open && m.is_live(now));
        let first = open.min_by_key(|m| rank(m.short, &m.entry))?;
        let before =
            |own: &Entry| rank(short_hash(&own.name), own) < rank(first.short, &first.entry);
        (!own.is_some_and(before)).then(|| first.entry.peer_address.clone())
    }

    /// Owner of an engine, with its address for datagrams; `None` if that is this gateway,
    /// `own`.
    pub fn owner(&self, now: Time, own: &str, engine: Digest) -> Option<(u32, &str)> {
        let score = |gateway: u32| rendezvous::score(u64::from(engine.0), u64::from(gateway));
        let own = score(short_hash(own));
        let live = self.members.values().filter(|m| m.is_live(now));
        let first = live.max_by_key(|m| score(m.short))?;
        let address = first.entry.peer_address.as_str();
        (score(first.short) > own).then_some((first.short, address))
    }

    /// Place of this gateway, `own`, in the order of the readers among all that live; 0 is the first.
    pub fn reader_rank(&self, now: Time, own: &Entry) -> usize {
        let rank = |short: u32, entry: &Entry| (Reverse(entry.weight), short);
        let own = rank(short_hash(&own.name), own);
        let live = self.members.values().filter(|m| m.is_live(now));
        live.filter(|m| rank(m.short, &m.entry) < own).count()
    }

    /// Another live gateway that holds copies for this one, `own`, with its address for datagrams.
    pub fn backup(&self, now: Time, own: &str, except: Option<u32>) -> Option<(u32, &str)> {
        let own = u64::from(short_hash(own));
        let live = self.members.values().filter(|m| m.is_live(now) && Some(m.short) != except);
        let first = live.max_by_key(|m| rendezvous::score(own, u64::from(m.short)))?;
        Some((first.short, first.entry.peer_address.as_str()))
    }

    /// Address for datagrams of the gateway with this short hash.
    pub fn address(&self, gateway: u32) -> Option<&str> {
        let member = self.members.values().find(|m| m.short == gateway)?;
        Some(member.entry.peer_address.as_str())
    }

    /// Whether a gateway is alive.
    pub fn is_live(&self, now: Time, gateway: u32) -> bool {
        self.members.values().any(|m| m.short == gateway && m.is_live(now))
    }

    /// Number of live peers.
    pub fn live_peers(&self, now: Time) -> usize {
        self.members.values().filter(|m| m.is_live(now)).count()
    }

    /// Gateways that may be spending a share of a budget, this one included.
    pub fn gateway_count(&self) -> usize {
        self.members.len() + 1
    }

    /// Addresses for a caller in `domain`; `own` is this gateway's entry if it takes callers.
    pub fn select_addresses(
        &self,
        now: Time,
        own: Option<&Entry>,
        domain: &str,
        rng: &mut SmallRng,
    ) -> Vec<String> {
        let hears = self.members.values().any(|m| m.is_live(now));
        let alive = |m: &&Member| match m.heard {
            Some(_) => m.open && (!hears || m.is_live(now)),
            // Entries outlive their gateways by the length of a lease. One that others would have
            // seen by now, had it been alive, is such an entry: a gateway that has just started itself
            // knows no better, and its callers would lose a second each.
            None => m.open && m.listed && (!hears || now.since(m.since) < SILENT),
        };
        let others = self.members.values().filter(alive).map(|m| &m.entry);
        let all: Vec<&Entry> = others.chain(own).collect();
        let near: Vec<&Entry> = all.iter().filter(|e| e.domain == domain).copied().collect();
        let mut chosen = if near.len() >= ENOUGH { near } else { all };
        chosen.shuffle(rng);
        weigh(&chosen, rng).into_iter().take(ADDRESSES).collect()
    }
}

/// Keeps the larger gateways surely and the smaller ones in proportion, for callers draw evenly.
fn weigh(entries: &[&Entry], rng: &mut SmallRng) -> Vec<String> {
    let most = entries.iter().map(|e| e.weight).max().unwrap_or(1).max(1);
    let mut kept: Vec<String> = entries
        .iter()
        .filter(|e| rng.random_range(0..most) < e.weight.max(1))
        .map(|e| e.address.clone())
        .collect();
    if kept.is_empty() {
        kept.extend(entries.first().map(|e| e.address.clone()));
    }
    kept
}
